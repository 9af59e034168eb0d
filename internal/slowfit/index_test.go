package slowfit

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"leadproxy/internal/property"
)

// taskScales are how large tasks are. Only small ones, many to a machine, bring totals near
// c times L, where load counts.
var taskScales = []float64{1, 0.125, 0.02}

// goalFactors are values of c. With less than 2, load that should count as nothing after a
// doubling decides.
var goalFactors = []float64{5, 1}

// TestIndexAgreesWithTheScan plays long random histories from one seed.
func TestIndexAgreesWithTheScan(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for round := range 60 {
		h := newHistory(t, r, round, taskScales[round%len(taskScales)], goalFactors[round/3%len(goalFactors)])
		h.play(400)
	}
}

// TestIndexProperty has rapid search for a short history in which they differ.
func TestIndexProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines, steps := rapid.IntRange(0, 20).Draw(t, "machines"), rapid.IntRange(50, 300).Draw(t, "steps")
		scale, factor := rapid.SampledFrom(taskScales).Draw(t, "scale"), rapid.SampledFrom(goalFactors).Draw(t, "c")
		newHistory(t, property.RapidChooser{T: t}, machines, scale, factor).play(steps)
	})
}

// failer is a test or a property.
type failer interface {
	Fatalf(format string, args ...any)
}

// history is a cluster whose machines come, go and fill up. Each placement of the index is
// compared with the scan's.
type history struct {
	t        failer
	r        property.Chooser
	scale    float64
	index    *Index
	goal     Goal // the index's
	scanGoal Goal
	groups   []machineGroup // by pool
	machines []historyMachine
}

// machineGroup is what the machines of a pool have in common.
type machineGroup struct {
	size Size
	zone int
	spot bool
}

// historyMachine is a machine of a history.
type historyMachine struct {
	scannedMachine
	group       int
	image       uint64 // its tags
	schedulable bool
	phase       uint32 // to which its load belongs
}

// minMachines is how many machines every history has.
const minMachines = 3

func newHistory(t failer, r property.Chooser, moreMachines int, scale, factor float64) *history {
	h := &history{t: t, r: r, scale: scale, index: &Index{}, goal: Goal{C: factor}, scanGoal: Goal{C: factor}}
	for _, size := range []Size{{4, 0, 16}, {8, 0, 32}, {8, 2, 32}, {32, 0, 128}} {
		for zone := range 2 {
			for _, spot := range []bool{true, false} {
				h.index.AddPool(size)
				h.groups = append(h.groups, machineGroup{size, zone, spot})
			}
		}
	}
	for range minMachines + moreMachines {
		h.join()
	}
	return h
}

// join adds a machine of some group.
func (h *history) join() {
	group := h.r.IntN(len(h.groups))
	size := h.groups[group].size
	number := len(h.machines)
	h.index.Add(int32(number), group)
	h.machines = append(h.machines, historyMachine{
		scannedMachine: scannedMachine{Total: size, Free: size, Index: number}, group: group, image: uint64(h.r.IntN(8)), schedulable: true})
	h.update(number)
}

// update passes the state of a machine to the index.
func (h *history) update(number int) {
	m := &h.machines[number]
	if !m.schedulable {
		h.index.MarkUnschedulable(int32(number))
		return
	}
	if m.phase != h.goal.Phase {
		m.phase, m.Load = h.goal.Phase, 0
	}
	h.index.Update(int32(number), m.Free, m.Load, m.image)
}

// play changes the cluster and places a task, for so many steps.
func (h *history) play(steps int) {
	for step := range steps {
		h.changeMachine()
		h.place(step, h.task())
		h.lowerGoal()
	}
}

// changeMachine has something happen to a machine, or nothing.
func (h *history) changeMachine() {
	switch h.r.IntN(12) {
	case 0: // all its tasks end
		i := h.r.IntN(len(h.machines))
		h.machines[i].Free, h.machines[i].Load = h.machines[i].Total, 0
		h.update(i)
	case 1:
		i := h.r.IntN(len(h.machines))
		h.machines[i].schedulable = !h.machines[i].schedulable
		h.update(i)
	case 2:
		i := h.r.IntN(len(h.machines))
		h.machines[i].image = uint64(h.r.IntN(8))
		h.update(i)
	case 3:
		h.join()
	}
}

// task is the size of the next task.
func (h *history) task() Size {
	task := Size{CPUs: h.scale * float64(1+h.r.IntN(8)), MemGB: h.scale * float64(1+h.r.IntN(12))}
	if h.r.IntN(6) == 0 {
		task.GPUs = 1
	}
	return task
}

// request draws where a task may go, and which machines it prefers.
func (h *history) request(task Size) Request {
	const anyZone = 2
	zone, spotOnly, excluded, tag := h.r.IntN(3), h.r.IntN(3) == 0, h.r.IntN(len(h.machines)), uint64(1)<<h.r.IntN(3)
	tagRequired := h.r.IntN(4) == 0
	request := Request{Task: task, PreferredBonus: 1 + h.r.IntN(2), PreferredTag: tag,
		Pool: func(pool int) (bool, int) {
			group, score := h.groups[pool], 0
			if group.spot {
				score = 1
			}
			return (zone == anyZone || group.zone == zone) && (!spotOnly || group.spot), score
		},
		Preferred: func(m int32) bool { return h.machines[m].image&tag != 0 },
		Allowed:   func(m int32) bool { return int(m) != excluded && (!tagRequired || h.machines[m].image&tag != 0) },
	}
	if tagRequired {
		request.AllowedTag = tag
	}
	return request
}

// place places a task by the index and by the scan, which must agree on the machine and the
// goal.
func (h *history) place(step int, task Size) {
	request := h.request(task)
	want := h.scan(&request)
	got := h.index.Place(&h.goal, &request)
	if got != want || h.goal != h.scanGoal {
		h.t.Fatalf("%d machines, step %d: the index says %d with %+v, the scan %d with %+v", len(h.machines), step, got, h.goal, want, h.scanGoal)
	}
	if got < 0 {
		return
	}
	m := &h.machines[got]
	m.Free = m.Free.Minus(task)
	if m.phase != h.goal.Phase {
		m.phase, m.Load = h.goal.Phase, 0
	}
	m.Load += task.Share(m.Total)
	h.update(int(got))
}

// scan is the machine that the scan places a task on, or -1.
func (h *history) scan(request *Request) int32 {
	var schedulable []scannedMachine
	for i, m := range h.machines {
		if !m.schedulable {
			continue
		}
		seen := m.scannedMachine
		if m.phase != h.scanGoal.Phase {
			seen.Load = 0
		}
		allowed, score := request.Pool(m.group)
		seen.Allowed, seen.Score = allowed && request.Allowed(int32(i)), score
		if request.Preferred(int32(i)) {
			seen.Score += request.PreferredBonus
		}
		schedulable = append(schedulable, seen)
	}
	if k := scan(&h.scanGoal, schedulable, request.Task); k >= 0 {
		return int32(schedulable[k].Index)
	}
	return -1
}

// lowerGoal lowers both goals now and then.
func (h *history) lowerGoal() {
	if h.r.IntN(60) != 0 {
		return
	}
	phase := h.goal.Phase
	h.goal.Lower(0.01)
	h.scanGoal.Lower(0.01)
	if h.goal.Phase != phase {
		h.index.ResetLoads()
	}
}
