package slowfit

import (
	"math"
	"testing"
)

// newMachine returns a machine with 4 GB of memory per core. Of its cores, free are free, and so is all
// of its memory.
func newMachine(index int, cpus, free, load float64) scannedMachine {
	return scannedMachine{Total: Size{CPUs: cpus, MemGB: cpus * 4}, Free: Size{CPUs: free, MemGB: cpus * 4}, Index: index, Allowed: true, Load: load}
}

// cores returns the size of a task with n cores and 1 GB of memory.
func cores(n float64) Size { return Size{CPUs: n, MemGB: 1} }

// TestPlace checks the scan, with which the index is compared, on cases worked out from section 4 of
// the paper.
func TestPlace(t *testing.T) {
	preferred := func(m scannedMachine) scannedMachine { m.Score = 1; return m }
	excluded := func(m scannedMachine) scannedMachine { m.Allowed = false; return m }
	cases := []struct {
		name     string
		goal     Goal
		machines []scannedMachine
		task     Size
		want     int
		wantL    float64
		phases   uint32
	}{
		{"the first task sets L to its load on the fastest machine, and only that machine is assignable", Goal{C: 5},
			[]scannedMachine{newMachine(0, 4, 4, 0), newMachine(1, 16, 16, 0)}, cores(4), 1, 0.25, 0},
		{"the fastest machine sets L even if the task doesn't fit into its free resources", Goal{C: 5},
			[]scannedMachine{newMachine(0, 4, 4, 0), newMachine(1, 16, 0, 0)}, cores(2), 0, 0.5, 2},
		{"the slowest assignable machine", Goal{C: 5, L: 0.5},
			[]scannedMachine{newMachine(0, 16, 16, 0), newMachine(1, 8, 8, 0), newMachine(2, 4, 4, 0)}, cores(4), 1, 0.5, 0},
		{"the lowest index among equally slow machines", Goal{C: 5, L: 1},
			[]scannedMachine{newMachine(7, 8, 8, 0), newMachine(3, 8, 8, 0)}, cores(4), 1, 1, 0},
		{"the highest score among equally slow machines", Goal{C: 5, L: 1},
			[]scannedMachine{preferred(newMachine(7, 8, 8, 0)), newMachine(3, 8, 8, 0)}, cores(4), 0, 1, 0},
		{"speed takes precedence over score", Goal{C: 5, L: 1},
			[]scannedMachine{preferred(newMachine(0, 16, 16, 0)), newMachine(1, 8, 8, 0)}, cores(4), 1, 1, 0},
		{"a machine at c times L is not assignable", Goal{C: 5, L: 0.125},
			[]scannedMachine{newMachine(0, 8, 3, 0.625), newMachine(1, 8, 8, 0)}, cores(1), 1, 0.125, 0},
		{"the task fits but no machine is assignable: L doubles and earlier load counts as 0", Goal{C: 5, L: 0.125},
			[]scannedMachine{newMachine(0, 8, 3, 0.625), newMachine(1, 8, 2, 0.625)}, cores(1), 0, 0.25, 1},
		{"the task fits no machine: L is unchanged", Goal{C: 5, L: 0.125},
			[]scannedMachine{newMachine(0, 8, 0, 0.625), newMachine(1, 8, 0.5, 0)}, cores(1), -1, 0.125, 0},
		{"an assignable machine with too few free resources is skipped", Goal{C: 5, L: 4},
			[]scannedMachine{newMachine(0, 8, 1, 0), newMachine(1, 16, 16, 0)}, cores(2), 1, 4, 0},
		{"a machine that the job may not use is skipped", Goal{C: 5, L: 1},
			[]scannedMachine{excluded(newMachine(0, 4, 4, 0)), newMachine(1, 8, 8, 0)}, cores(1), 1, 1, 0},
		{"memory counts when it is the larger share", Goal{C: 5, L: 0.25},
			[]scannedMachine{newMachine(0, 4, 4, 0), newMachine(1, 16, 16, 0)}, Size{CPUs: 1, MemGB: 16}, 1, 0.25, 0},
		{"no machines", Goal{C: 5}, nil, cores(1), -1, 0, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			g := testCase.goal
			if got := scan(&g, testCase.machines, testCase.task); got != testCase.want {
				t.Errorf("the scan selects machine %d, want %d", got, testCase.want)
			}
			if math.Abs(g.L-testCase.wantL) > 1e-9 || g.Phase != testCase.phases {
				t.Errorf("L = %v in phase %d, want %v in phase %d", g.L, g.Phase, testCase.wantL, testCase.phases)
			}
		})
	}
}
