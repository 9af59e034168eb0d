package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// MessageCancelledTaskOverdue is the log message, at level error, for a task of a cancelled job that
// may still be running after the cancellation bound.
const MessageCancelledTaskOverdue = "a cancelled task may run past its bound"

// cancellationLogInterval is how often the counts of stopped tasks are logged.
const cancellationLogInterval = time.Minute

// stopCounts counts the stops of cancelled tasks since the counts were last logged.
type stopCounts struct {
	Due      int // stops decided when jobs were cancelled
	Repeated int // stops in responses to heartbeats that still list the task
	Unknown  int // stops of tasks whose job is unknown
	Overdue  int // tasks that may have run past the cancellation bound
}

// cancellationWatch monitors the tasks of cancelled jobs: none may be alive cancel_s after the user
// was told of the cancellation. It only counts and logs, and makes no scheduling decisions. An error
// that it logs means that this guarantee may be broken, and fails tests.
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
	return cancellationWatch{cfg: &c.cfg, term: c.term, clock: &c.clock, log: c.log, debug: c.debugEnabled, jobs: &c.jobs, machines: &c.machines,
		loggedAt: c.clock.now}
}

// cancellationBound is how long after the end of a cancelled job its tasks may still run: cancel_s,
// plus the clock error of the two controllers whose clocks are compared.
func (w *cancellationWatch) cancellationBound() time.Duration {
	facts := &w.cfg.Platform.Facts
	return settings.Seconds(facts.AgentTiming.CancelS) + time.Duration(2*facts.ClockErrorMS*float64(time.Millisecond))
}

// tasksOverdue reports whether all tasks of a cancelled job must have ended by now. Time in which
// this controller was suspended does not count, since its view of the allocations is that old.
func (w *cancellationWatch) tasksOverdue(j *job) bool {
	return j.end.state == wire.JobCancelled && j.end.durable && w.clock.now-max(j.end.at, w.clock.tickingSince) > w.cancellationBound()
}

// countDue counts a stop that was decided when its job was cancelled.
func (w *cancellationWatch) countDue() { w.counts.Due++ }

// countStop counts a stop that is sent in a heartbeat response, by whether the task's job is
// cancelled or unknown.
func (w *cancellationWatch) countStop(m *machine, status *wire.TaskStatus) {
	j := w.jobs.findTask(m, status).job
	switch {
	case j == nil:
		w.counts.Unknown++
		w.log.Info("stopping a task of an unknown job", "machine", m.name, "task", status.Task, "attempt", status.Attempt)
	case j.end.state == wire.JobCancelled:
		w.counts.Repeated++
		if w.debug {
			w.log.Debug("stopping a task of a cancelled job", "machine", m.name, "task", status.Task, "attempt", status.Attempt,
				"status", status.Status, "since_end_s", (w.clock.now - j.end.at).Seconds(), "acknowledged", m.trusted(w.term))
		}
	}
}

// logOverdueJobs logs, once per job, the allocations of cancelled jobs that are past the bound, and
// logs the counts when they are due. It is called on each tick.
func (w *cancellationWatch) logOverdueJobs() {
	for _, j := range w.jobs.active {
		if j.progress.allocated > 0 && !j.end.overdueLogged && w.tasksOverdue(j) {
			j.end.markOverdueLogged()
			w.logOverdueTasks(j)
		}
	}
	if w.clock.now-w.loggedAt >= cancellationLogInterval {
		w.logStopCounts()
	}
}

// logOverdueTasks logs every allocation of a cancelled job as an error.
func (w *cancellationWatch) logOverdueTasks(j *job) {
	for _, m := range w.machines.live {
		for _, alloc := range m.capacity.allocations {
			if alloc.job != j.index {
				continue
			}
			w.counts.Overdue++
			w.log.Error(MessageCancelledTaskOverdue, "leader_term", w.term, "machine", m.name, "task", w.jobs.taskName(alloc), "attempt", alloc.attempt, "status", alloc.status,
				"since_end_s", (w.clock.now - j.end.at).Seconds(),
				"since_heartbeat_s", (w.clock.now - m.agent.LastHeartbeat()).Seconds(), "since_acknowledged_s", (w.clock.now - m.agent.LastAcknowledged()).Seconds(),
				"deleting", m.state == machineDeleting, "stopping", alloc.stopping)
		}
	}
}

// logStopCounts logs the counts unless all are zero, and resets them.
func (w *cancellationWatch) logStopCounts() {
	if counts := w.counts; counts != (stopCounts{}) {
		w.log.Info("stops of cancelled tasks", "stops_due", counts.Due, "stops_repeated", counts.Repeated, "unknown_tasks", counts.Unknown, "overdue", counts.Overdue)
	}
	w.counts, w.loggedAt = stopCounts{}, w.clock.now
}
