// Package rollout controls how machines are drained and replaced in steps, within disruption
// budgets: which jobs may be disrupted at a time, and the phases of a plan. It is pure: the
// caller passes the time and the events, and carries out the actions that are returned.
package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Group is whom a budget is for: a team or a class.
type Group string

const (
	teamGroupPrefix  = "team "
	classGroupPrefix = "class "
)

// TeamGroup is the group of all jobs of a team.
func TeamGroup(team string) Group { return Group(teamGroupPrefix + team) }

// ClassGroup is the group of all jobs of a class.
func ClassGroup(class string) Group { return Group(classGroupPrefix + class) }

// Team returns the name of the group's team; ok is false if the group is a class.
func (g Group) Team() (name string, ok bool) { return strings.CutPrefix(string(g), teamGroupPrefix) }

// Budget is how many jobs of a group may be disrupted at once.
type Budget struct {
	// Jobs is a number; 0 with Share 0: none may.
	Jobs int
	// Share is of the group's running jobs, instead of a number; at least one job.
	Share float64
	// Window is how long a disruption counts at least.
	Window time.Duration
}

// jobs is the budget in jobs for a group of which so many run.
func (b Budget) jobs(running int) int {
	if b.Share > 0 {
		return max(1, int(math.Floor(b.Share*float64(running))))
	}
	return b.Jobs
}

// Budgets are those of all groups. Teams without one have the general one, classes none.
type Budgets struct {
	General Budget
	Of      map[Group]Budget
}

// Job is a job as the account sees it.
type Job struct {
	Ref         string
	Team, Class string
}

func (j Job) groups() []Group { return []Group{TeamGroup(j.Team), ClassGroup(j.Class)} }

// Cause is why a task lost its place.
type Cause string

// Move is the voluntary cause; all others are involuntary.
const Move Cause = "move"

// disruption is that of one job.
type disruption struct {
	job   Job
	began time.Duration
	// tasks are those that have not regained what they lost, and what that is.
	tasks map[int]*lostTask
	cause Cause // the first one
	ended time.Duration
	open  bool
}

type lostTask struct {
	lost    time.Duration
	running bool
	since   time.Duration // when it began to run again
}

// Account counts the disrupted jobs. All voluntary disruption goes through it.
type Account struct {
	budgets Budgets
	jobs    map[string]*disruption
}

// NewAccount makes an account with nothing disrupted.
func NewAccount(b Budgets) *Account { return &Account{budgets: b, jobs: map[string]*disruption{}} }

// Lose notes that a task of a job has lost its place, and progress that took so long.
func (a *Account) Lose(j Job, task int, lost time.Duration, cause Cause, now time.Duration) {
	d := a.jobs[j.Ref]
	if d == nil {
		d = &disruption{job: j, began: now, cause: cause, tasks: map[int]*lostTask{}}
		a.jobs[j.Ref] = d
	}
	if !d.open {
		d.open, d.began, d.cause = true, now, cause
	}
	if t := d.tasks[task]; t != nil {
		lost = max(lost, t.lost)
	}
	d.tasks[task] = &lostTask{lost: lost}
}

// Runs notes that a task runs, from now on if it did not.
func (a *Account) Runs(ref string, task int, now time.Duration) {
	d := a.jobs[ref]
	if d == nil {
		return
	}
	if t := d.tasks[task]; t != nil && !t.running {
		t.running, t.since = true, now
	}
}

// Ends notes that a task is done, for which nothing is to be regained.
func (a *Account) Ends(ref string, task int, now time.Duration) {
	if d := a.jobs[ref]; d != nil {
		delete(d.tasks, task)
		d.settle(now)
	}
}

// Over notes that a job is over.
func (a *Account) Over(ref string, now time.Duration) {
	if d := a.jobs[ref]; d != nil {
		clear(d.tasks)
		d.settle(now)
	}
}

// settle ends a disruption of which nothing is left.
func (d *disruption) settle(now time.Duration) {
	if d.open && len(d.tasks) == 0 {
		d.open, d.ended = false, now
	}
}

// Tick ends what has regained its progress and forgets what counts no longer.
func (a *Account) Tick(now time.Duration) {
	for ref, d := range a.jobs {
		for n, t := range d.tasks {
			if t.running && now-t.since >= t.lost {
				delete(d.tasks, n)
			}
		}
		d.settle(now)
		if !a.counts(d, now) {
			delete(a.jobs, ref)
		}
	}
}

// counts tells whether a disruption still counts for one of its groups.
func (a *Account) counts(d *disruption, now time.Duration) bool {
	return slices.ContainsFunc(d.job.groups(), func(g Group) bool { return a.countsFor(d, g, now) })
}

func (a *Account) countsFor(d *disruption, g Group, now time.Duration) bool {
	b, ok := a.budget(g)
	return d.open || ok && now-d.began < b.Window
}

// budget is a group's; ok is false if it has none.
func (a *Account) budget(g Group) (b Budget, ok bool) {
	if b, ok = a.budgets.Of[g]; ok {
		return b, true
	}
	if name, isTeam := g.Team(); isTeam && name != "" {
		return a.budgets.General, true
	}
	return Budget{}, false
}

// Longest is the longest window of all budgets.
func (b Budgets) Longest() time.Duration {
	longest := b.General.Window
	for _, o := range b.Of {
		longest = max(longest, o.Window)
	}
	return longest
}

// Disrupted tells whether a job is disrupted now.
func (a *Account) Disrupted(ref string) bool {
	d := a.jobs[ref]
	return d != nil && d.open
}

// Used is how many jobs count for a group.
func (a *Account) Used(g Group, now time.Duration) (n int) {
	for _, d := range a.jobs {
		if slices.Contains(d.job.groups(), g) && a.countsFor(d, g, now) {
			n++
		}
	}
	return n
}

// May tells whether a task of a job may be moved, and if not, what stands against it. running
// is how many jobs of a group run. A job that is disrupted already does not count against
// itself; but where machines have hit more jobs than the budget allows, none of them is moved
// on top of that.
func (a *Account) May(j Job, running func(Group) int, now time.Duration) (ok bool, why string) {
	for _, g := range j.groups() {
		b, ok := a.budget(g)
		if !ok {
			continue
		}
		used, limit := a.Used(g, now), b.jobs(running(g))
		if d := a.jobs[j.Ref]; d != nil && a.countsFor(d, g, now) {
			used-- // it counts already
		}
		if used >= limit {
			return false, fmt.Sprintf("the budget of %s: %d of %d jobs", g, used, limit)
		}
	}
	return true, ""
}

// Entry is a disrupted job as operators see it.
type Entry struct {
	Job   Job
	Cause Cause
	For   time.Duration
	Tasks int
	Open  bool
}

// Entries lists the jobs that count, the oldest disruption first.
func (a *Account) Entries(now time.Duration) []Entry {
	var all []Entry
	for _, ref := range slices.Sorted(maps.Keys(a.jobs)) {
		d := a.jobs[ref]
		all = append(all, Entry{Job: d.job, Cause: d.cause, For: now - d.began, Tasks: len(d.tasks), Open: d.open})
	}
	slices.SortStableFunc(all, func(x, y Entry) int { return cmp.Compare(y.For, x.For) })
	return all
}
