package scheduler

import (
	"slices"

	"leadproxy/internal/wire"
)

// heartbeatTrust tells whether the list of tasks in a heartbeat is believed.
type heartbeatTrust int

// What a list of tasks is worth.
const (
	untrustedHeartbeat heartbeatTrust = iota // it may be a copy from before, of any age
	trustedHeartbeat                         // it is the agent's newest, and the agent has acknowledged the term's token
)

// requiredStops lists the stops that the response to a heartbeat must contain: those of the
// tasks in it that must not run. It decides that for every response, since each renews the
// agent's lease. That a heartbeat may be an old copy is no reason to leave one out: stopping an
// attempt that is no longer there does nothing.
func (q *commands) requiredStops(m *machine, r *wire.Heartbeat, trust heartbeatTrust) []wire.Command {
	stops := []wire.Command{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Status == wire.TaskEnded || len(stops) >= maxCommandsPerResponse {
			continue // what is left is stopped in the responses to the next heartbeats
		}
		if grace, must := q.mustStop(m, t, trust); must {
			q.cancellations.countStop(m, t)
			stops = append(stops, stopCommand(t.Task, t.Attempt, grace))
		}
	}
	return stops
}

// mustStop tells whether a task that an agent reports as alive must not run, and how long it may
// take to save its progress.
func (q *commands) mustStop(m *machine, t *wire.TaskStatus, trust heartbeatTrust) (grace float64, must bool) {
	found := q.jobs.findTask(m, t)
	switch {
	case found.job == nil:
		// Whatever an earlier leader started has a job record in the ledger. If no job is
		// found, its record can't be read and may be of a cancelled job: it is stopped.
		return 0, true
	case found.job.ended():
		return 0, true // its progress is of no use
	case found.allocation == nil:
		// What has no allocation, in a heartbeat that may be an old copy, is not judged yet.
		return 0, trust == trustedHeartbeat
	}
	return found.allocation.gracePeriodS, found.allocation.stopping
}

func stopCommand(task string, attempt uint64, grace float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: task, Attempt: attempt, GracePeriodS: &grace}
}

// repeatStops sends stops again that an agent may have ignored. A start and its stop that are
// sent one after the other, in two commands or in a response and a command, arrive in any order,
// and an agent ignores the stop of an attempt that it does not know yet: the start was executed
// after its stop, and the task ran until the agent's next heartbeat was answered.
func (q *commands) repeatStops(command *commandInFlight, r *wire.Heartbeat) {
	m := command.machine
	if r == nil || r.Machine != m.name || r.AgentEpoch != m.agent.Epoch() {
		return
	}
	for _, attempt := range command.startedAttempts {
		if b := m.allocation(attempt); b != nil && b.stopping && listsLiveAttempt(r, attempt) {
			q.queueStop(m, b)
		}
	}
	for _, attempt := range command.stoppedAttempts {
		b := m.allocation(attempt)
		if b != nil && b.stopping && b.state == allocationSent && !b.stopRepeated && !listsLiveAttempt(r, attempt) {
			b.stopRepeated = true
			q.queueStop(m, b)
		}
	}
}

// queueStop queues the stop of an allocated attempt.
func (q *commands) queueStop(m *machine, b *allocation) {
	q.queueCommand(m, stopCommand(q.jobs.taskName(b), b.attempt, b.gracePeriodS))
}

// listsLiveAttempt tells whether a heartbeat lists an attempt that has not ended.
func listsLiveAttempt(r *wire.Heartbeat, attempt uint64) bool {
	return slices.ContainsFunc(r.Tasks, func(t wire.TaskStatus) bool {
		return t.Attempt == attempt && t.Status != wire.TaskEnded
	})
}
