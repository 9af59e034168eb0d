// Package quota holds the resource quotas of a cell's teams, their guarantees and limits, and counts
// what the teams' tasks use.
package quota

import (
	"math"

	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
)

// unitsPerCore is the number of units per core or GPU. Units are integers, so that sums do not
// depend on the order of addition.
const unitsPerCore = 1e6

// roundingError is by how much, in units, floating-point error may lift a size above a whole unit
// without the size being rounded up to the next one.
const roundingError = 1e-3

// Units is an exact amount of CPUs and GPUs.
type Units struct{ cpus, gpus int64 }

// UnitsOf returns the amount that a size takes, rounded up.
func UnitsOf(size slowfit.Size) Units {
	return Units{int64(math.Ceil(size.CPUs*unitsPerCore - roundingError)), int64(math.Ceil(size.GPUs*unitsPerCore - roundingError))}
}

// unitsFromSettings converts an amount of cores and GPUs in the settings, rounded down.
func unitsFromSettings(cpus, gpus float64) Units {
	return Units{int64(cpus * unitsPerCore), int64(gpus * unitsPerCore)}
}

// Plus returns the sum of two amounts.
func (u Units) Plus(other Units) Units { return Units{u.cpus + other.cpus, u.gpus + other.gpus} }

// Minus returns the difference of two amounts.
func (u Units) Minus(other Units) Units { return Units{u.cpus - other.cpus, u.gpus - other.gpus} }

// Times returns the amount multiplied by n.
func (u Units) Times(n int) Units { return Units{u.cpus * int64(n), u.gpus * int64(n)} }

// Cores returns the CPUs of an amount in cores.
func (u Units) Cores() float64 { return float64(u.cpus) / unitsPerCore }

// IsZero reports whether an amount has neither CPUs nor GPUs.
func (u Units) IsZero() bool { return u == Units{} }

// atMost reports whether neither the CPUs nor the GPUs of u exceed those of the other amount.
func (u Units) atMost(other Units) bool { return u.cpus <= other.cpus && u.gpus <= other.gpus }

// Team is the quota of one team and the resources that its tasks use.
type Team struct {
	guarantee Units
	limit     Units // a resource that is zero has no limit
	allocated Units
}

// Allocated returns what all allocations of the team take, in whatever state they are.
func (t *Team) Allocated() Units { return t.allocated }

// Allocate adds a new allocation.
func (t *Team) Allocate(size slowfit.Size) { t.allocated = t.allocated.Plus(UnitsOf(size)) }

// Deallocate subtracts an allocation that has been released.
func (t *Team) Deallocate(size slowfit.Size) { t.allocated = t.allocated.Minus(UnitsOf(size)) }

// CPULimit returns the team's limit in cores and whether it has one.
func (t *Team) CPULimit() (cores float64, limited bool) { return t.limit.Cores(), t.limit.cpus > 0 }

// UnusedGuarantee returns the guaranteed cores that the team does not use, at least 0.
func (t *Team) UnusedGuarantee() float64 { return max(0, t.guarantee.Minus(t.allocated).Cores()) }

// WithinGuarantee reports whether the team has a guarantee and a demand does not exceed it.
func (t *Team) WithinGuarantee(demand Units) bool {
	return (t.guarantee.cpus > 0 || t.guarantee.gpus > 0) && demand.atMost(t.guarantee)
}

// Allows reports whether a total use is within the team's limit.
func (t *Team) Allows(use Units) bool {
	return (t.limit.cpus == 0 || use.cpus <= t.limit.cpus) && (t.limit.gpus == 0 || use.gpus <= t.limit.gpus)
}

// AllowsAnother reports whether the limit allows one more task of a size, in addition to the
// allocations and to uncertain, what its tasks may use without the leader seeing it.
func (t *Team) AllowsAnother(size slowfit.Size, uncertain Units) bool {
	return t.AllowsMore(size, 1, uncertain)
}

// AllowsMore is like AllowsAnother for any number of tasks. Zero tasks are allowed if the present use
// is within the limit.
func (t *Team) AllowsMore(size slowfit.Size, tasks int, uncertain Units) bool {
	return t.Allows(t.allocated.Plus(uncertain).Plus(UnitsOf(size).Times(tasks)))
}

// AdditionalTasks returns how many more tasks of a size the limit allows when the team uses the
// given amount; math.MaxInt32 without a limit.
func (t *Team) AdditionalTasks(size slowfit.Size, used Units) int {
	need := UnitsOf(size)
	tasks := math.MaxInt32
	if t.limit.cpus > 0 && need.cpus > 0 {
		tasks = min(tasks, int((t.limit.cpus-used.cpus)/need.cpus))
	}
	if t.limit.gpus > 0 && need.gpus > 0 {
		tasks = min(tasks, int((t.limit.gpus-used.gpus)/need.gpus))
	}
	return max(tasks, 0)
}

// Teams holds the quotas of all teams by index. The last entry stands for teams that the settings no
// longer name; it has neither a guarantee nor a limit.
type Teams struct {
	list        []Team
	indexByName map[string]int32
}

// NewTeams returns the quotas of the teams in the settings.
func NewTeams(teams []settings.Team) Teams {
	quotas := Teams{indexByName: map[string]int32{}}
	for _, team := range teams {
		quotas.indexByName[team.Name] = int32(len(quotas.list))
		quotas.list = append(quotas.list, Team{guarantee: unitsFromSettings(team.CPUs, team.GPUs), limit: unitsFromSettings(team.CPUsMax, team.GPUsMax)})
	}
	quotas.list = append(quotas.list, Team{})
	return quotas
}

// Index returns the index of a team. Teams that the settings do not name share the last index.
func (t *Teams) Index(name string) int32 {
	if index, ok := t.indexByName[name]; ok {
		return index
	}
	return int32(len(t.list)) - 1
}

// Len returns the number of indices.
func (t *Teams) Len() int { return len(t.list) }

// Team returns the quota of the team at an index.
func (t *Teams) Team(index int32) *Team { return &t.list[index] }
