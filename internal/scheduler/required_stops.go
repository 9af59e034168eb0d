package scheduler

import (
	"slices"

	"leadproxy/internal/wire"
)

// requiredStops lists the stops that the answer to a report owes: those of the tasks in it that
// must not run. It decides that for every answer, since each renews the worker's lease. That
// a report may be an old copy is no reason to leave one out: stopping an attempt that is no
// longer there does nothing.
func (q *commands) requiredStops(m *machine, r *wire.Heartbeat, believed bool) []wire.Command {
	stops := []wire.Command{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Status == wire.TaskEnded || len(stops) >= maxCommandsPerResponse {
			continue // what is left is stopped in the answers to the next reports
		}
		if grace, must := q.mustStop(m, t, believed); must {
			q.cancellations.countStop(m, t)
			stops = append(stops, stopCommand(t.Task, t.Attempt, grace))
		}
	}
	return stops
}

// mustStop tells whether a task that a machine reports as alive must not run, and how long
// it may take to save its progress.
func (q *commands) mustStop(m *machine, t *wire.TaskStatus, believed bool) (grace float64, must bool) {
	j, _, b := q.jobs.findTask(m, t)
	switch {
	case j == nil:
		// Whatever an earlier leader started has its job's record in the ledger. So this one
		// can't be read, and may say that the job is cancelled.
		return 0, true
	case j.ended():
		return 0, true // nobody wants its progress
	case b == nil:
		// What is not booked from a report that may be an old copy is not looked at yet.
		return 0, believed
	}
	return b.gracePeriod, b.stopping
}

func stopCommand(task string, attempt uint64, grace float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: task, Attempt: attempt, GracePeriodS: &grace}
}

// repeatStops sends stops again that a worker may have ignored. A start and its stop that
// are sent one after the other, in two commands or in an answer and a command, arrive in
// any order, and a worker ignores the stop of what it does not know yet: the start acted
// after its stop, and the task ran until the worker's next report was answered.
func (q *commands) repeatStops(call *commandInFlight, r *wire.Heartbeat) {
	m := call.machine
	if r == nil || r.Machine != m.name || r.AgentEpoch != m.agent.epoch {
		return
	}
	for _, attempt := range call.startedAttempts {
		if b := m.allocation(attempt); b != nil && b.stopping && isAlive(r, attempt) {
			q.sendStop(m, b)
		}
	}
	for _, attempt := range call.stoppedAttempts {
		b := m.allocation(attempt)
		if b != nil && b.stopping && b.state == allocationSent && !b.stopRepeated && !isAlive(r, attempt) {
			b.stopRepeated = true
			q.sendStop(m, b)
		}
	}
}

// sendStop has a machine told to stop a booked attempt.
func (q *commands) sendStop(m *machine, b *allocation) {
	q.queueCommand(m, stopCommand(q.jobs.taskName(b), b.attempt, b.gracePeriod))
}

// isAlive tells whether a report lists an attempt that has not ended.
func isAlive(r *wire.Heartbeat, attempt uint64) bool {
	return slices.ContainsFunc(r.Tasks, func(t wire.TaskStatus) bool {
		return t.Attempt == attempt && t.Status != wire.TaskEnded
	})
}
