package fake

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// TaskRun is one run of a task on a machine.
type TaskRun struct {
	Task, Machine   string
	Started         time.Time
	Ended           time.Time     // zero while it runs
	InitialProgress time.Duration // of the checkpoint that it began with
	Completed       bool
}

// TaskRuns lists all runs of tasks on machines, in the order in which they began.
func (c *Checker) TaskRuns() (runs []TaskRun) {
	c.do(func() { runs = slices.Clone(c.runs) })
	return runs
}

// RecordTaskStart records that a task runs on a machine from now on.
func (c *Checker) RecordTaskStart(task string, on Location) {
	c.do(func() {
		j := c.jobs[wire.JobIDOfTask(task)]
		if j == nil {
			c.recordViolation(invariantInvented, "%s started and was never submitted", task)
			return
		}
		if previous, ok := c.running[task]; ok && (c.limits.RetryAllowed == nil || !c.limits.RetryAllowed(j.job.Class)) {
			c.recordViolation(invariantRanTwice, "%s starts on %s while on %s", task, on.Machine, previous.Machine)
		}
		c.forEachDependency(j, func(jobID string, dependency *checkedJob) {
			if len(dependency.completed) < dependency.job.Tasks {
				c.recordViolation(invariantTooEarly, "%s starts, and %s has %d of %d done", task, jobID, len(dependency.completed), dependency.job.Tasks)
			}
		})
		if j.terminalStatus == wire.JobCancelled {
			c.lateStarts++
			if c.cancelDeadlinePassed(j) {
				c.recordViolation(invariantRanCancelled, "%s starts %s after the confirmation", task, time.Since(j.terminalAt))
			}
		}
		c.checkPlacement(task, j.job, on)
		c.running[task] = on
		c.runs = append(c.runs, TaskRun{Task: task, Machine: on.Machine, Started: time.Now(), InitialProgress: c.checkpoints[task]})
		c.checkQuota(j.job.Team)
	})
}

// RecordTaskEnd records that a task no longer runs on a machine, and whether it has completed.
func (c *Checker) RecordTaskEnd(task, machine string, completed bool) {
	c.do(func() {
		if c.running[task].Machine == machine {
			c.checkCancelledTask(task)
			delete(c.running, task)
		}
		c.recordRunEnd(task, machine, completed)
		if j := c.jobs[wire.JobIDOfTask(task)]; completed && j != nil {
			j.completed[task] = true
		}
	})
}

// recordRunEnd records the end of a task's last run on a machine.
func (c *Checker) recordRunEnd(task, machine string, completed bool) {
	for i := len(c.runs) - 1; i >= 0; i-- {
		if r := &c.runs[i]; r.Task == task && r.Machine == machine {
			r.Ended, r.Completed = time.Now(), completed
			return
		}
	}
}

// RecordCheckpoint records the progress that a stopped task has saved.
func (c *Checker) RecordCheckpoint(task string, ran time.Duration) {
	c.do(func() { c.checkpoints[task] = ran })
}

// CheckpointedProgress is the saved progress that a task resumes from.
func (c *Checker) CheckpointedProgress(task string) (ran time.Duration) {
	c.do(func() { ran = c.checkpoints[task] })
	return ran
}
