package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// pendingResponse is the response to a heartbeat. It is sent at the end of the step so that starts
// decided in it travel along.
type pendingResponse struct {
	replyTo   Recipient
	machine   *machine
	heartbeat *wire.Heartbeat
	// stale: the heartbeat is older than what is known of its agent.
	stale bool
	// holdUntil is when a response that waits for starts to become durable is sent without them; 0:
	// it has not waited.
	holdUntil time.Duration
}

// attachCommandsToNextResponse has the next response that is opened carry the commands for a
// machine. It is called for the newest heartbeat of its agent.
func (q *commands) attachCommandsToNextResponse(m *machine) {
	if m.commands.heldHeartbeat != nil {
		// Its agent has given up the response to an earlier one.
		m.commands.heldHeartbeat = nil
		if len(m.commands.pending) > 0 {
			q.machinesWithCommands = append(q.machinesWithCommands, m)
		}
	}
	m.commands.responseNumber = len(q.pendingResponses) + 1
}

// queueResponse opens a response, which is sent at the end of the step.
func (q *commands) queueResponse(a pendingResponse) {
	q.pendingResponses = append(q.pendingResponses, a)
}

// queueResponsesToUnreachable opens the responses to machines that had unreachable-agent records.
func (q *commands) queueResponsesToUnreachable() {
	held := q.responsesToUnreachable
	q.responsesToUnreachable = nil
	for _, a := range held {
		if !a.stale {
			a.machine.commands.responseNumber = len(q.pendingResponses) + 1
		}
		q.queueResponse(a)
	}
}

// maxResponseHold is how long a response waits for starts whose host is being written. That mostly takes
// a tenth of it; otherwise the starts would follow in a direct command, which costs as much as
// several heartbeats.
const maxResponseHold = 400 * time.Millisecond

// holdForWrites holds a response while starts for its machine wait for a write.
func (q *commands) holdForWrites(a pendingResponse) bool {
	m := a.machine
	if a.holdUntil > 0 || !m.trusted(q.term) || !m.hasPlannedStarts() {
		return false
	}
	a.holdUntil = q.clock.now + maxResponseHold
	m.commands.responseNumber, m.commands.heldHeartbeat = 0, a.heartbeat
	q.responsesAwaitingWrites = append(q.responsesAwaitingWrites, a)
	return true
}

// hasPlannedStarts tells whether starts for a machine wait for a write.
func (m *machine) hasPlannedStarts() bool {
	return slices.ContainsFunc(m.capacity.allocations, func(b *allocation) bool { return b.state == allocationPlanned })
}

// releaseHeldResponses opens the held responses that need not wait any longer. One whose agent has
// sent a newer heartbeat since is sent without commands.
func (q *commands) releaseHeldResponses() {
	keep := q.responsesAwaitingWrites[:0]
	for _, a := range q.responsesAwaitingWrites {
		m := a.machine
		if m.commands.heldHeartbeat == a.heartbeat {
			if q.clock.now < a.holdUntil && m.state != machineGone && m.hasPlannedStarts() {
				keep = append(keep, a)
				continue
			}
			m.commands.heldHeartbeat = nil
			m.commands.responseNumber = len(q.pendingResponses) + 1
			if len(m.commands.pending) > 0 {
				q.machinesWithCommands = append(q.machinesWithCommands, m) // for what does not fit the response
			}
		} else {
			a.stale = true
		}
		q.queueResponse(a)
	}
	clear(q.responsesAwaitingWrites[len(keep):])
	q.responsesAwaitingWrites = keep
}

