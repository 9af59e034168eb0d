package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Cause is the reason why a task lost its machine.
type Cause string

// CauseEviction is the cause of voluntary disruptions: evictions by plans. All other causes are
// involuntary.
const CauseEviction Cause = "move"

// disruption is the disruption of one job. It lasts from the loss of the first task's machine
// until all tasks have regained the progress that they lost.
type disruption struct {
	job     Job
	started time.Duration
	// tasks has the tasks that have not regained their lost progress, by index.
	tasks map[int]*disruptedTask
	// cause is the cause that started the disruption.
	cause   Cause
	ongoing bool
}

// disruptedTask is a task that has lost its machine.
type disruptedTask struct {
	lostProgress time.Duration
	running      bool
	runningSince time.Duration // if running
}

// DisruptionTracker tracks the disrupted jobs and checks evictions against the budgets.
// Involuntary disruptions use up the budgets as well, but only evictions are refused.
type DisruptionTracker struct {
	budgets Budgets
	jobs    map[string]*disruption
}

// NewDisruptionTracker returns a tracker without disrupted jobs.
func NewDisruptionTracker(b Budgets) *DisruptionTracker {
	return &DisruptionTracker{budgets: b, jobs: map[string]*disruption{}}
}

// TaskDisrupted records that a task of a job has lost its machine. lostProgress is the run time
// that has to be repeated. If the task is disrupted already, the larger loss counts, and it has to
// regain the progress from the start.
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

// TaskRunning records that a task runs. If it was not running before, it regains its lost progress
// from now on.
func (t *DisruptionTracker) TaskRunning(jobID string, index int, now time.Duration) {
	d := t.jobs[jobID]
	if d == nil {
		return
	}
	if task := d.tasks[index]; task != nil && !task.running {
		task.running, task.runningSince = true, now
	}
}

// TaskFinished records that a task has finished. It has no more progress to regain.
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

// endIfRegained ends the disruption if all tasks have regained their progress.
func (d *disruption) endIfRegained() {
	if len(d.tasks) == 0 {
		d.ongoing = false
	}
}

// Tick ends the disruptions whose progress is regained, and drops those that no longer count.
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

// counts reports whether a disruption still counts for any of its groups.
func (t *DisruptionTracker) counts(d *disruption, now time.Duration) bool {
	return slices.ContainsFunc(d.job.groups(), func(g Group) bool { return t.countsFor(d, g, now) })
}

// countsFor reports whether a disruption counts for a group: it is ongoing or started within the
// window of the budget.
func (t *DisruptionTracker) countsFor(d *disruption, g Group, now time.Duration) bool {
	budget, ok := t.budgets.budgetOf(g)
	return d.ongoing || ok && now-d.started < budget.Window
}

// isRecorded reports whether a job's disruption counted at the last Tick.
func (t *DisruptionTracker) isRecorded(jobID string) bool { return t.jobs[jobID] != nil }

// isDisrupted reports whether the disruption of a job is ongoing.
func (t *DisruptionTracker) isDisrupted(jobID string) bool {
	d := t.jobs[jobID]
	return d != nil && d.ongoing
}

// disruptedJobs returns the number of jobs that count as disrupted for a group.
func (t *DisruptionTracker) disruptedJobs(g Group, now time.Duration) int {
	count := 0
	for _, d := range t.jobs {
		if slices.Contains(d.job.groups(), g) && t.countsFor(d, g, now) {
			count++
		}
	}
	return count
}

// checkBudgets returns a BudgetError if the budgets do not allow evicting a task of a job. running
// returns the number of running jobs of a group. A job that counts as disrupted already does not
// count against itself. But if lost machines have disrupted more jobs than the budget allows, none
// of these jobs may be evicted in addition.
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

// Disruption is the disruption of a job, for operators.
type Disruption struct {
	Job   Job
	Cause Cause
	// Duration is the time since the disruption began.
	Duration time.Duration
	// Tasks is the number of tasks that have not regained their lost progress.
	Tasks int
	// Ongoing is false if the disruption has ended but still counts.
	Ongoing bool
}

// Disruptions returns the disruptions that count, the oldest first.
func (t *DisruptionTracker) Disruptions(now time.Duration) []Disruption {
	var all []Disruption
	for _, jobID := range slices.Sorted(maps.Keys(t.jobs)) {
		d := t.jobs[jobID]
		all = append(all, Disruption{Job: d.job, Cause: d.cause, Duration: now - d.started, Tasks: len(d.tasks), Ongoing: d.ongoing})
	}
	slices.SortStableFunc(all, func(x, y Disruption) int { return cmp.Compare(y.Duration, x.Duration) })
	return all
}
