package federation

import "leadproxy/internal/slowfit"

// Cell is the state of a neighbour for the selection.
type Cell struct {
	// Capacity is how many cores may be delegated to it at once, and Used how many are.
	Capacity, Used float64
	// Credit is the offered capacity that is not used yet, in cores.
	Credit float64
	// RemainingJobs is how many more jobs may be delegated to it.
	RemainingJobs int
	// Excluded: it has refused this job, or an earlier epoch may still run there.
	Excluded bool
}

// CellSelector selects the neighbour for a job. It is SLOW-FIT with cells as machines: the first
// cell in the operators' order in which the job's load, its share of the capacity, is at most L
// and the total stays within c times L. If some cells have capacity but none is assignable, L
// doubles and earlier load counts as zero; if none has capacity, the job stays. Capacity and
// credit are hard bounds besides.
type CellSelector struct {
	goal slowfit.Goal
	// ignoredCores is what was delegated when the present phase of the goal began, by cell.
	ignoredCores []float64
}

// NewCellSelector makes a selector with the constant c of SLOW-FIT.
func NewCellSelector(c float64) *CellSelector { return &CellSelector{goal: slowfit.Goal{C: c}} }

// tolerance absorbs the rounding of sums of decimal amounts.
const tolerance = 1e-6

// hasCapacity tells whether a job of so many cores keeps to the hard bounds of the cell.
func (c *Cell) hasCapacity(cores float64) bool {
	return !c.Excluded && c.RemainingJobs > 0 && cores <= c.Credit+tolerance && c.Used+cores <= c.Capacity+tolerance
}

// Select returns the index of the neighbour for a job of so many cores, or -1. The neighbours have
// to be given in the same order in every call.
func (c *CellSelector) Select(cells []Cell, cores float64) int {
	if len(c.ignoredCores) != len(cells) {
		c.ignoredCores = make([]float64, len(cells))
	}
	least := 0.0
	for i := range cells {
		if cells[i].hasCapacity(cores) {
			if share := cores / cells[i].Capacity; least == 0 || share < least {
				least = share
			}
		}
	}
	if least == 0 {
		return -1
	}
	if c.goal.L == 0 {
		c.goal.L = least
	}
	for {
		for i := range cells {
			if cells[i].hasCapacity(cores) && c.assignable(i, &cells[i], cores) {
				return i
			}
		}
		c.goal.L *= 2
		c.goal.Phase++
		for i := range cells {
			c.ignoredCores[i] = cells[i].Used
		}
	}
}

// assignable tells whether a job keeps to the goal L in a cell.
func (c *CellSelector) assignable(i int, cell *Cell, cores float64) bool {
	// Jobs that have returned since the phase began no longer count as ignored.
	c.ignoredCores[i] = min(c.ignoredCores[i], cell.Used)
	share := cores / cell.Capacity
	load := (cell.Used - c.ignoredCores[i]) / cell.Capacity
	return share <= c.goal.L+tolerance && load+share <= c.goal.C*c.goal.L+tolerance
}

// Reset starts with a new goal. It is called when nothing is delegated.
func (c *CellSelector) Reset() { c.goal.L, c.ignoredCores = 0, nil }
