package scheduler

import (
	"time"

	"leadproxy/internal/scheduler/agentstate"
	"leadproxy/internal/wire"
)

// inspectionInterval is the least time between two inspections of an agent that sends stale
// heartbeats; each late copy doubles it, up to a lease. maxInspections bounds how many run at
// once: copies may come from all machines for minutes.
const (
	inspectionInterval = 2 * time.Second
	maxInspections     = 32
)

// inspectStaleSender inspects the sender of a heartbeat that is older than what we know: mostly
// it is a late copy, but an agent that has truly restarted counts from 1 again, and must not be
// taken for a copy for ever.
func (a *agents) inspectStaleSender(m *machine, r *wire.Heartbeat) {
	wait := min(inspectionInterval<<min(m.contact.staleHeartbeats, 8), a.lease)
	if r.Address == "" || m.contact.inspecting || a.inspectionsInFlight >= maxInspections || a.clock.now-m.contact.lastInspection < wait && m.contact.lastInspection > 0 {
		return
	}
	a.inspectionsInFlight++
	m.contact.inspecting, m.contact.lastInspection = true, a.clock.now
	m.contact.inspectedAt = m.agent.Position()
	a.effects.emit(InspectAgent{Machine: m.name, Address: r.Address})
}

// inspectionEnded notes that an inspection has ended, with or without a result.
func (a *agents) inspectionEnded(m *machine) {
	m.contact.inspecting = false
	a.inspectionsInFlight--
}

// lateCopyFound notes that an inspection has shown a stale heartbeat to be a late copy.
func (a *agents) lateCopyFound(m *machine) { m.contact.staleHeartbeats++ }

// restartFound notes that the agent has restarted. An inspection that is still on its way then
// shows nothing new.
func (a *agents) restartFound(m *machine) {
	m.contact.staleHeartbeats = 0
	m.contact.inspectedAt = agentstate.HeartbeatPosition{}
}

// inspectResult takes the status of an agent that was inspected. If that is older than the
// newest heartbeat before the inspection, the agent has restarted.
func (c *Core) inspectResult(e InspectResult) {
	m := c.machineNamed(e.Machine)
	c.agents.inspectionEnded(m)
	r := e.Heartbeat
	if r == nil || r.Machine != m.name || m.state == machineGone || r.FencingToken>>tokenBits > c.term {
		return
	}
	if agentstate.PositionOf(r).Before(m.contact.inspectedAt) {
		c.agentRestarted(m, r)
	} else {
		c.agents.lateCopyFound(m)
	}
	c.applyHeartbeat(m, r, fromCommandResult)
}

// agentRestarted takes in that an agent has restarted, as an inspection or the result of a command
// has shown. What it ran before is gone, and what it has now is not known yet: a start may have been
// executed since that was sent, or still be on its way to it. All allocations stay until the agent
// has acknowledged a token that is raised now. It then refuses every earlier start, and its list of
// tasks is complete.
func (c *Core) agentRestarted(m *machine, r *wire.Heartbeat) {
	c.log.Info("agent restarted: its epochs count from the beginning", "machine", m.name, "agent_epoch", r.AgentEpoch, "allocations", len(m.capacity.allocations))
	c.agents.restartFound(m)
	c.commands.restartFound(m)
	m.agent.Restart(r.AgentEpoch, c.clock.now)
	m.agent.BeginEpoch(r.AgentEpoch, c.clock.now+c.agents.lease)
	c.markUnacknowledged(m)
	m.agent.RequireLatestToken()
	c.putStartsInDoubt(m)
	m.commands.resolveOnToken(m.agent.FencingToken())
}

// putStartsInDoubt has all starts that were sent to a machine count as ones that may yet be
// executed. Those that have not left are withdrawn.
func (c *Core) putStartsInDoubt(m *machine) {
	for k := len(m.capacity.allocations) - 1; k >= 0; k-- {
		b := m.capacity.allocations[k]
		switch {
		case b.state <= allocationQueued:
			// It leaves with the present token, if at all.
		case b.withdrawStart():
			c.release(m, b)
		default:
			b.responseSequence = 0 // of a heartbeat of the earlier incarnation
			m.commands.startUnresolved(b.attempt)
		}
	}
}
