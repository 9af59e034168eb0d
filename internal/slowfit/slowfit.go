// Package slowfit decides where a task goes. It is SLOW-FIT of "On-line Load
// Balancing of Temporary Tasks" (Azar, Kalyanasundaram, Plotkin, Pruhs and
// Waarts, section 4), with the machine's booked room as a hard bound besides
// the goal. It is pure: it sees machines and a task and names a machine.
package slowfit

import "math"

// Size is an amount of each resource.
type Size struct {
	CPUs, GPUs, MemGB float64
}

// Plus adds o to s.
func (s Size) Plus(o Size) Size {
	return Size{s.CPUs + o.CPUs, s.GPUs + o.GPUs, s.MemGB + o.MemGB}
}

// Minus takes o from s.
func (s Size) Minus(o Size) Size {
	return Size{s.CPUs - o.CPUs, s.GPUs - o.GPUs, s.MemGB - o.MemGB}
}

// Times multiplies a size.
func (s Size) Times(n float64) Size { return Size{s.CPUs * n, s.GPUs * n, s.MemGB * n} }

// slack absorbs the rounding of sums of decimal amounts.
const slack = 1e-6

// Within tells whether s fits into room.
func (s Size) Within(room Size) bool {
	return s.CPUs <= room.CPUs+slack && s.GPUs <= room.GPUs+slack && s.MemGB <= room.MemGB+slack
}

// Slots is how many tasks of size s go into room.
func (s Size) Slots(room Size) int {
	n := 1e6
	for _, r := range [3][2]float64{{s.CPUs, room.CPUs}, {s.GPUs, room.GPUs}, {s.MemGB, room.MemGB}} {
		if r[0] > 0 {
			n = min(n, math.Floor(r[1]/r[0]+slack))
		}
	}
	return int(max(0, n))
}

// Share is the load that a task of size s puts on a machine of size total: the
// largest share that it takes of any resource.
func (s Size) Share(total Size) float64 {
	share := 0.0
	for _, r := range [3][2]float64{{s.CPUs, total.CPUs}, {s.GPUs, total.GPUs}, {s.MemGB, total.MemGB}} {
		if r[0] > 0 {
			if r[1] <= 0 {
				return math.Inf(1)
			}
			share = max(share, r[0]/r[1])
		}
	}
	return share
}

// Machine is a machine as placement sees it.
type Machine struct {
	Total Size
	Free  Size
	// Index is the machine's order of appearance.
	Index int
	// Allowed is false when the task's job may not use the machine now.
	Allowed bool
	// Merit breaks ties between equally slow machines, before the index does.
	Merit int
	// Load is the load that counts towards the goal, as told by Account.
	Load float64
}

// Slower orders machines: by cores, then memory, then index.
func Slower(a, b *Machine) bool {
	if a.Total.CPUs != b.Total.CPUs {
		return a.Total.CPUs < b.Total.CPUs
	}
	if a.Total.MemGB != b.Total.MemGB {
		return a.Total.MemGB < b.Total.MemGB
	}
	return a.Index < b.Index
}

func alike(a, b *Machine) bool {
	return a.Total.CPUs == b.Total.CPUs && a.Total.MemGB == b.Total.MemGB
}

// Goal is the estimate of the optimal load, L in the paper.
type Goal struct {
	C float64
	// L is 0 until the first task comes.
	L float64
	// Phase counts the changes of L. Load booked in an earlier phase does not
	// count any more.
	Phase uint32
}

// begin sets L to the first task's load on the fastest machine that can carry
// it at all; the caller knows that there is one.
func (g *Goal) begin(machines []Machine, task Size) bool {
	fastest := -1
	for i := range machines {
		if !math.IsInf(task.Share(machines[i].Total), 1) && (fastest < 0 || Slower(&machines[fastest], &machines[i])) {
			fastest = i
		}
	}
	g.L = task.Share(machines[fastest].Total)
	return g.L > 0
}

// Place names the machine for one task, or -1 when none has room. When some
// machine has room but none passes the goal, L doubles and load booked before
// counts as nothing, until one passes.
func (g *Goal) Place(machines []Machine, task Size) int {
	room := false
	for i := range machines {
		m := &machines[i]
		m.Allowed = m.Allowed && task.Within(m.Free)
		room = room || m.Allowed
	}
	if !room {
		return -1
	}
	if g.L == 0 && !g.begin(machines, task) {
		// A task that weighs nothing, anywhere: take the first in order.
		return pick(machines, func(*Machine) bool { return true })
	}
	for {
		at := pick(machines, func(m *Machine) bool {
			w := task.Share(m.Total)
			return w <= g.L+slack && m.Load+w <= g.C*g.L+slack
		})
		if at >= 0 {
			return at
		}
		g.L *= 2
		g.Phase++
		for i := range machines {
			machines[i].Load = 0
		}
	}
}

// pick returns the slowest allowed machine that passes, among equally slow
// ones the one of most merit.
func pick(machines []Machine, passes func(*Machine) bool) int {
	best := -1
	for i := range machines {
		m := &machines[i]
		if !m.Allowed || !passes(m) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		b := &machines[best]
		switch {
		case alike(m, b) && m.Merit != b.Merit:
			if m.Merit > b.Merit {
				best = i
			}
		case Slower(m, b):
			best = i
		}
	}
	return best
}

// Fall starts a new phase with a lower goal: our extension, since in the paper
// L never falls and after a burst stops limiting anything. L becomes what it
// would be had the busiest machine's present load been the optimum, and never
// more than it was.
func (g *Goal) Fall(busiest float64) {
	if g.L == 0 || busiest*2 >= g.L {
		return
	}
	g.Phase++
	if busiest <= 0 {
		g.L = 0
		return
	}
	g.L /= 2
}
