package scheduler

import (
	"log/slog"
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

// cancellationLogInterval is how often what was done about cancelled tasks is logged.
const cancellationLogInterval = time.Minute

// stopCounts counts what was done about cancelled tasks since it was last logged.
type stopCounts struct {
	Due      int // stops decided as jobs were cancelled
	Repeated int // stops in answers to reports that still list the task
	Unknown  int // stops of tasks whose job nobody knows
	Overdue  int // tasks that may have run past their bound
}

// cancellationWatch counts what is done about the tasks of cancelled jobs.
type cancellationWatch struct {
	cfg      *Config
	term     uint64
	clock    *clock
	log      *slog.Logger
	debug    bool
	jobs     *jobTable
	machines *machineTable

	counts   stopCounts
	loggedAt time.Duration
}

func newCancellationWatch(c *Core) cancellationWatch {
	return cancellationWatch{cfg: &c.cfg, term: c.term, clock: &c.clock, log: c.log, debug: c.debug, jobs: &c.jobs, machines: &c.machines,
		loggedAt: c.clock.now}
}

// cancelBound is how long after the end of a cancelled job its tasks may be there, by two
// controllers' clocks.
func (w *cancellationWatch) cancelBound() time.Duration {
	facts := &w.cfg.Platform.Facts
	return settings.Seconds(facts.Workers.CancelS) + time.Duration(2*facts.ClockErrorMS*float64(time.Millisecond))
}

// overdue tells whether a job's tasks must all be gone. Time in which this controller stood
// still or was suspended does not count: what it has booked is as old as that.
func (w *cancellationWatch) overdue(j *job) bool {
	return j.end.state == wire.JobCancelled && j.end.durable && w.clock.now-max(j.end.at, w.clock.tickingSince) > w.cancelBound()
}

// countStop notes that an answer stops a task that must not run.
func (w *cancellationWatch) countStop(m *machine, t *wire.TaskStatus) {
	j, _, _ := w.jobs.findTask(m, t)
	switch {
	case j == nil:
		w.counts.Unknown++
		w.log.Info("stopping a task whose job is not known", "machine", m.name, "task", t.Task, "attempt", t.Attempt)
	case j.end.state == wire.JobCancelled:
		w.counts.Repeated++
		if w.debug {
			w.log.Debug("stopping a cancelled task", "machine", m.name, "task", t.Task, "attempt", t.Attempt,
				"status", t.Status, "since", (w.clock.now - j.end.at).Seconds(), "echoed", m.trusted(w.term))
		}
	}
}

// check looks for bookings of cancelled jobs past their bound, each job once.
func (w *cancellationWatch) check() {
	for _, j := range w.jobs.active {
		if j.progress.allocated > 0 && !j.end.overdueLogged && w.overdue(j) {
			j.end.overdueLogged = true
			w.logOverdue(j)
		}
	}
	if w.clock.now-w.loggedAt >= cancellationLogInterval {
		w.logCancelled()
	}
}

// logOverdue logs where a cancelled job's tasks may still be.
func (w *cancellationWatch) logOverdue(j *job) {
	for _, m := range w.machines.live {
		for _, b := range m.capacity.allocations {
			if b.job != j.index {
				continue
			}
			w.counts.Overdue++
			w.log.Error(MessageCancelledTaskOverdue, "term", w.term, "machine", m.name, "task", w.jobs.taskName(b), "attempt", b.attempt, "status", b.status,
				"since", (w.clock.now - j.end.at).Seconds(), "heard", (w.clock.now - m.agent.lastHeartbeat).Seconds(), "echoed", (w.clock.now - m.agent.lastAcknowledged).Seconds(),
				"deleting", m.state == machineDeleting, "stop_ordered", b.stopping)
		}
	}
}

// logCancelled logs what was done about cancelled tasks, if there was anything.
func (w *cancellationWatch) logCancelled() {
	if n := w.counts; n != (stopCounts{}) {
		w.log.Info("cancelled tasks", "stops_due", n.Due, "stops_repeated", n.Repeated, "unknown_tasks", n.Unknown, "overdue", n.Overdue)
	}
	w.counts, w.loggedAt = stopCounts{}, w.clock.now
}
