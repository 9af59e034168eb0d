package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// heldResponse is a report's answer, which is given at the end of the step so
// that starts decided in it travel along.
type heldResponse struct {
	replyTo   Recipient
	machine   *machine
	heartbeat *wire.Heartbeat
	// outdated: the report is older than what is known of its worker.
	outdated bool
	// until is when an answer that waits for starts to become durable is given
	// without them; 0: it has not waited.
	until time.Duration
}

// maxHold is how long an answer waits for starts whose machine is being written
// down. That mostly takes a tenth of it; the starts would else follow in a direct
// command, which costs as much as several reports.
const maxHold = 400 * time.Millisecond

// holdForWrites keeps an answer back while starts for its machine are being written down.
func (q *commands) holdForWrites(a heldResponse) bool {
	m := a.machine
	if a.until > 0 || !m.trusted(q.term) || !m.hasPlannedStarts() {
		return false
	}
	a.until = q.clock.now + maxHold
	m.commands.openResponse, m.commands.heldHeartbeat = 0, a.heartbeat
	q.awaitingWrites = append(q.awaitingWrites, a)
	return true
}

// hasPlannedStarts tells whether starts for a machine are being written down.
func (m *machine) hasPlannedStarts() bool {
	return slices.ContainsFunc(m.capacity.allocations, func(b *allocation) bool { return b.state == allocationPlanned })
}

// resumeResponses has the answers given that need not wait any longer. One whose
// worker has sent a newer report since goes without orders.
func (q *commands) resumeResponses() {
	keep := q.awaitingWrites[:0]
	for _, a := range q.awaitingWrites {
		m := a.machine
		if m.commands.heldHeartbeat == a.heartbeat {
			if q.clock.now < a.until && m.state != machineGone && m.hasPlannedStarts() {
				keep = append(keep, a)
				continue
			}
			m.commands.heldHeartbeat = nil
			m.commands.openResponse = len(q.openResponses) + 1
			if len(m.commands.pending) > 0 {
				q.machinesWithCommands = append(q.machinesWithCommands, m) // for what does not go into the answer
			}
		} else {
			a.outdated = true
		}
		q.openResponses = append(q.openResponses, a)
	}
	clear(q.awaitingWrites[len(keep):])
	q.awaitingWrites = keep
}

// sendResponses answers the reports of this step. Only the newest report of a
// machine gets orders.
func (q *commands) sendResponses() {
	for i, a := range q.openResponses {
		m := a.machine
		if m.state == machineGone {
			q.effects.emit(HeartbeatReply{ReplyTo: a.replyTo})
			continue
		}
		if q.holdForUnreachable(a) || m.commands.openResponse == i+1 && q.holdForWrites(a) {
			continue
		}
		// An answer renews the worker's lease, whatever it orders and however little its
		// report is believed. So none goes without the stops of what must not run.
		believed := !a.outdated && m.commands.openResponse == i+1 && m.trusted(q.term)
		orders := q.requiredStops(m, a.heartbeat, believed)
		if believed {
			orders = q.commandsFor(m, a.heartbeat, orders)
		}
		answer := &wire.HeartbeatResponse{FencingToken: m.agent.fencingToken, Commands: orders}
		if m.commands.openResponse == i+1 {
			m.commands.openResponse = 0
		}
		q.effects.emit(HeartbeatReply{ReplyTo: a.replyTo, Response: answer})
	}
	clear(q.openResponses)
	q.openResponses = q.openResponses[:0]
}

// appendPending adds a machine's waiting orders to the answer of its report, as
// far as they go in. Unlike a direct command, an answer is never executed late:
// the worker's next report shows what became of it.
func (q *commands) appendPending(m *machine, r *wire.Heartbeat, orders []wire.Command) []wire.Command {
	if r.AgentEpoch != m.agent.epoch {
		return orders
	}
	for len(m.commands.pending) > 0 && len(orders) < maxCommandsPerResponse {
		o := m.commands.pending[0]
		m.commands.pending = m.commands.pending[1:]
		if o.Verb == wire.VerbStart {
			b := m.allocation(o.Attempt)
			if b == nil {
				continue // released since
			}
			b.state, b.responseSequence = allocationSent, r.Sequence
		}
		orders = append(orders, o)
	}
	return orders
}

// minForgets is how many done tasks are forgotten together. A worker reports
// again at once when its tasks change, so each forget by itself costs another
// report, a third of all on a large fleet. It waits for an order that changes
// the tasks anyway, or for others like it.
const minForgets = 8

// commandsFor adds to the stops of a report that is believed what else its answer orders:
// which ended tasks the worker may drop, and what waits for its machine.
func (q *commands) commandsFor(m *machine, r *wire.Heartbeat, orders []wire.Command) []wire.Command {
	var done []wire.Command
	for i := range r.Tasks {
		if len(orders)+len(done) >= maxCommandsPerResponse {
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
			orders = append(orders, forget)
		}
	}
	orders = q.appendPending(m, r, orders)
	if len(orders) > 0 || len(done) >= minForgets {
		orders = append(orders, done...)
	}
	return orders
}

// mayForget tells whether an ended attempt may be dropped by its worker: not
// while a copy of its start may still arrive, since the worker would run it
// again, and not before its end is in the ledger.
func (q *commands) mayForget(m *machine, t *wire.TaskStatus) bool {
	if _, unsettled := m.commands.unresolvedStarts[t.Attempt]; unsettled {
		return false
	}
	j, n, _ := q.jobs.findTask(m, t)
	if j == nil || t.ExitReason != wire.ExitDone || j.end.durable {
		return true
	}
	return int(n) < len(j.progress.tasks) && j.progress.tasks[n].state == taskDurable
}

// holdForUnreachable keeps the answer to a machine that is noted as silent until that is
// withdrawn.
func (q *commands) holdForUnreachable(a heldResponse) bool {
	if a.machine.agent.unreachable == nil {
		return false
	}
	a.machine.commands.openResponse = 0
	q.heldForUnreachable = append(q.heldForUnreachable, a)
	return true
}
