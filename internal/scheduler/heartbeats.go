package scheduler

import (
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// maxCommandsPerResponse keeps the response to a heartbeat well below 64 KiB.
const maxCommandsPerResponse = 300

func (c *Core) handleHeartbeat(e HeartbeatEvent) {
	r := e.Heartbeat
	if r.FencingToken>>termCounterBits > c.term {
		// A newer leader has sent this agent a token: we must not respond.
		c.log.Info("agent has a token of a newer term", "machine", r.Machine, "fencing_token", r.FencingToken)
		c.effects.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	m := c.findOrAddMachine(r.Machine)
	if m.state == machineGone {
		c.effects.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	c.agents.withdrawRecordOf(m)
	a := pendingResponse{replyTo: e.ReplyTo, machine: m, heartbeat: r}
	if c.applyHeartbeat(m, r, fromHeartbeat) {
		c.commands.attachCommandsToNextResponse(m)
		c.agents.raiseFencingTokenIfDue(m)
	} else {
		a.stale = true
		c.agents.inspectStaleSender(m, r)
	}
	if m.agent.EpochEnded(r.AgentEpoch) {
		// That epoch must have ended. A response could keep it alive if it had not, with tasks
		// that have no allocation any more.
		c.effects.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	c.agents.recordResponse(m)
	c.commands.queueResponse(a)
}

// statusSource is how an agent's status has arrived.
type statusSource int

// The ways of a status.
const (
	fromHeartbeat     statusSource = iota // it is followed by a response
	fromCommandResult                     // with the result of a direct command, or of an inspection
)

// applyHeartbeat takes in an agent's status, from a heartbeat or from the response to a direct
// command. It returns false for a stale one.
func (c *Core) applyHeartbeat(m *machine, r *wire.Heartbeat, source statusSource) bool {
	if m.agent.IsStale(r) {
		return false
	}
	// A machine that becomes schedulable, at its first acknowledgement or after it was
	// unreachable, may be what waiting tasks need.
	wasOpen := c.agents.schedulable(m)
	if m.state == machineStarting {
		m.state = machineUp
		m.agent.RecordFirstHeartbeat(c.clock.now)
		c.handleMachineUp(m)
	}
	c.updateDescription(m, r.Type, r.Zone, r.Spot, r.Address)
	m.agent.RecordHeartbeat(c.clock.now)
	c.agents.withdrawRecordOf(m)
	if r.AgentEpoch != m.agent.Epoch() {
		c.beginAgentEpoch(m, r.AgentEpoch)
	}
	c.placement.markIndexStale(m)
	m.agent.Acknowledge(r, c.clock.now)
	m.commands.resolveUpToToken(m.agent.AcknowledgedToken())
	if r.TerminationNoticeS != nil && m.rental.terminationAt == 0 {
		m.rental.setTermination(c.clock.now + settings.Seconds(*r.TerminationNoticeS))
		c.log.Info("machine has a termination notice", "machine", m.name, "seconds", *r.TerminationNoticeS, "allocations", len(m.capacity.allocations))
	}
	if m.trusted(c.term) {
		// Without our token this may be a copy from before our term, of any age: its list of
		// tasks is not believed.
		c.reconcileTasks(m, r, source)
	}
	if m.trusted(c.term) && len(m.recorded.inDoubtJobs) > 0 {
		// Only now is it certain that no earlier leader's start is on its way.
		c.resolveInDoubt(m, "its agent has acknowledged our token")
	}
	if m.rental.terminationAt > 0 {
		c.evictBeforeTermination(m)
	}
	if !wasOpen && c.agents.schedulable(m) {
		c.placement.markNeeded()
	}
	return true
}

// beginAgentEpoch notes that an agent is in another epoch than before.
func (c *Core) beginAgentEpoch(m *machine, epoch uint64) {
	if m.agent.Epoch() != 0 {
		c.log.Info("agent began a new epoch", "machine", m.name, "agent_epoch", epoch, "allocations", len(m.capacity.allocations))
		c.releaseLostAllocations(m, "its agent began a new epoch")
		// It has received no response for a whole lease.
		c.markUnacknowledged(m)
	}
	// A start sent to the earlier epoch can't be executed any more.
	m.commands.resolveAllStarts()
	m.agent.BeginEpoch(epoch, c.clock.now+c.agents.lease)
	c.softState.machineChanged(m)
}
