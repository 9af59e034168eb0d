package rollout

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Group is a set of jobs that share a disruption budget: the jobs of a team or of a class.
type Group string

const (
	teamGroupPrefix  = "team "
	classGroupPrefix = "class "
)

// TeamGroup is the group of all jobs of a team.
func TeamGroup(team string) Group { return Group(teamGroupPrefix + team) }

// ClassGroup is the group of all jobs of a class.
func ClassGroup(class string) Group { return Group(classGroupPrefix + class) }

// Team returns the name of the team; ok is false for the group of a class.
func (g Group) Team() (name string, ok bool) { return strings.CutPrefix(string(g), teamGroupPrefix) }

// Job identifies a job and the groups to which it belongs.
type Job struct {
	ID          string
	Team, Class string
}

func (j Job) groups() []Group { return []Group{TeamGroup(j.Team), ClassGroup(j.Class)} }

// Budget limits how many jobs of a group may be disrupted at the same time.
type Budget struct {
	// Jobs is the maximum number of disrupted jobs. It applies if Share is 0; if both are 0, no
	// job may be disrupted.
	Jobs int
	// Share is the maximum as a fraction of the group's running jobs, rounded down, but at least
	// one job.
	Share float64
	// Window is the minimum time for which a disruption counts, even if it ends sooner.
	Window time.Duration
}

// limit returns the maximum number of disrupted jobs for a group with the given number of running
// jobs.
func (b Budget) limit(running int) int {
	if b.Share > 0 {
		return max(1, int(math.Floor(b.Share*float64(running))))
	}
	return b.Jobs
}

// Budgets holds the budgets of all groups.
type Budgets struct {
	// TeamDefault is the budget of each team that is not in ByGroup. A class that is not in
	// ByGroup has no budget, and neither have jobs without a team.
	TeamDefault Budget
	ByGroup     map[Group]Budget
}

// budgetOf returns the budget of a group; ok is false if the group has none, that is, no limit.
func (b Budgets) budgetOf(g Group) (budget Budget, ok bool) {
	if budget, ok = b.ByGroup[g]; ok {
		return budget, true
	}
	if name, isTeam := g.Team(); isTeam && name != "" {
		return b.TeamDefault, true
	}
	return Budget{}, false
}

// LongestWindow returns the longest window of all budgets.
func (b Budgets) LongestWindow() time.Duration {
	longest := b.TeamDefault.Window
	for _, budget := range b.ByGroup {
		longest = max(longest, budget.Window)
	}
	return longest
}

// BudgetError means that the budget of a group does not allow another disrupted job.
type BudgetError struct {
	Group            Group
	Disrupted, Limit int
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("the budget of %s: %d of %d jobs", e.Group, e.Disrupted, e.Limit)
}
