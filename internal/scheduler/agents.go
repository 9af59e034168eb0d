package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/scheduler/agentstate"
	"leadproxy/internal/settings"
)

// agents is the part of the core that tracks whether agents can be reached: leases, probes,
// inspections and unreachable-agent records. The state of a single agent is in machine.agent and
// machine.contact.
type agents struct {
	term     uint64
	clock    *clock
	effects  *effects
	writes   *durableWrites
	machines *machineTable
	commands *commands
	cfg      *Config
	log      *slog.Logger

	lease             time.Duration // length of an agent's lease, including clock drift and leaseMargin
	heartbeatInterval time.Duration

	unreachable         unreachableAgents
	probes              probes
	inspectionsInFlight int
	heartbeatsProcessed uint64          // heartbeats whose task list was reconciled
	expectedAgents      int             // machines that should be sending heartbeats
	zonePartitionedAt   []time.Duration // by zone index: when it was last considered partitioned
}

// leaseMargin is added to an agent's lease to cover the time the agent takes to end its tasks after
// the lease has expired.
const leaseMargin = 250 * time.Millisecond

func newAgents(c *Core) agents {
	timing := c.cfg.Platform.Facts.AgentTiming
	return agents{cfg: &c.cfg, log: c.log, term: c.term, clock: &c.clock, effects: &c.effects, writes: &c.writes, machines: &c.machines, commands: &c.commands,
		lease:             settings.WithDriftMargin(settings.Seconds(timing.LeaseS)) + leaseMargin,
		heartbeatInterval: settings.Seconds(timing.HeartbeatS),
		probes:            probes{limit: minConcurrentProbes}}
}

// contact is the state of the probes and inspections of one machine's agent.
type contact struct {
	probesSent           int
	inspecting           bool                         // an inspection is in flight
	lastInspection       time.Duration                // when the last inspection was sent; 0: never
	positionAtInspection agentstate.HeartbeatPosition // the newest heartbeat when that inspection was sent
	// consecutiveLateCopies counts the inspections in a row which showed that a stale heartbeat was
	// a late copy.
	consecutiveLateCopies int

	// unreachableRecord is the record that names the machine; nil: there is none.
	unreachableRecord *unreachableRecord
}

// countHeartbeat increments heartbeatsProcessed, which numbers the heartbeat being reconciled.
func (a *agents) countHeartbeat() { a.heartbeatsProcessed++ }

// recordResponse records that a heartbeat of a machine's agent gets a response, which renews the
// agent's lease.
func (a *agents) recordResponse(m *machine) {
	if m.agent.RestartUnacknowledged() {
		m.agent.RecordResponseAfterRestart(a.clock.now, a.lease)
		return
	}
	m.agent.RecordResponse(a.lease)
}

// schedulable reports whether new tasks may be started on a machine.
func (a *agents) schedulable(m *machine) bool {
	switch {
	case m.state != machineUp, !m.trusted(a.term):
		return false // its agent has not acknowledged this term's token
	case m.agent.EpochEnded(m.agent.Epoch()), m.typeIndex < 0:
		return false // its agent's epoch has ended, or its capacity is not known
	case m.contact.unreachableRecord != nil, m.agent.Unacknowledged(), a.clock.now-m.agent.LastAcknowledged() >= a.unreachableTimeout():
		return false // its agent may not receive responses
	case a.clock.now < m.commands.noStartsUntil:
		return false // a recent command may not have reached its agent
	case m.eviction.cordoned, m.health.quarantined, m.rental.terminationAt != 0:
		return false // cordoned by a drain plan, quarantined because tasks fail on it, or about to be reclaimed
	}
	return true
}

// trusted reports whether the content of the agent's heartbeats is reliable: the agent has
// acknowledged a token of the given term. This includes a machine whose deletion is requested: the
// cloud's API may be unavailable for longer than cancel_s, and an agent that keeps running
// meanwhile must still be told to stop its tasks.
func (m *machine) trusted(term uint64) bool {
	return (m.state == machineUp || m.state == machineDeleting) && m.agent.AcknowledgedToken()>>termCounterBits == term
}

// unreachableTimeout is how long an agent may send no heartbeat, or acknowledge no token, before
// nothing more is started on its machine.
func (a *agents) unreachableTimeout() time.Duration { return a.heartbeatInterval*2 + time.Second }

// unacknowledgedFor returns how long an agent has not acknowledged this leader's latest token.
// Heartbeats that arrive without it do not show that the agent receives responses. Time in which
// this controller was suspended does not count.
func (a *agents) unacknowledgedFor(m *machine) time.Duration {
	return a.clock.now - max(m.agent.LastAcknowledged(), m.agent.EpochSeenAt(), a.clock.tickingSince)
}

// heartbeatExpected reports whether a machine should be sending heartbeats: it has sent one, or an
// earlier leader may have started tasks on it.
func (a *agents) heartbeatExpected(m *machine) bool {
	return m.state == machineUp || m.state == machineStarting && len(m.recorded.inDoubtJobs) > 0
}

// markUnacknowledged is called on a sign that an agent does not receive responses. It raises the
// agent's token, and nothing is started on the machine until the agent has acknowledged it.
// Heartbeats with an earlier token do not show that the agent receives responses.
func (c *Core) markUnacknowledged(m *machine) {
	m.agent.MarkUnacknowledged(c.clock.now)
	c.placement.markIndexStale(m)
}

// raiseFencingTokenIfDue raises an agent's token every quarter of a lease, so that the next
// heartbeat shows whether the agent receives responses. It does not while a command to the agent is
// in flight, since the agent would reject the command for its lower token.
func (a *agents) raiseFencingTokenIfDue(m *machine) {
	if m.trusted(a.term) && m.commands.inFlight == 0 && m.agent.TokenRaiseDue(a.clock.now, a.lease/4) {
		m.agent.RaiseToken(a.clock.now)
	}
}

// countsAsCapacity reports whether scale-out planning counts a machine as capacity.
func (a *agents) countsAsCapacity(m *machine) bool {
	switch m.state {
	case machineStarting:
		return m.typeIndex >= 0
	case machineUp:
		return m.typeIndex >= 0 && !m.health.quarantined && !m.eviction.cordoned && m.rental.terminationAt == 0 && a.unacknowledgedFor(m) < a.unreachableTimeout()
	}
	return false
}

// ExpectedAgents returns the number of machines that should be sending heartbeats.
func (c *Core) ExpectedAgents() int { return c.agents.expectedAgents }
