package scheduler

import (
	"time"

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
	wait := min(inspectionInterval<<min(m.agent.staleHeartbeats, 8), a.lease)
	if r.Address == "" || m.agent.inspecting || a.inspectionsInFlight >= maxInspections || a.clock.now-m.agent.lastInspection < wait && m.agent.lastInspection > 0 {
		return
	}
	a.inspectionsInFlight++
	m.agent.inspecting, m.agent.lastInspection = true, a.clock.now
	m.agent.inspectedAt = m.agent.position()
	a.effects.emit(InspectWorker{Machine: m.name, Address: r.Address})
}

// inspectionEnded notes that an inspection has ended, with or without a result.
func (a *agents) inspectionEnded(m *machine) {
	m.agent.inspecting = false
	a.inspectionsInFlight--
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
	if anew := positionOf(r).before(m.agent.inspectedAt); !anew {
		m.agent.staleHeartbeats++
	} else {
		m.agent.staleHeartbeats = 0
		c.log.Info("agent restarted: its epochs count from the beginning", "machine", m.name, "agent_epoch", r.AgentEpoch, "allocations", len(m.capacity.allocations))
		there := map[uint64]bool{}
		for _, t := range r.Tasks {
			there[t.Attempt] = true
		}
		for k := len(m.capacity.allocations) - 1; k >= 0; k-- {
			// A command on its way to the earlier incarnation may yet be executed by the present
			// one.
			if b := m.capacity.allocations[k]; m.commands.unresolvedStarts[b.attempt] == 0 && !there[b.attempt] {
				c.release(m, b)
			}
		}
		m.agent.epoch, m.agent.sequence, m.agent.expiredEpoch, m.agent.acknowledgedToken, m.agent.epochSeenAt = r.AgentEpoch, 0, 0, 0, c.clock.now
		c.markUnacknowledged(m)
		// A late heartbeat of the earlier incarnation has a higher position than all from now
		// on.
		m.agent.minAcceptedToken = m.agent.fencingToken
		for a := range m.commands.unresolvedStarts {
			m.commands.unresolvedStarts[a] = m.agent.fencingToken
		}
	}
	c.applyHeartbeat(m, r, false)
}
