package scheduler

import (
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// maxCommandsPerResponse keeps a report's answer well below 64 KiB.
const maxCommandsPerResponse = 300

func (c *Core) heartbeatReceived(e HeartbeatEvent) {
	r := e.Heartbeat
	if r.FencingToken>>tokenBits > c.term {
		// A newer leader has spoken to this worker: we must not.
		c.log.Info("a worker has seen a newer term", "machine", r.Machine, "token", r.FencingToken)
		c.effects.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	m := c.machineNamed(r.Machine)
	if m.state == machineGone {
		c.effects.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	c.agents.withdrawRecordOf(m)
	a := heldResponse{replyTo: e.ReplyTo, machine: m, heartbeat: r}
	if c.applyHeartbeat(m, r, true) {
		if m.commands.heldHeartbeat != nil {
			// Its worker has given up the answer to an earlier one.
			m.commands.heldHeartbeat = nil
			if len(m.commands.pending) > 0 {
				c.commands.machinesWithCommands = append(c.commands.machinesWithCommands, m)
			}
		}
		m.commands.openResponse = len(c.commands.openResponses) + 1
		c.agents.raiseFencingToken(m)
	} else {
		a.outdated = true
		c.agents.inspectStaleSender(m, r)
	}
	if r.AgentEpoch <= m.agent.expiredEpoch {
		// That session must have ended. An answer could keep it alive if it had
		// not, with tasks that are booked nowhere any more.
		c.effects.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	// The worker counts its lease from when it sent the report. That was
	// before we heard of anything newer from it, so counting from the last
	// word that we believed is late enough, also for a late copy.
	m.agent.lastResponse = max(m.agent.lastResponse, m.agent.lastHeartbeat)
	m.agent.leaseExpiry = max(m.agent.leaseExpiry, m.agent.lastHeartbeat+c.agents.lease)
	c.commands.openResponses = append(c.commands.openResponses, a)
}

// applyHeartbeat takes in what a worker tells, in a report or in the answer to a
// direct command. It returns false for something stale.
func (c *Core) applyHeartbeat(m *machine, r *wire.Heartbeat, reported bool) bool {
	if r.AgentEpoch <= m.agent.expiredEpoch || !m.agent.position().before(positionOf(r)) {
		return false
	}
	if r.FencingToken < max(m.agent.minAcceptedToken, m.agent.acknowledgedToken) {
		// A worker never forgets a token while it lives. So this is from an earlier
		// life, whose counts may be higher than those of the present one, or its worker
		// has begun anew and not yet heard of us. The answer tells it our token.
		return false
	}
	// A machine that opens to work, at its first echo or after a silence, may
	// be what waiting tasks wait for.
	wasOpen := c.agents.schedulable(m)
	if m.state == machineStarting {
		m.state, m.agent.epochSeenAt = machineUp, c.clock.now
		c.machineCameUp(m)
	}
	c.updateDescription(m, r.Type, r.Zone, r.Spot, r.Address)
	m.agent.lastHeartbeat = c.clock.now
	c.agents.withdrawRecordOf(m)
	if r.AgentEpoch != m.agent.epoch {
		c.epochBegan(m, r.AgentEpoch)
	}
	m.agent.sequence = r.Sequence
	c.placement.indexChanged(m)
	m.agent.acknowledgedToken = max(m.agent.acknowledgedToken, r.FencingToken)
	for attempt, fence := range m.commands.unresolvedStarts {
		if m.agent.acknowledgedToken >= fence {
			delete(m.commands.unresolvedStarts, attempt)
		}
	}
	if r.TerminationNoticeS != nil && m.rental.terminationAt == 0 {
		m.rental.terminationAt = c.clock.now + settings.Seconds(*r.TerminationNoticeS)
		c.log.Info("machine will be taken back", "machine", m.name, "seconds", *r.TerminationNoticeS, "bookings", len(m.capacity.allocations))
	}
	if r.FencingToken >= m.agent.fencingToken {
		m.agent.lastAcknowledged, m.agent.unacknowledged = c.clock.now, false
	}
	if m.trusted(c.term) {
		// Without our token this may be a copy from before our term, as late as
		// can be: what it lists is not believed.
		c.reconcileTasks(m, r, reported)
	}
	if m.trusted(c.term) && len(m.recorded.inDoubtJobs) > 0 {
		// Only now is it certain that no earlier leader's start is on its way.
		c.resolveInDoubt(m, "it has echoed our token")
	}
	if m.rental.terminationAt > 0 {
		c.evictBeforeTermination(m)
	}
	if !wasOpen && c.agents.schedulable(m) {
		c.placement.needed = true
	}
	return true
}

// epochBegan notes that a worker is in another session than before.
func (c *Core) epochBegan(m *machine, session uint64) {
	if m.agent.epoch != 0 {
		c.log.Info("worker began a new session", "machine", m.name, "session", session, "bookings", len(m.capacity.allocations))
		c.dropAllocations(m, "its session ended")
		// It has heard no answer for a whole lease.
		c.markUnacknowledged(m)
	}
	// A start sent to the earlier session can't be executed any more.
	clear(m.commands.unresolvedStarts)
	m.agent.epoch = session
	c.softState.machineChanged(m)
	// A session begins with a lease of its own, though nobody has answered
	// it, and this one may have begun just now: what was known of the lease
	// was the session's before.
	m.agent.leaseExpiry = max(m.agent.leaseExpiry, c.clock.now+c.agents.lease)
}
