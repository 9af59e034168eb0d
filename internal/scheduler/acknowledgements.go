package scheduler

import (
	"time"

	"leadproxy/internal/wire"
)

// markUnacknowledged notes a sign that a machine does not hear us: it gets no work until
// it has echoed a higher token. That its reports come in shows nothing.
func (c *Core) markUnacknowledged(m *machine) {
	m.agent.fencingToken++
	m.agent.tokenRaisedAt, m.agent.unacknowledged = c.clock.now, true
	c.placement.indexChanged(m)
}

// raiseFencingToken raises a machine's token now and then: the worker's next report echoes
// it if the answer has arrived. Not while a command is on its way there, which
// would then be refused.
func (a *agents) raiseFencingToken(m *machine) {
	if m.trusted(a.term) && m.commands.inFlight == 0 && m.agent.acknowledgedToken >= m.agent.fencingToken && a.clock.now-m.agent.tokenRaisedAt >= a.lease/4 {
		m.agent.fencingToken++
		m.agent.tokenRaisedAt = a.clock.now
	}
}

// inspectEvery is how often a worker whose reports look old is asked at first;
// each late copy doubles that, up to a lease. maxInspects bounds how many are
// asked at once: copies may come from all machines for minutes.
const (
	inspectEvery = 2 * time.Second
	maxInspects  = 32
)

// inspectStaleSender looks into a report that is older than what we know: mostly a
// late copy, but a worker that has truly begun anew counts from 1 again, and
// must not be taken for a copy for ever.
func (a *agents) inspectStaleSender(m *machine, r *wire.Heartbeat) {
	wait := min(inspectEvery<<min(m.agent.staleHeartbeats, 8), a.lease)
	if r.Address == "" || m.agent.inspecting || a.inspectionsInFlight >= maxInspects || a.clock.now-m.agent.lastInspection < wait && m.agent.lastInspection > 0 {
		return
	}
	a.inspectionsInFlight++
	m.agent.inspecting, m.agent.lastInspection = true, a.clock.now
	m.agent.inspectedAt = heartbeatPosition{m.agent.epoch, m.agent.sequence}
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
	if anew := (heartbeatPosition{r.AgentEpoch, r.Sequence}).before(m.agent.inspectedAt); !anew {
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
	c.observe(m, r, false)
}
