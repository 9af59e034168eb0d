package settings

import (
	"fmt"
	"slices"
	"time"
)

// Cells configures the federation of this cell with the operator's other cells: which jobs and how
// much capacity may be exchanged with them. A cell without a name has no neighbours: it delegates
// no jobs and accepts none.
type Cells struct {
	// Name is the name of this cell. All its controllers must have the same.
	Name string
	// DelegateJobs makes this cell delegate jobs to its neighbours. If false, it only accepts
	// foreign jobs.
	DelegateJobs bool
	// ShortageFor is how long a shortage of capacity must last before jobs are offered to other
	// cells, and how long there must be no shortage before that stops.
	ShortageFor time.Duration
	// MaxWait is how long a job without a deadline may be expected to wait before it is offered to
	// other cells.
	MaxWait time.Duration
	// TraceFile is the file to which the steps of transfers are written as spans; "" disables
	// tracing.
	TraceFile string
	// Neighbours holds the other cells in order of preference.
	Neighbours []Neighbour
	// Repeatable is true for the classes whose jobs may run again if it is not known whether they
	// have run. Jobs of all other classes must run at most once.
	Repeatable map[string]bool
}

// Neighbour configures one of the other cells.
type Neighbour struct {
	Name string
	// Controllers holds the addresses at which its controllers serve their peers.
	Controllers []string
	// Preference orders the neighbours: the one with the lowest value is preferred.
	Preference int
	// MaxJobs and MaxCores limit the jobs and their cores that are delegated to it at once.
	MaxJobs  int
	MaxCores float64
	// MaxOfferedCores limits the capacity, in cores, that is offered to it at once.
	MaxOfferedCores float64
	// ReclaimAfter is how long it may leave messages unanswered before a repeatable job is
	// reclaimed from it.
	ReclaimAfter time.Duration
	// Draining stops new transfers: nothing more is offered to it or accepted from it. Open
	// transfers continue to their end.
	Draining bool
}

// Find returns the neighbour with a name, and false if there is none.
func (c *Cells) Find(name string) (Neighbour, bool) {
	i := slices.IndexFunc(c.Neighbours, func(n Neighbour) bool { return n.Name == name })
	if i < 0 {
		return Neighbour{}, false
	}
	return c.Neighbours[i], true
}

// defaultCells returns the settings that apply without any section about cells.
func defaultCells() Cells {
	return Cells{ShortageFor: 10 * time.Second, MaxWait: time.Minute, Repeatable: map[string]bool{}}
}

// defaultNeighbour returns the settings of a neighbour whose section has only its addresses.
func defaultNeighbour(name string) Neighbour {
	return Neighbour{Name: name, MaxJobs: 100, MaxCores: 256, ReclaimAfter: 5 * time.Minute}
}

// CheckNeighbours returns an ErrConflict if a neighbour has the address of a controller of this
// cell, which only the platform's file names.
func CheckNeighbours(platform *Platform, operator Operator) error {
	for _, neighbour := range operator.Cells.Neighbours {
		for _, controller := range platform.Controllers() {
			if slices.Contains(neighbour.Controllers, controller.Addr) {
				return fmt.Errorf("%w: neighbour %s: %s is the address of a controller of this cell", ErrConflict, neighbour.Name, controller.Addr)
			}
		}
	}
	return nil
}
