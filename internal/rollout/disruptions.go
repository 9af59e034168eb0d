package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Cause is the reason for which a task lost its machine.
type Cause string

// Move is the cause of voluntary disruptions, the evictions by plans. All others are involuntary.
const Move Cause = "move"

// disruption is the disruption of one job: from the moment when a task loses its machine until
// all its tasks have regained the progress that they lost.
type disruption struct {
	job     Job
	started time.Duration
	// tasks are those that have not regained their lost progress.
	tasks map[int]*disruptedTask
	// cause is that of the first task.
	cause   Cause
	ongoing bool
}

// disruptedTask is a task that has lost its machine.
type disruptedTask struct {
	lostProgress time.Duration
	running      bool
	runningSince time.Duration // if running
}

// Account tracks the disrupted jobs and compares them with the budgets. Voluntary and
// involuntary disruptions are recorded in it, and only voluntary ones are ever refused.
type Account struct {
	budgets Budgets
	jobs    map[string]*disruption
}

// NewAccount returns a tracker without disrupted jobs.
func NewAccount(b Budgets) *Account { return &Account{budgets: b, jobs: map[string]*disruption{}} }

// Lose records that a task of a job has lost its machine, and progress that took a time to make.
func (t *Account) Lose(j Job, index int, lostProgress time.Duration, cause Cause, now time.Duration) {
	d := t.jobs[j.Ref]
	if d == nil {
		d = &disruption{job: j, tasks: map[int]*disruptedTask{}}
		t.jobs[j.Ref] = d
	}
	if !d.ongoing {
		d.ongoing, d.started, d.cause = true, now, cause
	}
	if task := d.tasks[index]; task != nil {
		lostProgress = max(lostProgress, task.lostProgress)
	}
	d.tasks[index] = &disruptedTask{lostProgress: lostProgress}
}

// Runs records that a task runs, from now on if it did not before.
func (t *Account) Runs(jobID string, index int, now time.Duration) {
	d := t.jobs[jobID]
	if d == nil {
		return
	}
	if task := d.tasks[index]; task != nil && !task.running {
		task.running, task.runningSince = true, now
	}
}

// Ends records that a task has finished and has no progress to regain any more.
func (t *Account) Ends(jobID string, index int, now time.Duration) {
	if d := t.jobs[jobID]; d != nil {
		delete(d.tasks, index)
		d.endIfRegained()
	}
}

// Over records that a job has ended.
func (t *Account) Over(jobID string, now time.Duration) {
	if d := t.jobs[jobID]; d != nil {
		clear(d.tasks)
		d.endIfRegained()
	}
}

// endIfRegained ends a disruption of which no task is left.
func (d *disruption) endIfRegained() {
	if len(d.tasks) == 0 {
		d.ongoing = false
	}
}

// Tick ends the disruptions whose progress is regained, and forgets those that do not count any
// more.
func (t *Account) Tick(now time.Duration) {
	for jobID, d := range t.jobs {
		for index, task := range d.tasks {
			if task.running && now-task.runningSince >= task.lostProgress {
				delete(d.tasks, index)
			}
		}
		d.endIfRegained()
		if !t.counts(d, now) {
			delete(t.jobs, jobID)
		}
	}
}

// counts reports whether a disruption still counts for one of its groups.
func (t *Account) counts(d *disruption, now time.Duration) bool {
	return slices.ContainsFunc(d.job.groups(), func(g Group) bool { return t.countsFor(d, g, now) })
}

func (t *Account) countsFor(d *disruption, g Group, now time.Duration) bool {
	budget, ok := t.budgets.budgetOf(g)
	return d.ongoing || ok && now-d.started < budget.Window
}

// isRecorded reports whether a job's disruption still counts, as of the last tick.
func (t *Account) isRecorded(jobID string) bool { return t.jobs[jobID] != nil }

// isDisrupted reports whether a job is disrupted now.
func (t *Account) isDisrupted(jobID string) bool {
	d := t.jobs[jobID]
	return d != nil && d.ongoing
}

// disruptedJobs is the number of jobs that count for a group.
func (t *Account) disruptedJobs(g Group, now time.Duration) int {
	count := 0
	for _, d := range t.jobs {
		if slices.Contains(d.job.groups(), g) && t.countsFor(d, g, now) {
			count++
		}
	}
	return count
}

// checkBudgets returns a BudgetError if the budgets do not allow to evict a task of a job.
// running is the number of running jobs of a group. A job that is already disrupted does not
// count against itself; but where lost machines have disrupted more jobs than the budget allows,
// none of these is evicted on top of that.
func (t *Account) checkBudgets(j Job, running func(Group) int, now time.Duration) error {
	for _, g := range j.groups() {
		budget, ok := t.budgets.budgetOf(g)
		if !ok {
			continue
		}
		disrupted, limit := t.disruptedJobs(g, now), budget.limit(running(g))
		if d := t.jobs[j.Ref]; d != nil && t.countsFor(d, g, now) {
			disrupted-- // the job itself
		}
		if disrupted >= limit {
			return &BudgetError{Group: g, Disrupted: disrupted, Limit: limit}
		}
	}
	return nil
}

// Entry is a disrupted job as operators see it.
type Entry struct {
	Job   Job
	Cause Cause
	// For is the time since the disruption began.
	For time.Duration
	// Tasks is the number of tasks that have not regained their lost progress.
	Tasks int
	// Open is false for a disruption that has ended and still counts.
	Open bool
}

// Entries lists the jobs that count, the oldest disruption first.
func (t *Account) Entries(now time.Duration) []Entry {
	var all []Entry
	for _, jobID := range slices.Sorted(maps.Keys(t.jobs)) {
		d := t.jobs[jobID]
		all = append(all, Entry{Job: d.job, Cause: d.cause, For: now - d.started, Tasks: len(d.tasks), Open: d.ongoing})
	}
	slices.SortStableFunc(all, func(x, y Entry) int { return cmp.Compare(y.For, x.For) })
	return all
}
