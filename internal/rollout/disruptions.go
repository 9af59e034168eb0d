package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Cause is the reason for which a task lost its machine.
type Cause string

// CauseEviction is the cause of voluntary disruptions, the evictions by plans. All others are involuntary.
const CauseEviction Cause = "move"

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

// DisruptionTracker tracks the disrupted jobs and compares them with the budgets. Voluntary and
// involuntary disruptions are recorded in it, and only voluntary ones are ever refused.
type DisruptionTracker struct {
	budgets Budgets
	jobs    map[string]*disruption
}

// NewDisruptionTracker returns a tracker without disrupted jobs.
func NewDisruptionTracker(b Budgets) *DisruptionTracker {
	return &DisruptionTracker{budgets: b, jobs: map[string]*disruption{}}
}

// TaskDisrupted records that a task of a job has lost its machine, and progress that took a time to make.
func (t *DisruptionTracker) TaskDisrupted(j Job, index int, lostProgress time.Duration, cause Cause, now time.Duration) {
	d := t.jobs[j.ID]
	if d == nil {
		d = &disruption{job: j, tasks: map[int]*disruptedTask{}}
		t.jobs[j.ID] = d
	}
	if !d.ongoing {
		d.ongoing, d.started, d.cause = true, now, cause
	}
	if task := d.tasks[index]; task != nil {
		lostProgress = max(lostProgress, task.lostProgress)
	}
	d.tasks[index] = &disruptedTask{lostProgress: lostProgress}
}

// TaskRunning records that a task runs, from now on if it did not before.
func (t *DisruptionTracker) TaskRunning(jobID string, index int, now time.Duration) {
	d := t.jobs[jobID]
	if d == nil {
		return
	}
	if task := d.tasks[index]; task != nil && !task.running {
		task.running, task.runningSince = true, now
	}
}

// TaskFinished records that a task has finished and has no progress to regain any more.
func (t *DisruptionTracker) TaskFinished(jobID string, index int) {
	if d := t.jobs[jobID]; d != nil {
		delete(d.tasks, index)
		d.endIfRegained()
	}
}

// JobFinished records that a job has ended.
func (t *DisruptionTracker) JobFinished(jobID string) {
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
func (t *DisruptionTracker) Tick(now time.Duration) {
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
func (t *DisruptionTracker) counts(d *disruption, now time.Duration) bool {
	return slices.ContainsFunc(d.job.groups(), func(g Group) bool { return t.countsFor(d, g, now) })
}

func (t *DisruptionTracker) countsFor(d *disruption, g Group, now time.Duration) bool {
	budget, ok := t.budgets.budgetOf(g)
	return d.ongoing || ok && now-d.started < budget.Window
}

// isRecorded reports whether a job's disruption still counts, as of the last tick.
func (t *DisruptionTracker) isRecorded(jobID string) bool { return t.jobs[jobID] != nil }

// isDisrupted reports whether a job is disrupted now.
func (t *DisruptionTracker) isDisrupted(jobID string) bool {
	d := t.jobs[jobID]
	return d != nil && d.ongoing
}

// disruptedJobs is the number of jobs that count for a group.
func (t *DisruptionTracker) disruptedJobs(g Group, now time.Duration) int {
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
func (t *DisruptionTracker) checkBudgets(j Job, running func(Group) int, now time.Duration) error {
	for _, g := range j.groups() {
		budget, ok := t.budgets.budgetOf(g)
		if !ok {
			continue
		}
		disrupted, limit := t.disruptedJobs(g, now), budget.limit(running(g))
		if d := t.jobs[j.ID]; d != nil && t.countsFor(d, g, now) {
			disrupted-- // the job itself
		}
		if disrupted >= limit {
			return &BudgetError{Group: g, Disrupted: disrupted, Limit: limit}
		}
	}
	return nil
}

// Disruption is a disrupted job as operators see it.
type Disruption struct {
	Job   Job
	Cause Cause
	// Duration is the time since the disruption began.
	Duration time.Duration
	// Tasks is the number of tasks that have not regained their lost progress.
	Tasks int
	// Ongoing is false for a disruption that has ended and still counts.
	Ongoing bool
}

// Disruptions lists the jobs that count, the oldest disruption first.
func (t *DisruptionTracker) Disruptions(now time.Duration) []Disruption {
	var all []Disruption
	for _, jobID := range slices.Sorted(maps.Keys(t.jobs)) {
		d := t.jobs[jobID]
		all = append(all, Disruption{Job: d.job, Cause: d.cause, Duration: now - d.started, Tasks: len(d.tasks), Ongoing: d.ongoing})
	}
	slices.SortStableFunc(all, func(x, y Disruption) int { return cmp.Compare(y.Duration, x.Duration) })
	return all
}
