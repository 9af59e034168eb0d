package fake

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// cancelDeadlinePassed reports whether the time has passed within which a cancelled job's tasks must end.
func (c *Checker) cancelDeadlinePassed(j *checkedJob) bool {
	return j.terminalStatus == wire.JobCancelled && time.Since(j.terminalAt) > c.limits.CancelDeadline
}

// checkCancelledTask checks that a task that is still running is not long cancelled.
func (c *Checker) checkCancelledTask(task string) {
	if j := c.jobs[wire.JobIDOfTask(task)]; j != nil && c.cancelDeadlinePassed(j) {
		c.recordViolation(invariantRanCancelled, "%s is on %s %s after the confirmation", task, c.running[task].Machine, time.Since(j.terminalAt))
		j.terminalAt = time.Now() // report it once
	}
}

// LateStarts counts the tasks that started after their job's cancellation was confirmed, each of which
// may have been in flight then.
func (c *Checker) LateStarts() (n int) {
	c.do(func() { n = c.lateStarts })
	return n
}

// RecordLeaseRenewal records that a response to a heartbeat has renewed a worker's lease. The
// heartbeat's tasks whose job was told as cancelled before it was sent have to be stopped by the
// response: otherwise such responses would keep them running, which their running time alone
// would show only much later.
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

// hasStop reports whether one of the commands stops an attempt.
func hasStop(commands []wire.Command, attempt uint64) bool {
	return slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Verb == wire.VerbStop && c.Attempt == attempt })
}
