// Package quota counts what the teams of a cell may use, what is guaranteed to them, and what
// their tasks use.
package quota

import (
	"math"

	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
)

// unitsPerCore is how many units one core, or one GPU, is counted as. Sums of units are exact,
// whatever the order of their parts.
const unitsPerCore = 1e6

// roundingError is what a size may be off by, in units, without being rounded up to the next one.
const roundingError = 1e-3

// Units counts resources exactly.
type Units struct{ cpus, gpus int64 }

// UnitsOf is what a size takes.
func UnitsOf(s slowfit.Size) Units {
	return Units{int64(math.Ceil(s.CPUs*unitsPerCore - roundingError)), int64(math.Ceil(s.GPUs*unitsPerCore - roundingError))}
}

// unitsFromSettings is an amount from the settings.
func unitsFromSettings(cpus, gpus float64) Units {
	return Units{int64(cpus * unitsPerCore), int64(gpus * unitsPerCore)}
}

// Plus is the sum of two amounts.
func (u Units) Plus(o Units) Units { return Units{u.cpus + o.cpus, u.gpus + o.gpus} }

// Minus is the difference of two amounts.
func (u Units) Minus(o Units) Units { return Units{u.cpus - o.cpus, u.gpus - o.gpus} }

// Times is a multiple of an amount.
func (u Units) Times(n int) Units { return Units{u.cpus * int64(n), u.gpus * int64(n)} }

// Cores is an amount of CPUs in cores.
func (u Units) Cores() float64 { return float64(u.cpus) / unitsPerCore }

// IsZero tells whether an amount has neither CPUs nor GPUs.
func (u Units) IsZero() bool { return u == Units{} }

// atMost tells whether no resource of an amount exceeds another amount's.
func (u Units) atMost(o Units) bool { return u.cpus <= o.cpus && u.gpus <= o.gpus }

// Team is the quota of one team, and what its tasks use.
type Team struct {
	guarantee Units
	limit     Units // a resource that is zero has no limit
	allocated Units
}

// Allocated is what all allocations of the team's tasks take, whatever their state.
func (t *Team) Allocated() Units { return t.allocated }

// Allocate notes a new allocation.
func (t *Team) Allocate(size slowfit.Size) { t.allocated = t.allocated.Plus(UnitsOf(size)) }

// Deallocate notes that an allocation has ended.
func (t *Team) Deallocate(size slowfit.Size) { t.allocated = t.allocated.Minus(UnitsOf(size)) }

// CPULimit is the team's limit in cores, if it has one.
func (t *Team) CPULimit() (cores float64, limited bool) { return t.limit.Cores(), t.limit.cpus > 0 }

// UnusedGuarantee is how many of its guaranteed cores the team does not use.
func (t *Team) UnusedGuarantee() float64 { return max(0, t.guarantee.Minus(t.allocated).Cores()) }

// WithinGuarantee tells whether the team has a guarantee that covers a demand.
func (t *Team) WithinGuarantee(demand Units) bool {
	return (t.guarantee.cpus > 0 || t.guarantee.gpus > 0) && demand.atMost(t.guarantee)
}

// Allows tells whether the team's limit allows so much use.
func (t *Team) Allows(use Units) bool {
	return (t.limit.cpus == 0 || use.cpus <= t.limit.cpus) && (t.limit.gpus == 0 || use.gpus <= t.limit.gpus)
}

// AllowsAnother tells whether the team may have one more task of a size, besides what its tasks
// may use unseen.
func (t *Team) AllowsAnother(size slowfit.Size, uncertain Units) bool {
	return t.Allows(t.allocated.Plus(uncertain).Plus(UnitsOf(size)))
}

// AdditionalTasks is how many more tasks of a size the team's limit allows while the team uses so much.
func (t *Team) AdditionalTasks(size slowfit.Size, used Units) int {
	need := UnitsOf(size)
	n := math.MaxInt32
	if t.limit.cpus > 0 && need.cpus > 0 {
		n = min(n, int((t.limit.cpus-used.cpus)/need.cpus))
	}
	if t.limit.gpus > 0 && need.gpus > 0 {
		n = min(n, int((t.limit.gpus-used.gpus)/need.gpus))
	}
	return max(n, 0)
}

// Teams are the quotas of all teams by index. The last one is for jobs of teams that the settings
// no longer name: it has neither a guarantee nor a limit.
type Teams struct {
	list        []Team
	indexByName map[string]int32
}

// NewTeams takes the quotas from the settings.
func NewTeams(teams []settings.Team) Teams {
	q := Teams{indexByName: map[string]int32{}}
	for _, t := range teams {
		q.indexByName[t.Name] = int32(len(q.list))
		q.list = append(q.list, Team{guarantee: unitsFromSettings(t.CPUs, t.GPUs), limit: unitsFromSettings(t.CPUsMax, t.GPUsMax)})
	}
	q.list = append(q.list, Team{})
	return q
}

// Index is the index of a team.
func (q *Teams) Index(name string) int32 {
	if i, ok := q.indexByName[name]; ok {
		return i
	}
	return int32(len(q.list)) - 1
}

// Len is the number of indices.
func (q *Teams) Len() int { return len(q.list) }

// Team is the team of an index.
func (q *Teams) Team(index int32) *Team { return &q.list[index] }
