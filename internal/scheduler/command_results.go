package scheduler

import (
	"time"

	"leadproxy/internal/scheduler/agentstate"
	"leadproxy/internal/wire"
)

// startSuspension is how long nothing is started on a machine after a command was not sent, or its
// outcome is unknown.
const startSuspension = 4 * time.Second

// removeInFlight removes the command with the given id and returns it, or nil if it is not in
// flight.
func (c *commands) removeInFlight(id uint64) *commandInFlight {
	command := c.inFlight[id]
	if command != nil {
		delete(c.inFlight, id)
		command.machine.commands.inFlight--
	}
	return command
}

// discardSendPositions clears the positions with which a machine's in-flight commands were sent. It
// is called once the agent's restart is known, so that their results don't report the same restart
// again.
func (c *commands) discardSendPositions(m *machine) {
	for _, command := range c.inFlight {
		if command.machine == m {
			command.positionWhenSent = agentstate.HeartbeatPosition{}
		}
	}
}

// handleCommandResult processes the result of a direct command.
func (c *Core) handleCommandResult(result CommandResult) {
	command := c.commands.removeInFlight(result.CommandID)
	if command == nil {
		return
	}
	if result.Outcome == CommandWithdrawn {
		return // its allocations were released when it was withdrawn
	}
	m := command.machine
	if command.probe {
		defer c.agents.handleProbeResult(command, result.Outcome)
	}
	if m.state == machineGone {
		return
	}
	if command.wakeup {
		c.handleWakeupResult(m, result.Outcome)
	}
	if command.addressFromSoftState && (result.Outcome == CommandOutcomeUnknown || result.Outcome == CommandNotSent) {
		// The address is wrong or outdated. That does not show that the machine can't be reached.
		c.agents.dropInheritedAddress(m)
		return
	}
	if result.Outcome == CommandOutcomeUnknown || result.Outcome == CommandNotSent {
		// Heartbeats may still arrive from the machine while starts don't reach it. Without a
		// suspension the same tasks would be placed there again and again.
		m.commands.suspendStarts(c.clock.now + startSuspension)
		c.markUnacknowledged(m)
	}
	switch result.Outcome {
	case CommandOutcomeUnknown:
		c.commands.handleUnknownOutcome(command)
		return
	case CommandNotSent, CommandRejected:
		c.commands.resolveStarts(command, func(alloc *allocation) { c.releaseAndRequeue(m, alloc) })
		if result.Outcome == CommandRejected && !command.probe {
			c.log.Info("agent rejected a direct command", "machine", m.name, "fencing_token", command.fencingToken, "agent_epoch", command.agentEpoch)
		}
	case CommandExecuted:
		c.commands.resolveStarts(command, func(alloc *allocation) { alloc.state = allocationConfirmed })
	}
	c.applyCommandStatus(command, result.Heartbeat)
	if result.Outcome == CommandExecuted {
		c.commands.repeatStops(command, result.Heartbeat)
	}
}

// applyCommandStatus applies the status of the agent in the result of a command, if there is one.
func (c *Core) applyCommandStatus(command *commandInFlight, heartbeat *wire.Heartbeat) {
	m := command.machine
	if heartbeat == nil || heartbeat.Machine != m.name || heartbeat.FencingToken>>termCounterBits > c.term {
		return
	}
	// The agent created this status after the command was sent. If it is older than the newest
	// heartbeat known then, the agent has restarted.
	if agentstate.PositionOf(heartbeat).Before(command.positionWhenSent) {
		c.handleAgentRestart(m, heartbeat)
	}
	c.applyHeartbeat(m, heartbeat, fromCommandResult)
}

// handleUnknownOutcome keeps the allocations of a command that may or may not have been executed.
// The token has been raised since: once the agent has acknowledged the raised token, it rejects the
// command, and an attempt that is missing then will never run.
func (c *commands) handleUnknownOutcome(command *commandInFlight) {
	m := command.machine
	if m.agent.Epoch() != command.agentEpoch {
		return // the agent's epoch has changed: it can only reject the command
	}
	for _, attempt := range command.startedAttempts {
		if _, ok := m.commands.unresolvedStarts[attempt]; ok {
			m.commands.unresolvedStarts[attempt] = command.fencingToken + 1
		}
	}
	c.log.Debug("result of a direct command is unknown", "machine", m.name, "starts", len(command.startedAttempts), "fencing_token", m.agent.FencingToken())
}

// resolveStarts marks the starts of a command whose outcome is known as resolved, and calls resolve
// for the allocations that are still waiting for that outcome.
func (c *commands) resolveStarts(command *commandInFlight, resolve func(alloc *allocation)) {
	m := command.machine
	for _, attempt := range command.startedAttempts {
		delete(m.commands.unresolvedStarts, attempt)
		if alloc := m.allocation(attempt); alloc != nil && alloc.state == allocationSent {
			resolve(alloc)
		}
	}
}
