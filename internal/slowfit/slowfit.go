// Package slowfit selects the machine for a task. It implements the SLOW-FIT algorithm of "On-line
// Load Balancing of Temporary Tasks" (Azar, Kalyanasundaram, Plotkin, Pruhs and Waarts, section 4),
// with the free resources of a machine as a hard bound in addition. It has no side effects outside of
// its own state: the caller reports machines and tasks to it and makes the allocations.
//
// The code uses the terms of the paper:
//
//   - The load of a task on a machine is the share of the machine that the task takes. A machine
//     is slower than another if the same task is a larger load on it; here, if it has fewer
//     cores, or the same number of cores and less memory.
//   - L is the estimate of the smallest maximum load of any machine that an optimal placement
//     could achieve. It doubles when it proves too low, which begins a new phase. Load of
//     earlier phases does not count.
//   - c is the factor by which the total load of a machine may exceed L.
//   - A machine is assignable for a task if the task's load on it is at most L and its total
//     load including the task is at most c times L. The task goes to the slowest assignable
//     machine, and to the first among equally slow ones.
package slowfit

// Goal is the estimate of the optimal load.
type Goal struct {
	// C is the constant c of the paper.
	C float64
	// L is the estimate L of the paper. It is 0 until the first task is placed.
	L float64
	// Phase counts the changes of L. Load of earlier phases does not count.
	Phase uint32
}

// Lower begins a new phase with a lower L if optimum, the caller's estimate of the optimal maximum load
// of the present tasks, is less than half of L. It halves L, or resets it to 0 if optimum is 0.
// Repeated calls bring L down to what it would be for that optimum; L never increases. This extends the
// paper, in which L never decreases, so that after a burst of load it no longer limits anything. If the
// phase has changed, the caller must reset the loads of the index.
func (g *Goal) Lower(optimum float64) {
	if g.L == 0 || optimum*2 >= g.L {
		return
	}
	g.Phase++
	if optimum <= 0 {
		g.L = 0
		return
	}
	g.L /= 2
}

// double begins a new phase with twice the L.
func (g *Goal) double() {
	g.L *= 2
	g.Phase++
}
