package settings

import (
	"fmt"
	"slices"
	"time"
)

// Cells describes the other cells of the operator, and what jobs and capacity may pass between
// them and this one. Without a name the cell has no neighbours: nothing is offered and nothing
// is accepted.
type Cells struct {
	// Name is this cell's, and the same for all its controllers.
	Name string
	// DelegateJobs has this cell delegate jobs to others; without it, it only accepts foreign jobs.
	DelegateJobs bool
	// ShortageFor is how long a shortage must last before jobs are offered to other cells, and
	// how long there must be none before that ends.
	ShortageFor time.Duration
	// MaxWait is how long a job without a deadline may be expected to wait.
	MaxWait time.Duration
	// TraceFile is where the steps of transfers are traced to; "" disables tracing.
	TraceFile string
	// Neighbours are in order of preference.
	Neighbours []Neighbour
	// Repeatable holds the classes whose jobs may run again after an uncertain run.
	// All others must run at most once.
	Repeatable map[string]bool
}

// Neighbour is another cell.
type Neighbour struct {
	Name string
	// Controllers are the addresses at which its controllers serve each other.
	Controllers []string
	// Preference orders the neighbours, the lowest first.
	Preference int
	// MaxJobs and MaxCores bound what is delegated to it at once.
	MaxJobs  int
	MaxCores float64
	// MaxOfferedCores bounds the capacity that is offered to it at once.
	MaxOfferedCores float64
	// ReclaimAfter is after how long without an answer a repeatable job is reclaimed.
	ReclaimAfter time.Duration
	// Draining ends the relation: nothing more is offered to it or accepted from it.
	Draining bool
}

// Find returns the neighbour of a name.
func (c *Cells) Find(name string) (Neighbour, bool) {
	i := slices.IndexFunc(c.Neighbours, func(n Neighbour) bool { return n.Name == name })
	if i < 0 {
		return Neighbour{}, false
	}
	return c.Neighbours[i], true
}

// defaultCells are the settings of a cell that has only its name.
func defaultCells() Cells {
	return Cells{ShortageFor: 10 * time.Second, MaxWait: time.Minute, Repeatable: map[string]bool{}}
}

// defaultNeighbour are the bounds of a neighbour that has only its addresses.
func defaultNeighbour(name string) Neighbour {
	return Neighbour{Name: name, MaxJobs: 100, MaxCores: 256, ReclaimAfter: 5 * time.Minute}
}

// CheckNeighbours refuses neighbours that have the address of a controller of this cell. That
// takes both files: the platform's has the controllers.
func CheckNeighbours(platform *Platform, operator Operator) error {
	for _, neighbour := range operator.Cells.Neighbours {
		for _, own := range platform.Controllers() {
			if slices.Contains(neighbour.Controllers, own.Addr) {
				return fmt.Errorf("%w: neighbour %s: %s is the address of a controller of this cell", ErrConflict, neighbour.Name, own.Addr)
			}
		}
	}
	return nil
}
