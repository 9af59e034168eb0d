package scheduler

import "time"

// avoidFor is how long a machine that commands don't reach gets no new tasks.
const avoidFor = 4 * time.Second

func (c *Core) commandResult(e CommandResult) {
	call := c.commands.inFlight[e.CommandID]
	delete(c.commands.inFlight, e.CommandID)
	if call == nil {
		return
	}
	m := call.machine
	m.commands.inFlight--
	if call.probe {
		defer c.agents.probeResult(call, e.Outcome)
	}
	if m.state == machineGone {
		return
	}
	if call.addressFromSoftState && (e.Outcome == CommandOutcomeUnknown || e.Outcome == CommandNotSent) {
		c.agents.inheritedAddressFailed(m) // the hint is wrong, or old: nothing against the machine
		return
	}
	if e.Outcome == CommandOutcomeUnknown || e.Outcome == CommandNotSent {
		// Its reports may still come, but starts don't arrive: leave it alone
		// for a while rather than book the same tasks there again and again.
		m.commands.avoidUntil = c.clock.now + avoidFor
		c.markUnacknowledged(m)
	}
	switch e.Outcome {
	case CommandOutcomeUnknown:
		c.commands.commandOutcomeUnknown(call)
		return
	case CommandNotSent, CommandRejected:
		c.commands.eachSent(call, func(b *allocation) { c.release(m, b) })
		if e.Outcome == CommandRejected && !call.probe {
			c.log.Info("direct command refused", "machine", m.name, "token", call.fencingToken, "session", call.agentEpoch)
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

// commandOutcomeUnknown keeps the starts of a command booked of which nobody knows whether it
// was carried out. The token is higher now: once the worker has echoed it, the command
// can't be executed any more, and what is not there then will never be.
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
	q.log.Debug("direct command unanswered", "machine", m.name, "starts", len(call.startedAttempts), "token", m.agent.fencingToken)
}

// eachSent settles the starts of a command whose outcome is known, and calls f for the
// bookings that still wait for it.
func (q *commands) eachSent(call *commandInFlight, f func(b *allocation)) {
	m := call.machine
	for _, a := range call.startedAttempts {
		delete(m.commands.unresolvedStarts, a)
		if b := m.allocation(a); b != nil && b.state == allocationSent {
			f(b)
		}
	}
}
