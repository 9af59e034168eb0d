package federation

import "leadproxy/internal/slowfit"

// Cell describes a neighbour to the CellSelector.
type Cell struct {
	// Capacity is the most cores that may be delegated to the neighbour at a time, and Used is
	// the cores of the jobs that are delegated to it now.
	Capacity, Used float64
	// Credit is the unused part of the capacity that the neighbour has offered, in cores.
	Credit float64
	// RemainingJobs is how many more jobs may be delegated to the neighbour.
	RemainingJobs int
	// Excluded rules out the neighbour for this job, because it has refused the job or may still
	// run an earlier epoch of it.
	Excluded bool
}

// CellSelector selects the neighbour for a job by SLOW-FIT, with cells as machines: it selects the
// first cell in the order of the settings in which the load of the job (its share of the cell's
// capacity) is at most L and the total load is at most c times L. If some cells can hold the job but
// none is assignable, L doubles and earlier load counts as zero. If no cell can hold it, the job
// stays at the origin. Capacity, credit and the number of jobs are hard bounds in addition.
type CellSelector struct {
	goal slowfit.Goal
	// ignoredCores is, by cell, the number of cores that were delegated when the current phase
	// of the goal began and still are. They do not count as load.
	ignoredCores []float64
}

// NewCellSelector returns a selector with the constant c of SLOW-FIT.
func NewCellSelector(c float64) *CellSelector { return &CellSelector{goal: slowfit.Goal{C: c}} }

// tolerance absorbs rounding errors in sums of decimal amounts.
const tolerance = 1e-6

// hasCapacity reports whether a job with this number of cores is within the cell's hard bounds.
func (c *Cell) hasCapacity(cores float64) bool {
	return !c.Excluded && c.RemainingJobs > 0 && cores <= c.Credit+tolerance && c.Used+cores <= c.Capacity+tolerance
}

// Select returns the index of the neighbour for a job with this number of cores, or -1 if no
// neighbour has capacity. The neighbours must be given in the same order in every call.
func (s *CellSelector) Select(cells []Cell, cores float64) int {
	if len(s.ignoredCores) != len(cells) {
		s.ignoredCores = make([]float64, len(cells))
	}
	leastShare := 0.0
	for i := range cells {
		if cells[i].hasCapacity(cores) {
			if share := cores / cells[i].Capacity; leastShare == 0 || share < leastShare {
				leastShare = share
			}
		}
	}
	if leastShare == 0 {
		return -1
	}
	if s.goal.L == 0 {
		s.goal.L = leastShare
	}
	for {
		for i := range cells {
			if cells[i].hasCapacity(cores) && s.assignable(i, &cells[i], cores) {
				return i
			}
		}
		s.goal.L *= 2
		s.goal.Phase++
		for i := range cells {
			s.ignoredCores[i] = cells[i].Used
		}
	}
}

// assignable reports whether the cell stays within the goal L if the job is delegated to it.
func (s *CellSelector) assignable(i int, cell *Cell, cores float64) bool {
	// Cores of jobs that have left the cell since the phase began are no longer ignored.
	s.ignoredCores[i] = min(s.ignoredCores[i], cell.Used)
	share := cores / cell.Capacity
	load := (cell.Used - s.ignoredCores[i]) / cell.Capacity
	return share <= s.goal.L+tolerance && load+share <= s.goal.C*s.goal.L+tolerance
}

// Reset discards the goal. It is called when no job is delegated.
func (s *CellSelector) Reset() { s.goal.L, s.ignoredCores = 0, nil }