// sendResponses responds to the heartbeats of this step. Only the newest heartbeat of a machine
// gets commands.
func (q *commands) sendResponses() {
	for i, a := range q.pendingResponses {
		m := a.machine
		if m.state == machineGone {
			q.effects.emit(HeartbeatReply{ReplyTo: a.replyTo})
			continue
		}
		if q.holdForUnreachable(a) || m.commands.responseNumber == i+1 && q.holdForWrites(a) {
			continue
		}
		// A response renews the agent's lease, whatever it commands and however little its
		// heartbeat is believed. So none is sent without the stops of what must not run.
		trust := untrustedHeartbeat
		if !a.stale && m.commands.responseNumber == i+1 && m.trusted(q.term) {
			trust = trustedHeartbeat
		}
		list := q.requiredStops(m, a.heartbeat, trust)
		var starts StartDeliveries
		if trust == trustedHeartbeat {
			list, starts = q.appendForgetsAndPending(m, a.heartbeat, list)
		}
		answer := &wire.HeartbeatResponse{FencingToken: m.agent.FencingToken(), Commands: list}
		if m.commands.responseNumber == i+1 {
			m.commands.responseNumber = 0
		}
		q.effects.emit(HeartbeatReply{ReplyTo: a.replyTo, Response: answer, Starts: starts})
	}
	clear(q.pendingResponses)
	q.pendingResponses = q.pendingResponses[:0]
}

// appendPendingCommands adds a machine's pending commands to the response to its heartbeat, as far as
// they fit. Unlike a direct command, a response is never executed late: the agent's next
// heartbeat shows what became of it.
func (q *commands) appendPendingCommands(m *machine, r *wire.Heartbeat, list []wire.Command) ([]wire.Command, StartDeliveries) {
	var starts StartDeliveries
	if r.AgentEpoch != m.agent.Epoch() {
		return list, starts
	}
	for len(m.commands.pending) > 0 && len(list) < maxCommandsPerResponse {
		o := m.commands.pending[0]
		m.commands.pending = m.commands.pending[1:]
		if o.Verb == wire.VerbStart {
			b := m.allocation(o.Attempt)
			if b == nil {
				continue // released since
			}
			b.state, b.responseSequence = allocationSent, r.Sequence
			starts = append(starts, &b.start)
		}
		list = append(list, o)
	}
	return list, starts
}

// minForgetBatch is how many finished tasks are forgotten together. An agent sends a heartbeat at
// once when its tasks change, so each forget by itself costs another heartbeat, a third of all
// in a large cell. It waits for a command that changes the tasks anyway, or for others like it.
const minForgetBatch = 8

// appendForgetsAndPending adds to the stops of a believed heartbeat the other commands of its response:
// which ended tasks the agent may drop, and the machine's pending commands.
func (q *commands) appendForgetsAndPending(m *machine, r *wire.Heartbeat, list []wire.Command) ([]wire.Command, StartDeliveries) {
	var done []wire.Command
	for i := range r.Tasks {
		if len(list)+len(done) >= maxCommandsPerResponse {
			break
		}
		t := &r.Tasks[i]
		if t.Status != wire.TaskEnded || !q.mayForget(m, t) {
			continue
		}
		forget := wire.Command{Verb: wire.VerbForget, Task: t.Task, Attempt: t.Attempt}
		if t.ExitReason == wire.ExitDone {
			done = append(done, forget)
		} else {
			list = append(list, forget)
		}
	}
	list, starts := q.appendPendingCommands(m, r, list)
	if len(list) > 0 || len(done) >= minForgetBatch {
		list = append(list, done...)
	}
	return list, starts
}

// mayForget tells whether an agent may drop an ended attempt: not while a copy of its start may
// still arrive, since the agent would run it again, and not before its end is in the ledger.
func (q *commands) mayForget(m *machine, t *wire.TaskStatus) bool {
	if _, unresolved := m.commands.unresolvedStarts[t.Attempt]; unresolved {
		return false
	}
	found := q.jobs.findTask(m, t)
	j := found.job
	if j == nil || t.ExitReason != wire.ExitDone || j.end.durable {
		return true
	}
	return int(found.index) < len(j.progress.tasks) && j.progress.tasks[found.index].state == taskDurable
}

// holdForUnreachable holds the response to a machine with an unreachable-agent record until that
// is withdrawn.
func (q *commands) holdForUnreachable(a pendingResponse) bool {
	if a.machine.contact.unreachableRecord == nil {
		return false
	}
	a.machine.commands.responseNumber = 0
	q.responsesToUnreachable = append(q.responsesToUnreachable, a)
	return true
}
