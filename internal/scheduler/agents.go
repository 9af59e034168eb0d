package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/scheduler/agentstate"
	"leadproxy/internal/settings"
)

// agents is what the leader keeps of the agents on the machines beyond what is kept with each
// machine: leases, probes, inspections, and the records of unreachable agents.
type agents struct {
	term     uint64
	clock    *clock
	effects  *effects
	writes   *durableWrites
	machines *machineTable
	commands *commands
	cfg      *Config
	log      *slog.Logger

	lease             time.Duration // an agent's lease, stretched by clock drift and a margin
	heartbeatInterval time.Duration

	unreachable         unreachableAgents
	probes              probes
	inspectionsInFlight int
	heartbeatsProcessed uint64          // heartbeats whose list of tasks was reconciled
	expectedAgents      int             // machines that should be sending heartbeats
	zonePartitionedAt   []time.Duration // by zone: when it last seemed to be cut off
}

// leaseMargin is added to an agent's lease for the time in which it ends its tasks.
const leaseMargin = 250 * time.Millisecond

func newAgents(c *Core) agents {
	workers := c.cfg.Platform.Facts.Workers
	return agents{cfg: &c.cfg, log: c.log, term: c.term, clock: &c.clock, effects: &c.effects, writes: &c.writes, machines: &c.machines, commands: &c.commands,
		lease:             settings.Stretch(settings.Seconds(workers.LeaseS)) + leaseMargin,
		heartbeatInterval: settings.Seconds(workers.HeartbeatS),
		probes:            probes{limit: minConcurrentProbes}}
}

// contact is what is done to reach the agent of one machine.
type contact struct {
	probesSent            int // probes sent to it
	inspecting            bool
	lastInspection        time.Duration
	positionAtInspection  agentstate.HeartbeatPosition // the newest heartbeat when the inspection began
	consecutiveLateCopies int                          // stale heartbeats in a row that an inspection has shown to be late copies

	unreachableRecord *unreachableRecord
}

// countHeartbeat numbers the heartbeat whose list of tasks is being reconciled.
func (a *agents) countHeartbeat() { a.heartbeatsProcessed++ }

// recordResponse notes that a heartbeat of a machine's agent gets a response.
func (a *agents) recordResponse(m *machine) {
	if m.agent.RestartUnacknowledged() {
		m.agent.RecordResponseAfterRestart(a.clock.now, a.lease)
		return
	}
	m.agent.RecordResponse(a.lease)
}

// schedulable tells whether new tasks may start on a machine.
func (a *agents) schedulable(m *machine) bool {
	switch {
	case m.state != machineUp, !m.trusted(a.term):
		return false // nothing is known of it in this term
	case m.agent.EpochEnded(m.agent.Epoch()), m.typeIndex < 0:
		return false // its agent must restart, or its room is not known
	case m.contact.unreachableRecord != nil, m.agent.Unacknowledged(), a.clock.now-m.agent.LastAcknowledged() >= a.unreachableTimeout():
		return false // its agent may not receive our responses
	case a.clock.now < m.commands.noStartsUntil:
		return false // commands have not arrived there
	case m.eviction.cordoned, m.health.quarantined, m.rental.terminationAt != 0:
		return false // a plan empties it, tasks fail on it, or the cloud takes it away
	}
	return true
}

// trusted tells whether the content of an agent's heartbeats is believed: it has acknowledged
// the term's token. A machine whose deletion is requested counts as well: the cloud's API may be
// out of order for longer than cancel_s, and an agent that keeps running meanwhile must be sent
// the stops of its tasks.
func (m *machine) trusted(term uint64) bool {
	return (m.state == machineUp || m.state == machineDeleting) && m.agent.AcknowledgedToken()>>termCounterBits == term
}

// unreachableTimeout is when a machine that said nothing gets no more work.
func (a *agents) unreachableTimeout() time.Duration { return a.heartbeatInterval*2 + time.Second }

// unacknowledgedFor is how long an agent has not shown that it receives this leader's responses.
// That its heartbeats arrive shows nothing.
func (a *agents) unacknowledgedFor(m *machine) time.Duration {
	return a.clock.now - max(m.agent.LastAcknowledged(), m.agent.EpochSeenAt(), a.clock.tickingSince)
}

// heartbeatExpected tells whether a machine should be sending heartbeats: it has, or an earlier
// leader has started something on it.
func (a *agents) heartbeatExpected(m *machine) bool {
	return m.state == machineUp || m.state == machineStarting && len(m.recorded.inDoubtJobs) > 0
}

// markUnacknowledged notes a sign that an agent does not receive our responses: nothing starts
// on its machine until it has acknowledged a higher token. That its heartbeats arrive shows
// nothing.
func (c *Core) markUnacknowledged(m *machine) {
	m.agent.MarkUnacknowledged(c.clock.now)
	c.placement.markIndexStale(m)
}

// raiseFencingTokenIfDue raises an agent's token now and then: its next heartbeat acknowledges it if
// the response has arrived. It does not while a command is on its way there, which would then be
// refused.
func (a *agents) raiseFencingTokenIfDue(m *machine) {
	if m.trusted(a.term) && m.commands.inFlight == 0 && m.agent.TokenRaiseDue(a.clock.now, a.lease/4) {
		m.agent.RaiseToken(a.clock.now)
	}
}

// countsAsCapacity tells whether a machine is part of the capacity to plan with.
func (a *agents) countsAsCapacity(m *machine) bool {
	switch m.state {
	case machineStarting:
		return m.typeIndex >= 0
	case machineUp:
		return m.typeIndex >= 0 && !m.health.quarantined && !m.eviction.cordoned && m.rental.terminationAt == 0 && a.unacknowledgedFor(m) < a.unreachableTimeout()
	}
	return false
}

// ExpectedAgents is how many machines should be reporting.
func (c *Core) ExpectedAgents() int { return c.agents.expectedAgents }
