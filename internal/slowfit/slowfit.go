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

// Goal is the estimate of the optimal load, L in the paper.
type Goal struct {
	C float64
	// L is 0 until the first task comes.
	L float64
	// Phase counts the changes of L. Load booked in an earlier phase does not
	// count any more.
	Phase uint32
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
