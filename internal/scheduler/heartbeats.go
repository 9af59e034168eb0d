package scheduler

import (
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// maxCommandsPerResponse keeps the response to a heartbeat well below 64 KiB.
const maxCommandsPerResponse = 300

// handleHeartbeat processes a heartbeat and queues its response. A heartbeat with a token of a
// newer term, of a machine that is gone or of an epoch that has ended gets no response, so that the
// lease is not renewed.
func (c *Core) handleHeartbeat(event HeartbeatEvent) {
	heartbeat := event.Heartbeat
	if heartbeat.FencingToken>>termCounterBits > c.term {
		// A newer leader has sent this agent a token. This one must not respond any more.
		c.log.Info("agent has a token of a newer term", "machine", heartbeat.Machine, "fencing_token", heartbeat.FencingToken)
		c.effects.emit(HeartbeatReply{ReplyTo: event.ReplyTo})
		return
	}
	m := c.findOrAddMachine(heartbeat.Machine)
	if m.state == machineGone {
		c.effects.emit(HeartbeatReply{ReplyTo: event.ReplyTo})
		return
	}
	c.agents.withdrawRecordOf(m)
	pending := pendingResponse{replyTo: event.ReplyTo, machine: m, heartbeat: heartbeat}
	if c.applyHeartbeat(m, heartbeat, fromHeartbeat) {
		c.commands.attachCommandsToNextResponse(m)
		c.agents.raiseFencingTokenIfDue(m)
	} else {
		pending.stale = true
		c.agents.inspectStaleSender(m, heartbeat)
	}
	if m.agent.EpochEnded(heartbeat.AgentEpoch) {
		// The epoch counts as ended and its tasks have no allocations any more. If it had not
		// ended, a response would renew its lease and keep those tasks running.
		c.effects.emit(HeartbeatReply{ReplyTo: event.ReplyTo})
		return
	}
	c.agents.recordResponse(m)
	c.commands.queueResponse(pending)
}

// statusSource is the kind of message in which an agent's status arrived.
type statusSource int

const (
	fromHeartbeat     statusSource = iota // a heartbeat, which gets a response
	fromCommandResult                     // the result of a direct command or of an inspection
)

// applyHeartbeat updates the state of a machine, its agent and its allocations from an agent's
// status. It ignores a stale one and returns false.
func (c *Core) applyHeartbeat(m *machine, heartbeat *wire.Heartbeat, source statusSource) bool {
	if m.agent.IsStale(heartbeat) {
		return false
	}
	// Placement must run if the machine becomes schedulable, at its first acknowledgement or after
	// it was unreachable: waiting tasks may fit on it.
	wasSchedulable := c.agents.schedulable(m)
	if m.state == machineStarting {
		m.state = machineUp
		m.agent.RecordFirstHeartbeat(c.clock.now)
		c.handleMachineUp(m)
	}
	c.updateDescription(m, heartbeat.Type, heartbeat.Zone, heartbeat.Spot, heartbeat.Address)
	m.agent.RecordHeartbeat(c.clock.now)
	c.agents.withdrawRecordOf(m)
	if heartbeat.AgentEpoch != m.agent.Epoch() {
		c.beginAgentEpoch(m, heartbeat.AgentEpoch)
	}
	c.placement.markIndexStale(m)
	m.agent.Acknowledge(heartbeat, c.clock.now)
	m.commands.resolveUpToToken(m.agent.AcknowledgedToken())
	if heartbeat.TerminationNoticeS != nil && m.rental.terminationAt == 0 {
		m.rental.setTermination(c.clock.now + settings.Seconds(*heartbeat.TerminationNoticeS))
		c.log.Info("machine has a termination notice", "machine", m.name, "seconds", *heartbeat.TerminationNoticeS, "allocations", len(m.capacity.allocations))
	}
	if m.trusted(c.term) {
		// Without this term's token the heartbeat may be a copy of any age from before the term,
		// so its task list is not used.
		c.reconcileTasks(m, heartbeat, source)
	}
	if m.trusted(c.term) && len(m.recorded.inDoubtJobs) > 0 {
		// Only from now on is it certain that no start of an earlier leader is in flight.
		c.resolveInDoubt(m, "its agent has acknowledged our token")
	}
	if m.rental.terminationAt > 0 {
		c.evictBeforeTermination(m)
	}
	if !wasSchedulable && c.agents.schedulable(m) {
		c.placement.markNeeded()
	}
	c.releaseRefusedStarts(m)
	return true
}

// beginAgentEpoch handles an agent being in another epoch than before: the tasks of the earlier
// epoch have ended.
func (c *Core) beginAgentEpoch(m *machine, epoch uint64) {
	if m.agent.Epoch() != 0 {
		c.log.Info("agent began a new epoch", "machine", m.name, "agent_epoch", epoch, "allocations", len(m.capacity.allocations))
		c.releaseLostAllocations(m, "its agent began a new epoch")
		// An epoch ends because the agent received no response for a whole lease.
		c.markUnacknowledged(m)
	}
	// The agent rejects starts that were sent to an earlier epoch.
	m.commands.resolveAllStarts()
	m.agent.BeginEpoch(epoch, c.clock.now+c.agents.lease)
	c.softState.machineChanged(m)
}
