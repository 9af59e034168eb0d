package scheduler

import (
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// What a cancelled job's tasks do after the cancellation is watched here: nothing of them
// may be alive cancel_s after a user was told. It decides nothing. What it logs as an error
// must never happen, and fails tests.

// MessageCancelledTaskOverdue is what a leader logs as an error when a task of a cancelled job may still
// run past its bound.
const MessageCancelledTaskOverdue = "a cancelled task may run past its bound"

// cancelledEvery is how often what was done about cancelled tasks is logged.
const cancelledEvery = time.Minute

// cancelledCounts counts what was done about cancelled tasks since it was last logged.
type cancelledCounts struct {
	Due      int // stops decided as jobs were cancelled
	Repeated int // stops in answers to reports that still list the task
	Unknown  int // stops of tasks whose job nobody knows
	Overdue  int // tasks that may have run past their bound
}

// cancellationWatch counts what is done about the tasks of cancelled jobs.
type cancellationWatch struct {
	counts   cancelledCounts
	loggedAt time.Duration
}

// cancelBound is how long after the end of a cancelled job its tasks may be there, by two
// controllers' clocks.
func (c *Core) cancelBound() time.Duration {
	facts := &c.cfg.Platform.Facts
	return settings.Seconds(facts.Workers.CancelS) + time.Duration(2*facts.ClockErrorMS*float64(time.Millisecond))
}

// overdue tells whether a job's tasks must all be gone. Time in which this controller stood
// still or was suspended does not count: what it has booked is as old as that.
func (c *Core) overdue(j *job) bool {
	return j.end.state == wire.JobCancelled && j.end.durable && c.clock.now-max(j.end.at, c.clock.tickingSince) > c.cancelBound()
}

// noteStop notes that an answer stops a task that must not run.
func (c *Core) noteStop(m *machine, t *wire.TaskStatus) {
	j, _, _ := c.taskOf(m, t)
	switch {
	case j == nil:
		c.cancellations.counts.Unknown++
		c.log.Info("stopping a task whose job is not known", "machine", m.name, "task", t.Task, "attempt", t.Attempt)
	case j.end.state == wire.JobCancelled:
		c.cancellations.counts.Repeated++
		if c.debug {
			c.log.Debug("stopping a cancelled task", "machine", m.name, "task", t.Task, "attempt", t.Attempt,
				"status", t.Status, "since", (c.clock.now - j.end.at).Seconds(), "echoed", m.trusted(c.term))
		}
	}
}

// watchCancelled looks for bookings of cancelled jobs past their bound, each job once.
func (c *Core) watchCancelled() {
	for _, j := range c.jobs.active {
		if j.progress.allocated > 0 && !j.end.overdueLogged && c.overdue(j) {
			j.end.overdueLogged = true
			c.noteOverdue(j)
		}
	}
	if c.clock.now-c.cancellations.loggedAt >= cancelledEvery {
		c.logCancelled()
	}
}

// noteOverdue logs where a cancelled job's tasks may still be.
func (c *Core) noteOverdue(j *job) {
	for _, m := range c.machines.live {
		for _, b := range m.capacity.allocations {
			if b.job != j.index {
				continue
			}
			c.cancellations.counts.Overdue++
			c.log.Error(MessageCancelledTaskOverdue, "term", c.term, "machine", m.name, "task", c.taskName(b), "attempt", b.attempt, "status", b.status,
				"since", (c.clock.now - j.end.at).Seconds(), "heard", (c.clock.now - m.agent.lastHeartbeat).Seconds(), "echoed", (c.clock.now - m.agent.lastAcknowledged).Seconds(),
				"deleting", m.state == machineDeleting, "stop_ordered", b.stopping)
		}
	}
}

// logCancelled logs what was done about cancelled tasks, if there was anything.
func (c *Core) logCancelled() {
	if n := c.cancellations.counts; n != (cancelledCounts{}) {
		c.log.Info("cancelled tasks", "stops_due", n.Due, "stops_repeated", n.Repeated, "unknown_tasks", n.Unknown, "overdue", n.Overdue)
	}
	c.cancellations = cancellationWatch{loggedAt: c.clock.now}
}
