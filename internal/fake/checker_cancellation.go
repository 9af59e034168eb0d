package fake

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// cancelDeadlinePassed reports whether a job's cancellation was confirmed more than CancelDeadline
// ago, so that none of its tasks may run.
func (c *Checker) cancelDeadlinePassed(j *checkedJob) bool {
	return j.terminalStatus == wire.JobCancelled && time.Since(j.terminalAt) > c.limits.CancelDeadline
}

// checkCancelledTask checks that the cancel deadline of a running task has not passed.
func (c *Checker) checkCancelledTask(task string) {
	if j := c.jobs[wire.JobIDOfTask(task)]; j != nil && c.cancelDeadlinePassed(j) {
		c.recordViolation(invariantRanCancelled, "%s is on %s %s after the confirmation", task, c.running[task].Machine, time.Since(j.terminalAt))
		j.terminalAt = time.Now() // avoids repeated reports of the same task
	}
}

// LateStarts returns the number of tasks that started after their job's cancellation was confirmed.
// The start commands may have been in flight at that time.
func (c *Checker) LateStarts() (count int) {
	c.do(func() { count = c.lateStarts })
	return count
}

// RecordLeaseRenewal records that a response to a heartbeat has renewed an agent's lease. The
// response must stop each task in the heartbeat whose job's cancellation was confirmed before the
// heartbeat was sent. Responses that do not would keep the task running, which the limit on its
// running time alone would detect only much later.
func (c *Checker) RecordLeaseRenewal(machine string, sentAt time.Time, tasks []wire.TaskStatus, commands []wire.Command) {
	c.do(func() {
		for i := range tasks {
			task := &tasks[i]
			j := c.jobs[wire.JobIDOfTask(task.Task)]
			if task.Status == wire.TaskEnded || j == nil || j.terminalStatus != wire.JobCancelled || j.terminalAt.After(sentAt) {
				continue
			}
			if !hasStop(commands, task.Attempt) {
				c.recordViolation(invariantRenewedWithoutStop, "%s of %s, %s after the confirmation", task.Task, machine, sentAt.Sub(j.terminalAt))
			}
		}
	})
}

// hasStop reports whether one of the commands stops the given attempt.
func hasStop(commands []wire.Command, attempt uint64) bool {
	return slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Verb == wire.VerbStop && c.Attempt == attempt })
}
