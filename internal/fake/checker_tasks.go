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
	InitialProgress time.Duration // progress of the checkpoint from which it started
	Completed       bool          // ended because the task was done
}

// TaskRuns lists all task runs so far in order of their start.
func (c *Checker) TaskRuns() (runs []TaskRun) {
	c.do(func() { runs = slices.Clone(c.runs) })
	return runs
}

// RecordTaskStart records that a task starts on a machine, and checks that it may run there now.
func (c *Checker) RecordTaskStart(task string, location Location) {
	c.do(func() {
		j := c.jobs[wire.JobIDOfTask(task)]
		if j == nil {
			c.recordViolation(invariantInvented, "%s starts, but its job was never submitted", task)
			return
		}
		if previous, ok := c.running[task]; ok && (c.limits.RetryAllowed == nil || !c.limits.RetryAllowed(j.job.Class)) {
			c.recordViolation(invariantRanTwice, "%s starts on %s while it runs on %s", task, location.Machine, previous.Machine)
		}
		c.forEachDependency(j, func(jobID string, dependency *checkedJob) {
			if len(dependency.completed) < dependency.job.Tasks {
				c.recordViolation(invariantTooEarly, "%s starts, but dependency %s has only %d of %d tasks done", task, jobID, len(dependency.completed), dependency.job.Tasks)
			}
		})
		if j.terminalStatus == wire.JobCancelled {
			c.lateStarts++
			if c.cancelDeadlinePassed(j) {
				c.recordViolation(invariantRanCancelled, "%s starts %s after the confirmation", task, time.Since(j.terminalAt))
			}
		}
		c.checkPlacement(task, j.job, location)
		c.running[task] = location
		c.runs = append(c.runs, TaskRun{Task: task, Machine: location.Machine, Started: time.Now(), InitialProgress: c.checkpoints[task]})
		c.checkQuota(j.job.Team)
	})
}

// RecordTaskEnd records that a task has ended on a machine, and whether it has completed.
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

// recordRunEnd records the end of a task's most recent run on a machine.
func (c *Checker) recordRunEnd(task, machine string, completed bool) {
	for i := len(c.runs) - 1; i >= 0; i-- {
		if run := &c.runs[i]; run.Task == task && run.Machine == machine {
			run.Ended, run.Completed = time.Now(), completed
			return
		}
	}
}

// RecordCheckpoint records the progress that a stopped task has saved in a checkpoint.
func (c *Checker) RecordCheckpoint(task string, progress time.Duration) {
	c.do(func() { c.checkpoints[task] = progress })
}

// CheckpointedProgress returns the saved progress from which a task resumes; 0 without a
// checkpoint.
func (c *Checker) CheckpointedProgress(task string) (progress time.Duration) {
	c.do(func() { progress = c.checkpoints[task] })
	return progress
}
