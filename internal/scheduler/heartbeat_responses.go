package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// pendingResponse is a response to a heartbeat that has not been sent. It is sent at the end of the
// step so that it carries the starts decided in the step.
type pendingResponse struct {
	replyTo   Recipient
	machine   *machine
	heartbeat *wire.Heartbeat
	// stale is set for a stale heartbeat (see State.IsStale), and once a newer one has arrived: the
	// response then gets no commands but the required stops.
	stale bool
	// holdUntil is when a response held for starts to become durable is sent without them; 0: it
	// has not been held.
	holdUntil time.Duration
}

// attachCommandsToNextResponse makes the response that is queued next carry the commands for a
// machine. It is called for the newest heartbeat of the machine's agent.
func (c *commands) attachCommandsToNextResponse(m *machine) {
	m.commands.endWakeup() // starts that become pending after this response need another one
	if m.commands.heldHeartbeat != nil {
		// The agent no longer waits for the response to the earlier heartbeat.
		m.commands.heldHeartbeat = nil
		if len(m.commands.pending) > 0 {
			c.machinesWithCommands = append(c.machinesWithCommands, m)
		}
	}
	m.commands.responseNumber = len(c.pendingResponses) + 1
}

// queueResponse queues a response that is sent at the end of the step.
func (c *commands) queueResponse(pending pendingResponse) {
	c.pendingResponses = append(c.pendingResponses, pending)
}

// queueResponsesToUnreachable queues the responses that were held because of unreachable-agent
// records. Those whose machines still have one are held again by sendResponses.
func (c *commands) queueResponsesToUnreachable() {
	held := c.responsesToUnreachable
	c.responsesToUnreachable = nil
	for _, pending := range held {
		if !pending.stale {
			pending.machine.commands.responseNumber = len(c.pendingResponses) + 1
		}
		c.queueResponse(pending)
	}
}

// maxResponseHold is how long a response is held for starts whose host is being written to the
// ledger. Without the hold the agent would have to be woken for them, which costs as much as several
// heartbeats.
const maxResponseHold = 400 * time.Millisecond

// holdForWrites holds a response while starts for its machine wait for a ledger write, and reports
// whether it does. A response is held at most once.
func (c *commands) holdForWrites(pending pendingResponse) bool {
	m := pending.machine
	if pending.holdUntil > 0 || !m.trusted(c.term) || !m.hasPlannedStarts() {
		return false
	}
	pending.holdUntil = c.clock.now + maxResponseHold
	m.commands.responseNumber, m.commands.heldHeartbeat = 0, pending.heartbeat
	c.responsesAwaitingWrites = append(c.responsesAwaitingWrites, pending)
	return true
}

// hasPlannedStarts reports whether starts for the machine wait for a ledger write.
func (m *machine) hasPlannedStarts() bool {
	return slices.ContainsFunc(m.capacity.allocations, func(alloc *allocation) bool { return alloc.state == allocationPlanned })
}

// releaseHeldResponses queues the responses held for writes that need not wait any longer. If the
// agent has sent a newer heartbeat meanwhile, the response is marked as stale.
func (c *commands) releaseHeldResponses() {
	keep := c.responsesAwaitingWrites[:0]
	for _, pending := range c.responsesAwaitingWrites {
		m := pending.machine
		if m.commands.heldHeartbeat == pending.heartbeat {
			if c.clock.now < pending.holdUntil && m.state != machineGone && m.hasPlannedStarts() {
				keep = append(keep, pending)
				continue
			}
			m.commands.heldHeartbeat = nil
			m.commands.responseNumber = len(c.pendingResponses) + 1
			if len(m.commands.pending) > 0 {
				c.machinesWithCommands = append(c.machinesWithCommands, m) // for the commands that don't fit the response
			}
		} else {
			pending.stale = true
		}
		c.queueResponse(pending)
	}
	clear(c.responsesAwaitingWrites[len(keep):])
	c.responsesAwaitingWrites = keep
}

// sendResponses sends the pending responses. Only the response to the newest heartbeat of a machine
// carries more commands than the required stops.
func (c *commands) sendResponses() {
	for i, pending := range c.pendingResponses {
		m := pending.machine
		if m.state == machineGone {
			c.effects.emit(HeartbeatReply{ReplyTo: pending.replyTo})
			continue
		}
		if c.holdForUnreachable(pending) || m.commands.responseNumber == i+1 && c.holdForWrites(pending) {
			continue
		}
		// A response renews the agent's lease, whatever commands it has and even if its heartbeat
		// is not trusted. So each one contains the stops of all tasks that must not run.
		trust := untrustedHeartbeat
		if !pending.stale && m.commands.responseNumber == i+1 && m.trusted(c.term) {
			trust = trustedHeartbeat
		}
		list := c.requiredStops(m, pending.heartbeat, trust)
		var starts StartDeliveries
		if trust == trustedHeartbeat {
			list, starts = c.appendForgetsAndPending(m, pending.heartbeat, list)
		}
		response := &wire.HeartbeatResponse{FencingToken: m.agent.FencingToken(), Commands: list}
		if m.commands.responseNumber == i+1 {
			m.commands.responseNumber = 0
		}
		c.effects.emit(HeartbeatReply{ReplyTo: pending.replyTo, Response: response, Starts: starts})
	}
	clear(c.pendingResponses)
	c.pendingResponses = c.pendingResponses[:0]
}

// appendPendingCommands appends a machine's pending commands to the list for the response to its
// heartbeat, as far as they fit. Unlike a direct command, a response is never executed late: the
// agent's next heartbeat shows whether its commands were executed. A heartbeat of another epoch
// than the agent's present one gets none.
func (c *commands) appendPendingCommands(m *machine, heartbeat *wire.Heartbeat, list []wire.Command) ([]wire.Command, StartDeliveries) {
	var starts StartDeliveries
	if heartbeat.AgentEpoch != m.agent.Epoch() {
		return list, starts
	}
	for len(m.commands.pending) > 0 && len(list) < maxCommandsPerResponse {
		command := m.commands.pending[0]
		m.commands.pending = m.commands.pending[1:]
		if command.Verb == wire.VerbStart {
			alloc := m.allocation(command.Attempt)
			if alloc == nil {
				continue // released since it was queued
			}
			alloc.state, alloc.responseSequence = allocationSent, heartbeat.Sequence
			starts = append(starts, &alloc.start)
		}
		list = append(list, command)
	}
	return list, starts
}

// holdForUnreachable holds the response to a machine with an unreachable-agent record until the
// record is withdrawn, and reports whether it does.
func (c *commands) holdForUnreachable(pending pendingResponse) bool {
	if pending.machine.contact.unreachableRecord == nil {
		return false
	}
	pending.machine.commands.responseNumber = 0
	c.responsesToUnreachable = append(c.responsesToUnreachable, pending)
	return true
}
