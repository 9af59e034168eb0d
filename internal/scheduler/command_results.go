package scheduler

import (
	"time"

	"leadproxy/internal/scheduler/agentstate"
)

// startSuspension is how long a machine that commands don't reach gets no new tasks.
const startSuspension = 4 * time.Second

// removeInFlight returns a command whose result has arrived, or nil when it is not known.
func (q *commands) removeInFlight(id uint64) *commandInFlight {
	command := q.inFlight[id]
	if command != nil {
		delete(q.inFlight, id)
		command.machine.commands.inFlight--
	}
	return command
}

// discardSendPositions notes that the agent of a machine has restarted. The commands that are still on their
// way show nothing new by that.
func (q *commands) discardSendPositions(m *machine) {
	for _, command := range q.inFlight {
		if command.machine == m {
			command.positionWhenSent = agentstate.HeartbeatPosition{}
		}
	}
}

// handleCommandResult takes the result of a direct command.
func (c *Core) handleCommandResult(e CommandResult) {
	command := c.commands.removeInFlight(e.CommandID)
	if command == nil {
		return
	}
	if e.Outcome == CommandWithdrawn {
		return // its allocations were released as it was withdrawn
	}
	m := command.machine
	if command.probe {
		defer c.agents.handleProbeResult(command, e.Outcome)
	}
	if m.state == machineGone {
		return
	}
	if command.addressFromSoftState && (e.Outcome == CommandOutcomeUnknown || e.Outcome == CommandNotSent) {
		c.agents.dropInheritedAddress(m) // the inherited address is wrong, or old: that says nothing about the machine
		return
	}
	if e.Outcome == CommandOutcomeUnknown || e.Outcome == CommandNotSent {
		// Its heartbeats may still arrive, but starts don't: it is avoided for a while, or the
		// same tasks would be placed there again and again.
		m.commands.suspendStarts(c.clock.now + startSuspension)
		c.markUnacknowledged(m)
	}
	switch e.Outcome {
	case CommandOutcomeUnknown:
		c.commands.handleUnknownOutcome(command)
		return
	case CommandNotSent, CommandRejected:
		c.commands.resolveStarts(command, func(b *allocation) { c.releaseAndRequeue(m, b) })
		if e.Outcome == CommandRejected && !command.probe {
			c.log.Info("direct command refused", "machine", m.name, "fencing_token", command.fencingToken, "agent_epoch", command.agentEpoch)
		}
	case CommandExecuted:
		c.commands.resolveStarts(command, func(b *allocation) { b.state = allocationConfirmed })
	}
	if e.Heartbeat != nil && e.Heartbeat.Machine == m.name && e.Heartbeat.FencingToken>>termCounterBits <= c.term {
		// The agent made it after the command was sent. So if it is older than what was known then,
		// its sender has restarted.
		if agentstate.PositionOf(e.Heartbeat).Before(command.positionWhenSent) {
			c.handleAgentRestart(m, e.Heartbeat)
		}
		c.applyHeartbeat(m, e.Heartbeat, fromCommandResult)
	}
	if e.Outcome == CommandExecuted {
		c.commands.repeatStops(command, e.Heartbeat)
	}
}

// handleUnknownOutcome keeps the allocations of a command for which it is not known whether it
// was executed. The token is higher now: once the agent has acknowledged it, the command can't
// be executed any more, and an attempt that is missing then will never run.
func (q *commands) handleUnknownOutcome(command *commandInFlight) {
	m := command.machine
	if m.agent.Epoch() != command.agentEpoch {
		return // it can only be refused
	}
	for _, a := range command.startedAttempts {
		if _, ok := m.commands.unresolvedStarts[a]; ok {
			m.commands.unresolvedStarts[a] = command.fencingToken + 1
		}
	}
	q.log.Debug("direct command result unknown", "machine", m.name, "starts", len(command.startedAttempts), "fencing_token", m.agent.FencingToken())
}

// resolveStarts resolves the starts of a command whose outcome is known, and calls f for the
// allocations that still wait for it.
func (q *commands) resolveStarts(command *commandInFlight, f func(b *allocation)) {
	m := command.machine
	for _, a := range command.startedAttempts {
		delete(m.commands.unresolvedStarts, a)
		if b := m.allocation(a); b != nil && b.state == allocationSent {
			f(b)
		}
	}
}
