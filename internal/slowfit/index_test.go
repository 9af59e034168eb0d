package slowfit

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"leadproxy/internal/property"
)

// taskScales are factors of the task sizes. Only with small tasks, many to a machine, do total loads get
// near c times L, where the load bound takes effect.
var taskScales = []float64{1, 0.125, 0.02}

// goalFactors are values of c. With c below 2, load that is not reset when L doubles would change the
// result, so that a missing reset is found.
var goalFactors = []float64{5, 1}

// TestIndexAgreesWithTheScan compares the index with the scan in long random runs from a fixed seed.
func TestIndexAgreesWithTheScan(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 60 {
		h := newIndexHarness(t, random, round, taskScales[round%len(taskScales)], goalFactors[round/3%len(goalFactors)])
		h.run(400)
	}
}

// TestIndexProperty lets rapid search for a short run in which the index and the scan differ.
func TestIndexProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines, steps := rapid.IntRange(0, 20).Draw(t, "machines"), rapid.IntRange(50, 300).Draw(t, "steps")
		scale, goalFactor := rapid.SampledFrom(taskScales).Draw(t, "scale"), rapid.SampledFrom(goalFactors).Draw(t, "c")
		newIndexHarness(t, property.RapidChooser{T: t}, machines, scale, goalFactor).run(steps)
	})
}

// failer is a *testing.T or a *rapid.T.
type failer interface {
	Fatalf(format string, args ...any)
}

// indexHarness simulates a cluster whose machines are added, change and fill up, and compares each
// placement by the index with that of the scan.
type indexHarness struct {
	t         failer
	chooser   property.Chooser
	scale     float64 // factor of the task sizes
	index     *Index
	indexGoal Goal
	scanGoal  Goal
	pools     []poolAttributes
	machines  []harnessMachine
}

// poolAttributes holds the attributes that all machines of a pool have in common.
type poolAttributes struct {
	size Size
	zone int
	spot bool
}

// harnessMachine is a machine of the simulated cluster.
type harnessMachine struct {
	scannedMachine
	pool        int
	tags        uint64
	schedulable bool
	phase       uint32 // the phase in which its load was added
}

// minMachines is the number of machines that every harness has at least.
const minMachines = 3

// newIndexHarness returns a harness with minMachines and extraMachines machines in 16 pools: 4 sizes, 2
// zones, spot and on demand. goalFactor is c.
func newIndexHarness(t failer, chooser property.Chooser, extraMachines int, scale, goalFactor float64) *indexHarness {
	h := &indexHarness{t: t, chooser: chooser, scale: scale, index: &Index{}, indexGoal: Goal{C: goalFactor}, scanGoal: Goal{C: goalFactor}}
	for _, size := range []Size{{CPUs: 4, GPUs: 0, MemGB: 16}, {CPUs: 8, GPUs: 0, MemGB: 32}, {CPUs: 8, GPUs: 2, MemGB: 32}, {CPUs: 32, GPUs: 0, MemGB: 128}} {
		for zone := range 2 {
			for _, spot := range []bool{true, false} {
				h.index.AddPool(size)
				h.pools = append(h.pools, poolAttributes{size, zone, spot})
			}
		}
	}
	for range minMachines + extraMachines {
		h.addMachine()
	}
	return h
}

// addMachine adds a machine to a drawn pool.
func (h *indexHarness) addMachine() {
	pool := h.chooser.IntN(len(h.pools))
	size := h.pools[pool].size
	machine := len(h.machines)
	h.index.Add(int32(machine), pool)
	h.machines = append(h.machines, harnessMachine{
		scannedMachine: scannedMachine{Total: size, Free: size, Index: machine}, pool: pool, tags: uint64(h.chooser.IntN(8)), schedulable: true})
	h.updateIndex(machine)
}

// updateIndex reports the state of a machine to the index.
func (h *indexHarness) updateIndex(machine int) {
	m := &h.machines[machine]
	if !m.schedulable {
		h.index.MarkUnschedulable(int32(machine))
		return
	}
	if m.phase != h.indexGoal.Phase {
		m.phase, m.Load = h.indexGoal.Phase, 0
	}
	h.index.Update(int32(machine), m.Free, m.Load, m.tags)
}

// run runs a number of steps, in each of which the cluster may change and a task is placed.
func (h *indexHarness) run(steps int) {
	for step := range steps {
		h.changeMachine()
		h.placeTask(step, h.drawTaskSize())
		h.lowerGoal()
	}
}

