package scheduler

import (
	"time"

	"leadproxy/internal/scheduler/agentstate"
	"leadproxy/internal/wire"
)

// inspectionInterval is the minimum time between two inspections of an agent that sends stale
// heartbeats. It doubles with each late copy in a row, up to the length of a lease.
// maxConcurrentInspections bounds the inspections in flight: late copies may arrive from all
// machines for minutes.
const (
	inspectionInterval       = 2 * time.Second
	maxConcurrentInspections = 32
)

// inspectStaleSender requests the status of an agent that sent a stale heartbeat. Mostly the
// heartbeat is a late copy, but an agent that has restarted counts from 1 again, and without an
// inspection its heartbeats would be taken for late copies forever.
func (a *agents) inspectStaleSender(m *machine, heartbeat *wire.Heartbeat) {
	interval := min(inspectionInterval<<min(m.contact.consecutiveLateCopies, 8), a.lease)
	if heartbeat.Address == "" || m.contact.inspecting || a.inspectionsInFlight >= maxConcurrentInspections || a.clock.now-m.contact.lastInspection < interval && m.contact.lastInspection > 0 {
		return
	}
	a.inspectionsInFlight++
	m.contact.inspecting, m.contact.lastInspection = true, a.clock.now
	m.contact.positionAtInspection = m.agent.Position()
	a.effects.emit(InspectAgent{Machine: m.name, Address: heartbeat.Address})
}

// endInspection records that an inspection of a machine's agent has ended, with or without a
// result.
func (a *agents) endInspection(m *machine) {
	m.contact.inspecting = false
	a.inspectionsInFlight--
}

// countLateCopy counts an inspection which showed that a stale heartbeat was a late copy.
func (a *agents) countLateCopy(m *machine) { m.contact.consecutiveLateCopies++ }

// resetInspection is called when a restart of the agent is known. The result of an inspection that
// is still in flight then doesn't report the same restart again.
func (a *agents) resetInspection(m *machine) {
	m.contact.consecutiveLateCopies = 0
	m.contact.positionAtInspection = agentstate.HeartbeatPosition{}
}

// handleInspectResult processes the status of an agent that was inspected. If it is older than the
// newest heartbeat known when the inspection was sent, the agent has restarted.
func (c *Core) handleInspectResult(result InspectResult) {
	m := c.findOrAddMachine(result.Machine)
	c.agents.endInspection(m)
	heartbeat := result.Heartbeat
	if heartbeat == nil || heartbeat.Machine != m.name || m.state == machineGone || heartbeat.FencingToken>>termCounterBits > c.term {
		return
	}
	if agentstate.PositionOf(heartbeat).Before(m.contact.positionAtInspection) {
		c.handleAgentRestart(m, heartbeat)
	} else {
		c.agents.countLateCopy(m)
	}
	c.applyHeartbeat(m, heartbeat, fromCommandResult)
}

// handleAgentRestart handles a restart of an agent that an inspection or the result of a command
// has shown. The tasks that the agent ran before have ended, and what it runs now is not known yet:
// a start may have been executed after that status was created, or may still be in flight. So all
// allocations are kept until the agent has acknowledged the token that is raised here. From then on
// it rejects all earlier starts, and its task list is complete.
func (c *Core) handleAgentRestart(m *machine, heartbeat *wire.Heartbeat) {
	c.log.Info("agent restarted and counts its epochs from the beginning", "machine", m.name, "agent_epoch", heartbeat.AgentEpoch, "allocations", len(m.capacity.allocations))
	c.agents.resetInspection(m)
	c.commands.discardSendPositions(m)
	m.agent.ResetAfterRestart(heartbeat.AgentEpoch, c.clock.now)
	m.agent.BeginEpoch(heartbeat.AgentEpoch, c.clock.now+c.agents.lease)
	c.markUnacknowledged(m)
	m.agent.RequireLatestToken()
	c.markStartsUnresolved(m)
	m.commands.resolveAllOnToken(m.agent.FencingToken())
}

// markStartsUnresolved marks all starts that were sent to a machine as unresolved, since they may
// still be executed. Those that have not left this controller are withdrawn.
func (c *Core) markStartsUnresolved(m *machine) {
	for i := len(m.capacity.allocations) - 1; i >= 0; i-- {
		alloc := m.capacity.allocations[i]
		switch {
		case alloc.state <= allocationQueued:
			// Not sent yet: it will be sent with the present token, if at all.
		case alloc.withdrawStart():
			c.releaseAndRequeue(m, alloc)
		default:
			alloc.responseSequence = 0 // it belonged to a heartbeat of the earlier incarnation
			m.commands.addUnresolvedStart(alloc.attempt)
		}
	}
}
