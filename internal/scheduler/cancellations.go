package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// cancellationWatch watches the tasks of cancelled jobs: none of them may be alive cancel_s
// after a user was told of the cancellation. It decides nothing. What it logs as an error must
// never happen, and fails tests.

// MessageCancelledTaskOverdue is what a leader logs as an error when a task of a cancelled job
// may still run past its bound.
const MessageCancelledTaskOverdue = "a cancelled task may run past its bound"

// cancellationLogInterval is how often the stops of cancelled tasks are logged.
const cancellationLogInterval = time.Minute

// stopCounts counts the stops of cancelled tasks since they were last logged.
type stopCounts struct {
	Due      int // stops decided as jobs were cancelled
	Repeated int // stops in responses to heartbeats that still list the task
	Unknown  int // stops of tasks whose job is not known
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
	return cancellationWatch{cfg: &c.cfg, term: c.term, clock: &c.clock, log: c.log, debug: c.debugEnabled, jobs: &c.jobs, machines: &c.machines,
		loggedAt: c.clock.now}
}

// cancellationBound is how long after the end of a cancelled job its tasks may be there, by two
// controllers' clocks.
func (w *cancellationWatch) cancellationBound() time.Duration {
	facts := &w.cfg.Platform.Facts
	return settings.Seconds(facts.Workers.CancelS) + time.Duration(2*facts.ClockErrorMS*float64(time.Millisecond))
}

// tasksOverdue tells whether a job's tasks must all have ended. Time in which this controller was
// suspended does not count: its allocations are as old as that.
func (w *cancellationWatch) tasksOverdue(j *job) bool {
	return j.end.state == wire.JobCancelled && j.end.durable && w.clock.now-max(j.end.at, w.clock.tickingSince) > w.cancellationBound()
}

// countDue counts a stop that was decided as a job was cancelled.
func (w *cancellationWatch) countDue() { w.counts.Due++ }

// countStop counts a stop in a response to a heartbeat.
func (w *cancellationWatch) countStop(m *machine, t *wire.TaskStatus) {
	j := w.jobs.findTask(m, t).job
	switch {
	case j == nil:
		w.counts.Unknown++
		w.log.Info("stopping a task of an unknown job", "machine", m.name, "task", t.Task, "attempt", t.Attempt)
	case j.end.state == wire.JobCancelled:
		w.counts.Repeated++
		if w.debug {
			w.log.Debug("stopping a task of a cancelled job", "machine", m.name, "task", t.Task, "attempt", t.Attempt,
				"status", t.Status, "since_end_s", (w.clock.now - j.end.at).Seconds(), "acknowledged", m.trusted(w.term))
		}
	}
}

// logOverdueJobs logs the allocations of cancelled jobs past their bound, each job once.
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

// logOverdueTasks logs where a cancelled job's tasks may still be.
func (w *cancellationWatch) logOverdueTasks(j *job) {
	for _, m := range w.machines.live {
		for _, b := range m.capacity.allocations {
			if b.job != j.index {
				continue
			}
			w.counts.Overdue++
			w.log.Error(MessageCancelledTaskOverdue, "leader_term", w.term, "machine", m.name, "task", w.jobs.taskName(b), "attempt", b.attempt, "status", b.status,
				"since_end_s", (w.clock.now - j.end.at).Seconds(),
				"since_heartbeat_s", (w.clock.now - m.agent.LastHeartbeat()).Seconds(), "since_acknowledged_s", (w.clock.now - m.agent.LastAcknowledged()).Seconds(),
				"deleting", m.state == machineDeleting, "stopping", b.stopping)
		}
	}
}

// logStopCounts logs the counts, if any is not zero.
func (w *cancellationWatch) logStopCounts() {
	if n := w.counts; n != (stopCounts{}) {
		w.log.Info("stops of cancelled tasks", "stops_due", n.Due, "stops_repeated", n.Repeated, "unknown_tasks", n.Unknown, "overdue", n.Overdue)
	}
	w.counts, w.loggedAt = stopCounts{}, w.clock.now
}
