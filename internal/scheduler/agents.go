package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
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
	expectedCount       int             // machines that should be sending heartbeats
	zoneCutAt           []time.Duration // by zone: when it last seemed to be cut off
}

// leaseMargin is added to an agent's lease for the time in which it ends its tasks.
const leaseMargin = 250 * time.Millisecond

func newAgents(c *Core) agents {
	workers := c.cfg.Platform.Facts.Workers
	return agents{cfg: &c.cfg, log: c.log, term: c.term, clock: &c.clock, effects: &c.effects, writes: &c.writes, machines: &c.machines, commands: &c.commands,
		lease:             settings.Stretch(settings.Seconds(workers.LeaseS)) + leaseMargin,
		heartbeatInterval: settings.Seconds(workers.ReportS),
		probes:            probes{atOnce: minProbes}}
}

// agentState is what is known of the agent on one machine.
type agentState struct {
	address string
	// addressFromSoftState: the address is known only from the soft state of an earlier
	// leader, and softStateEpoch is the agent's epoch by that.
	addressFromSoftState bool
	softStateEpoch       uint64

	epoch, sequence   uint64 // of its newest heartbeat
	expiredEpoch      uint64 // epochs up to this one have certainly ended
	fencingToken      uint64 // the token of the commands to it
	acknowledgedToken uint64 // the highest token that it has sent back
	// minAcceptedToken: a heartbeat with a lower token comes from an incarnation of the
	// agent that has ended.
	minAcceptedToken uint64
	unacknowledged   bool // it has not acknowledged a token since a sign that it does not receive our responses

	lastHeartbeat    time.Duration
	lastAcknowledged time.Duration // when it last showed that it receives our responses
	lastResponse     time.Duration // the last heartbeat that was answered in this term
	epochSeenAt      time.Duration // when this leader first received a heartbeat of its present incarnation
	tokenRaisedAt    time.Duration
	leaseExpiry      time.Duration // when an unseen task on its machine must have ended

	probes          int // probes sent to it
	inspecting      bool
	lastInspection  time.Duration
	inspectedAt     heartbeatPosition // the newest heartbeat when the inspection began
	staleHeartbeats int               // stale heartbeats in a row that an inspection has shown to be late copies

	unreachable *unreachableRecord
}

// position is the place of the newest heartbeat in the agent's order.
func (a *agentState) position() heartbeatPosition { return heartbeatPosition{a.epoch, a.sequence} }

// heartbeatPosition orders the heartbeats of one agent.
type heartbeatPosition struct{ epoch, sequence uint64 }

// positionOf is the place of a heartbeat in its agent's order.
func positionOf(r *wire.Heartbeat) heartbeatPosition {
	return heartbeatPosition{r.AgentEpoch, r.Sequence}
}

func (s heartbeatPosition) before(o heartbeatPosition) bool {
	return s.epoch < o.epoch || s.epoch == o.epoch && s.sequence < o.sequence
}

// countHeartbeat numbers the heartbeat whose list of tasks is being reconciled.
func (a *agents) countHeartbeat() { a.heartbeatsProcessed++ }

// schedulable tells whether new tasks may start on a machine at all.
func (a *agents) schedulable(m *machine) bool {
	return m.state == machineUp && m.trusted(a.term) && m.agent.epoch > m.agent.expiredEpoch && m.typ >= 0 && m.agent.unreachable == nil && !m.eviction.cordoned && !m.health.quarantined && a.clock.now >= m.commands.avoidUntil && m.rental.terminationAt == 0 && !m.agent.unacknowledged && a.clock.now-m.agent.lastAcknowledged < a.unreachableAfter()
}

// trusted tells whether the content of an agent's heartbeats is believed: it has acknowledged
// the term's token. A machine whose deletion is requested counts as well: the cloud's API may be
// out of order for longer than cancel_s, and an agent that keeps running meanwhile must be sent
// the stops of its tasks.
func (m *machine) trusted(term uint64) bool {
	return (m.state == machineUp || m.state == machineDeleting) && m.agent.acknowledgedToken>>tokenBits == term
}

// unreachableAfter is when a machine that said nothing gets no more work.
func (a *agents) unreachableAfter() time.Duration { return a.heartbeatInterval*2 + time.Second }

// unacknowledgedFor is how long an agent has not shown that it receives this leader's responses.
// That its heartbeats arrive shows nothing.
func (a *agents) unacknowledgedFor(m *machine) time.Duration {
	return a.clock.now - max(m.agent.lastAcknowledged, m.agent.epochSeenAt, a.clock.tickingSince)
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
	m.agent.fencingToken++
	m.agent.tokenRaisedAt, m.agent.unacknowledged = c.clock.now, true
	c.placement.indexChanged(m)
}

// raiseFencingToken raises an agent's token now and then: its next heartbeat acknowledges it if
// the response has arrived. It does not while a command is on its way there, which would then be
// refused.
func (a *agents) raiseFencingToken(m *machine) {
	if m.trusted(a.term) && m.commands.inFlight == 0 && m.agent.acknowledgedToken >= m.agent.fencingToken && a.clock.now-m.agent.tokenRaisedAt >= a.lease/4 {
		m.agent.fencingToken++
		m.agent.tokenRaisedAt = a.clock.now
	}
}
