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

// inspectStaleSender looks into a report that is older than what we know: mostly a
// late copy, but a worker that has truly begun anew counts from 1 again, and
// must not be taken for a copy for ever.
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

// inspectResult takes what a worker has said of itself after we had asked. If
// that is older than what we had from it before we asked, it has begun anew.
func (c *Core) inspectResult(e InspectResult) {
	m := c.machineNamed(e.Machine)
	m.agent.inspecting = false
	c.agents.inspectionsInFlight--
	r := e.Heartbeat
	if r == nil || r.Machine != m.name || m.state == machineGone || r.FencingToken>>tokenBits > c.term {
		return
	}
	if anew := positionOf(r).before(m.agent.inspectedAt); !anew {
		m.agent.staleHeartbeats++
	} else {
		m.agent.staleHeartbeats = 0
		c.log.Info("worker counts from the beginning again", "machine", m.name, "session", r.AgentEpoch, "bookings", len(m.capacity.allocations))
		there := map[uint64]bool{}
		for _, t := range r.Tasks {
			there[t.Attempt] = true
		}
		for k := len(m.capacity.allocations) - 1; k >= 0; k-- {
			// A command on its way to the worker that was may yet be executed
			// by the one that is.
			if b := m.capacity.allocations[k]; m.commands.unresolvedStarts[b.attempt] == 0 && !there[b.attempt] {
				c.release(m, b)
			}
		}
		m.agent.epoch, m.agent.sequence, m.agent.expiredEpoch, m.agent.acknowledgedToken, m.agent.epochSeenAt = r.AgentEpoch, 0, 0, 0, c.clock.now
		c.markUnacknowledged(m)
		// A late report of the life that is over looks newer than all that comes
		// from now on.
		m.agent.minAcceptedToken = m.agent.fencingToken
		for a := range m.commands.unresolvedStarts {
			m.commands.unresolvedStarts[a] = m.agent.fencingToken
		}
	}
	c.applyHeartbeat(m, r, false)
}