// changeMachine draws a change: all tasks of a machine end, a machine becomes schedulable or
// unschedulable, its tags change, a machine is added, or nothing changes.
func (h *indexHarness) changeMachine() {
	switch h.chooser.IntN(12) {
	case 0:
		i := h.chooser.IntN(len(h.machines))
		h.machines[i].Free, h.machines[i].Load = h.machines[i].Total, 0
		h.updateIndex(i)
	case 1:
		i := h.chooser.IntN(len(h.machines))
		h.machines[i].schedulable = !h.machines[i].schedulable
		h.updateIndex(i)
	case 2:
		i := h.chooser.IntN(len(h.machines))
		h.machines[i].tags = uint64(h.chooser.IntN(8))
		h.updateIndex(i)
	case 3:
		h.addMachine()
	}
}

// drawTaskSize draws the size of a task.
func (h *indexHarness) drawTaskSize() Size {
	task := Size{CPUs: h.scale * float64(1+h.chooser.IntN(8)), MemGB: h.scale * float64(1+h.chooser.IntN(12))}
	if h.chooser.IntN(6) == 0 {
		task.GPUs = 1
	}
	return task
}

// drawRequest draws which machines a task may use and which ones it prefers.
func (h *indexHarness) drawRequest(task Size) Request {
	const anyZone = 2
	zone, spotOnly, excluded, tag := h.chooser.IntN(3), h.chooser.IntN(3) == 0, h.chooser.IntN(len(h.machines)), uint64(1)<<h.chooser.IntN(3)
	tagRequired := h.chooser.IntN(4) == 0
	request := Request{Task: task, PreferredBonus: 1 + h.chooser.IntN(2), PreferredTag: tag,
		ScorePool: func(pool int) (bool, int) {
			attributes, score := h.pools[pool], 0
			if attributes.spot {
				score = 1
			}
			return (zone == anyZone || attributes.zone == zone) && (!spotOnly || attributes.spot), score
		},
		Preferred: func(m int32) bool { return h.machines[m].tags&tag != 0 },
		Allowed:   func(m int32) bool { return int(m) != excluded && (!tagRequired || h.machines[m].tags&tag != 0) },
	}
	if tagRequired {
		request.AllowedTag = tag
	}
	return request
}

// placeTask places a task by the index and by the scan, which must agree on the machine and the goal.
func (h *indexHarness) placeTask(step int, task Size) {
	request := h.drawRequest(task)
	want := h.placeByScan(&request)
	got := h.index.Place(&h.indexGoal, &request)
	if got != want || h.indexGoal != h.scanGoal {
		h.t.Fatalf("%d machines, step %d: the index selects machine %d with goal %+v, want %d with %+v as the scan does", len(h.machines), step, got, h.indexGoal, want, h.scanGoal)
	}
	if got < 0 {
		return
	}
	m := &h.machines[got]
	m.Free = m.Free.Minus(task)
	if m.phase != h.indexGoal.Phase {
		m.phase, m.Load = h.indexGoal.Phase, 0
	}
	m.Load += task.Share(m.Total)
	h.updateIndex(int(got))
}

// placeByScan returns the machine that the scan selects for a task, or -1.
func (h *indexHarness) placeByScan(request *Request) int32 {
	var schedulable []scannedMachine
	for i, m := range h.machines {
		if !m.schedulable {
			continue
		}
		scanned := m.scannedMachine
		if m.phase != h.scanGoal.Phase {
			scanned.Load = 0
		}
		allowed, score := request.ScorePool(m.pool)
		scanned.Allowed, scanned.Score = allowed && request.Allowed(int32(i)), score
		if request.Preferred(int32(i)) {
			scanned.Score += request.PreferredBonus
		}
		schedulable = append(schedulable, scanned)
	}
	if i := scan(&h.scanGoal, schedulable, request.Task); i >= 0 {
		return int32(schedulable[i].Index)
	}
	return -1
}

// lowerGoal lowers both goals in one of 60 steps on average.
func (h *indexHarness) lowerGoal() {
	if h.chooser.IntN(60) != 0 {
		return
	}
	phase := h.indexGoal.Phase
	h.indexGoal.Lower(0.01)
	h.scanGoal.Lower(0.01)
	if h.indexGoal.Phase != phase {
		h.index.ResetLoads()
	}
}
