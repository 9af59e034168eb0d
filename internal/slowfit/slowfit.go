// Package slowfit decides which machine a task goes to. It is SLOW-FIT of "On-line Load
// Balancing of Temporary Tasks" (Azar, Kalyanasundaram, Plotkin, Pruhs and Waarts, section 4),
// with a machine's allocated resources as a hard bound besides. It is pure: it sees machines and
// a task and names a machine.
//
// The paper's terms, as the code has them:
//
//   - The load of a task on a machine is the share that it takes of the machine. A machine is
//     slower than another if the same task is a larger load on it; here, if it has fewer
//     cores, or as many and less memory.
//   - L is the estimate of the least possible maximum load of any machine. It doubles when
//     it proves too low, which begins a new phase. Load of an earlier phase does not count
//     any more.
//   - c is the factor by which a machine's total load may exceed L.
//   - A machine is assignable for a task if the task's load on it is at most L, and its total
//     load with the task at most c times L. The task goes to the slowest assignable machine,
//     among equally slow ones to the first.
package slowfit

// Goal is the estimate of the optimal load.
type Goal struct {
	// C is c in the paper.
	C float64
	// L is L in the paper; 0 until the first task comes.
	L float64
	// Phase counts the changes of L. Load of an earlier phase does not count any more.
	Phase uint32
}

// Lower starts a new phase with a lower goal: our extension, since in the paper
// L never falls and after a burst stops limiting anything. L becomes what it
// would be had the busiest machine's present load been the optimum, and never
// more than it was.
func (g *Goal) Lower(busiest float64) {
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

// double starts a new phase with a goal twice as high.
func (g *Goal) double() {
	g.L *= 2
	g.Phase++
}
