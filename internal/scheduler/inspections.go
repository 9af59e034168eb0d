package scheduler

import (
	"time"

	"leadproxy/internal/scheduler/agentstate"
	"leadproxy/internal/wire"
)

// inspectionInterval is the least time between two inspections of an agent that sends stale
// heartbeats; each late copy doubles it, up to a lease. maxConcurrentInspections bounds how many run at
// once: copies may come from all machines for minutes.
const (
	inspectionInterval       = 2 * time.Second
	maxConcurrentInspections = 32
)

// inspectStaleSender inspects the sender of a heartbeat that is older than what we know: mostly
// it is a late copy, but an agent that has truly restarted counts from 1 again, and must not be
// taken for a copy for ever.
func (a *agents) inspectStaleSender(m *machine, r *wire.Heartbeat) {
	wait := min(inspectionInterval<<min(m.contact.consecutiveLateCopies, 8), a.lease)
	if r.Address == "" || m.contact.inspecting || a.inspectionsInFlight >= maxConcurrentInspections || a.clock.now-m.contact.lastInspection < wait && m.contact.lastInspection > 0 {
		return
	}
	a.inspectionsInFlight++
	m.contact.inspecting, m.contact.lastInspection = true, a.clock.now
	m.contact.positionAtInspection = m.agent.Position()
	a.effects.emit(InspectAgent{Machine: m.name, Address: r.Address})
}

// endInspection notes that an inspection has ended, with or without a result.
func (a *agents) endInspection(m *machine) {
	m.contact.inspecting = false
	a.inspectionsInFlight--
}

// countLateCopy notes that an inspection has shown a stale heartbeat to be a late copy.
func (a *agents) countLateCopy(m *machine) { m.contact.consecutiveLateCopies++ }

// resetInspection notes that the agent has restarted. An inspection that is still on its way then
// shows nothing new.
func (a *agents) resetInspection(m *machine) {
	m.contact.consecutiveLateCopies = 0
	m.contact.positionAtInspection = agentstate.HeartbeatPosition{}
}

// handleInspectResult takes the status of an agent that was inspected. If that is older than the
// newest heartbeat before the inspection, the agent has restarted.
func (c *Core) handleInspectResult(e InspectResult) {
	m := c.findOrAddMachine(e.Machine)
	c.agents.endInspection(m)
	r := e.Heartbeat
	if r == nil || r.Machine != m.name || m.state == machineGone || r.FencingToken>>termCounterBits > c.term {
		return
	}
	if agentstate.PositionOf(r).Before(m.contact.positionAtInspection) {
		c.handleAgentRestart(m, r)
	} else {
		c.agents.countLateCopy(m)
	}
	c.applyHeartbeat(m, r, fromCommandResult)
}

// handleAgentRestart takes in that an agent has restarted, as an inspection or the result of a command
// has shown. What it ran before is gone, and what it has now is not known yet: a start may have been
// executed since that was sent, or still be on its way to it. All allocations stay until the agent
// has acknowledged a token that is raised now. It then refuses every earlier start, and its list of
// tasks is complete.
func (c *Core) handleAgentRestart(m *machine, r *wire.Heartbeat) {
	c.log.Info("agent restarted: its epochs count from the beginning", "machine", m.name, "agent_epoch", r.AgentEpoch, "allocations", len(m.capacity.allocations))
	c.agents.resetInspection(m)
	c.commands.discardSendPositions(m)
	m.agent.ResetAfterRestart(r.AgentEpoch, c.clock.now)
	m.agent.BeginEpoch(r.AgentEpoch, c.clock.now+c.agents.lease)
	c.markUnacknowledged(m)
	m.agent.RequireLatestToken()
	c.markStartsUnresolved(m)
	m.commands.resolveAllOnToken(m.agent.FencingToken())
}

// markStartsUnresolved has all starts that were sent to a machine count as ones that may yet be
// executed. Those that have not left are withdrawn.
func (c *Core) markStartsUnresolved(m *machine) {
	for k := len(m.capacity.allocations) - 1; k >= 0; k-- {
		b := m.capacity.allocations[k]
		switch {
		case b.state <= allocationQueued:
			// It leaves with the present token, if at all.
		case b.withdrawStart():
			c.releaseAndRequeue(m, b)
		default:
			b.responseSequence = 0 // of a heartbeat of the earlier incarnation
			m.commands.addUnresolvedStart(b.attempt)
		}
	}
}
