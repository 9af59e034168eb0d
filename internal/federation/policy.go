package federation

import (
	"time"

	"leadproxy/internal/slowfit"
)

// Shortage tells when home is short of room: not at the first moment at which it seems
// so, nor only until the first at which it does not.
type Shortage struct {
	// For is how long it must seem so without a break, and how long not.
	For    time.Duration
	active bool
	// differs: the looks have said the opposite since then.
	differs bool
	since   time.Duration
}

// Look takes a look at a moment and tells whether there is a shortage.
func (s *Shortage) Look(now time.Duration, short bool) bool {
	switch {
	case short == s.active:
		s.differs = false
	case !s.differs:
		s.differs, s.since = true, now
	case now-s.since >= s.For:
		s.active, s.differs = short, false
	}
	return s.active
}

// Active tells what the last look told.
func (s *Shortage) Active() bool { return s.active }

// Cell is a neighbour as the choice sees it.
type Cell struct {
	// Capacity is what may be away there at once, in cores, and Used what is.
	Capacity, Used float64
	// Credit is what it has offered and nothing has used yet.
	Credit float64
	// Jobs may still be sent there.
	Jobs int
	// Excluded: it has refused this job, or an earlier epoch is not settled.
	Excluded bool
}

// CellSelector names the neighbour for a job. It is SLOW-FIT with cells for machines: in the
// operators' order, the first in which the job's load, its share of the capacity, is at
// most L and the total stays within c times L. Where some have room but none passes, L
// doubles and what is away counts as nothing; where none has room, the job stays. The
// capacity and the credit are hard bounds besides.
type CellSelector struct {
	goal slowfit.Goal
	// forgotten is what was away when the present phase began, by cell.
	forgotten []float64
}

// NewCellSelector makes a chooser with the c of SLOW-FIT.
func NewCellSelector(c float64) *CellSelector { return &CellSelector{goal: slowfit.Goal{C: c}} }

// rounding absorbs the rounding of sums of decimal amounts.
const rounding = 1e-6

func (c *Cell) room(cores float64) bool {
	return !c.Excluded && c.Jobs > 0 && cores <= c.Credit+rounding && c.Used+cores <= c.Capacity+rounding
}

// Choose returns the place of the neighbour that a job of so many cores goes to, or -1.
// The neighbours are always given in the same order.
func (c *CellSelector) Choose(cells []Cell, cores float64) int {
	if len(c.forgotten) != len(cells) {
		c.forgotten = make([]float64, len(cells))
	}
	least := 0.0
	for i := range cells {
		if cells[i].room(cores) {
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
			if cells[i].room(cores) && c.passes(i, &cells[i], cores) {
				return i
			}
		}
		c.goal.L *= 2
		c.goal.Phase++
		for i := range cells {
			c.forgotten[i] = cells[i].Used
		}
	}
}

// passes tells whether a job keeps to the goal in a cell.
func (c *CellSelector) passes(i int, cell *Cell, cores float64) bool {
	// What has come back since the phase began is taken from what counts.
	c.forgotten[i] = min(c.forgotten[i], cell.Used)
	share := cores / cell.Capacity
	load := (cell.Used - c.forgotten[i]) / cell.Capacity
	return share <= c.goal.L+rounding && load+share <= c.goal.C*c.goal.L+rounding
}

// Rest starts the goal anew, when nothing is away.
func (c *CellSelector) Rest() { c.goal.L, c.forgotten = 0, nil }
