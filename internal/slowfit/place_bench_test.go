package slowfit

import (
	"fmt"
	"testing"
)

// BenchmarkPlace places tasks on a cluster of six pools. Whenever a task fits no machine, all resources
// are freed.
func BenchmarkPlace(b *testing.B) {
	for _, machines := range []int{100, 1400, 10000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { benchmarkPlace(b, machines) })
	}
}

func benchmarkPlace(b *testing.B, machines int) {
	sizes := []Size{{CPUs: 4, GPUs: 0, MemGB: 16}, {CPUs: 8, GPUs: 0, MemGB: 32}, {CPUs: 32, GPUs: 2, MemGB: 128}}
	index := &Index{}
	for pool := range 6 {
		index.AddPool(sizes[pool/2])
	}
	free := make([]Size, machines)
	for i := range machines {
		index.Add(int32(i), i%6)
	}
	freeAll := func() {
		for i := range free {
			free[i] = sizes[i%6/2]
			index.Update(int32(i), free[i], 0, uint64(i%8))
		}
	}
	freeAll()
	goal := Goal{C: 5}
	request := Request{Task: Size{CPUs: 1, MemGB: 2}, PreferredBonus: 2, PreferredTag: 1,
		ScorePool: func(pool int) (bool, int) { return true, pool % 2 },
		Preferred: func(machine int32) bool { return machine%2 == 1 },
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		request.Task.CPUs = float64(1 + i%3)
		machine := index.Place(&goal, &request)
		if machine < 0 {
			freeAll()
			continue
		}
		free[machine] = free[machine].Minus(request.Task)
		index.Update(machine, free[machine], 0, uint64(machine%8))
	}
}
