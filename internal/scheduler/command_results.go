package scheduler

import "time"

// avoidFor is how long a machine that commands don't reach gets no new tasks.
const avoidFor = 4 * time.Second

// takeInFlight returns a command whose result has arrived, or nil when it is not known.
func (q *commands) takeInFlight(id uint64) *commandInFlight {
	call := q.inFlight[id]
	if call != nil {
		delete(q.inFlight, id)
		call.machine.commands.inFlight--
	}
	return call
}

// commandResult takes the result of a direct command.
func (c *Core) commandResult(e CommandResult) {
	call := c.commands.takeInFlight(e.CommandID)
	if call == nil {
		return
	}
	m := call.machine
	if call.probe {
		defer c.agents.probeResult(call, e.Outcome)
	}
	if m.state == machineGone {
		return
	}
	if call.addressFromSoftState && (e.Outcome == CommandOutcomeUnknown || e.Outcome == CommandNotSent) {
		c.agents.inheritedAddressFailed(m) // the inherited address is wrong, or old: that says nothing about the machine
		return
	}
	if e.Outcome == CommandOutcomeUnknown || e.Outcome == CommandNotSent {
		// Its heartbeats may still arrive, but starts don't: it is avoided for a while, or the
		// same tasks would be placed there again and again.
		m.commands.avoid(c.clock.now + avoidFor)
		c.markUnacknowledged(m)
	}
	switch e.Outcome {
	case CommandOutcomeUnknown:
		c.commands.commandOutcomeUnknown(call)
		return
	case CommandNotSent, CommandRejected:
		c.commands.eachSent(call, func(b *allocation) { c.release(m, b) })
		if e.Outcome == CommandRejected && !call.probe {
			c.log.Info("direct command refused", "machine", m.name, "fencing_token", call.fencingToken, "agent_epoch", call.agentEpoch)
		}
	case CommandExecuted:
		c.commands.eachSent(call, func(b *allocation) { b.state = allocationConfirmed })
	}
	if e.Heartbeat != nil && e.Heartbeat.Machine == m.name && e.Heartbeat.FencingToken>>tokenBits <= c.term {
		c.applyHeartbeat(m, e.Heartbeat, false)
	}
	if e.Outcome == CommandExecuted {
		c.commands.repeatStops(call, e.Heartbeat)
	}
}

// commandOutcomeUnknown keeps the allocations of a command for which it is not known whether it
// was executed. The token is higher now: once the agent has acknowledged it, the command can't
// be executed any more, and an attempt that is missing then will never run.
func (q *commands) commandOutcomeUnknown(call *commandInFlight) {
	m := call.machine
	if m.agent.epoch != call.agentEpoch {
		return // it can only be refused
	}
	for _, a := range call.startedAttempts {
		if _, ok := m.commands.unresolvedStarts[a]; ok {
			m.commands.unresolvedStarts[a] = call.fencingToken + 1
		}
	}
	q.log.Debug("direct command result unknown", "machine", m.name, "starts", len(call.startedAttempts), "fencing_token", m.agent.fencingToken)
}

// eachSent resolves the starts of a command whose outcome is known, and calls f for the
// allocations that still wait for it.
func (q *commands) eachSent(call *commandInFlight, f func(b *allocation)) {
	m := call.machine
	for _, a := range call.startedAttempts {
		delete(m.commands.unresolvedStarts, a)
		if b := m.allocation(a); b != nil && b.state == allocationSent {
			f(b)
		}
	}
}
