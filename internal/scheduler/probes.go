package scheduler

import (
	"time"

	"leadproxy/internal/wire"
)

// A new leader can use a machine, and resolve what an earlier leader started there, only once the
// machine's agent has acknowledged the new term's token. With heartbeats alone that takes as long
// as the agents need to find the new leader, which can be more than a heartbeat interval. So the
// leader probes the machines that the cloud lists as running: it sends an empty direct command with
// the token, whose result is the acknowledgement.

// The bounds on concurrent probes. A probe costs as much as several heartbeats, and too many at once
// delay the heartbeats that have the same result. So the limit starts low, grows by one with each
// result that arrives within fastProbeLatency, and is halved by each one that takes slowProbeLatency
// or more.
const (
	minConcurrentProbes = 4
	maxConcurrentProbes = 64
	fastProbeLatency    = 150 * time.Millisecond
	slowProbeLatency    = 500 * time.Millisecond
)

// probes are the machines waiting to be probed, and the probes in flight with their present limit.
type probes struct {
	waiting  []*machine
	inFlight int
	limit    int
}

// probePeriod is how long after the beginning of a term machines are probed. Agents that are not
// reached within it are treated as unreachable.
const probePeriod = 20 * time.Second

// probe queues a probe of a machine whose agent has not acknowledged this term's token. It does
// nothing if the agent was probed before, its address is not known or probePeriod has passed.
func (a *agents) probe(m *machine) {
	if m.contact.probesSent > 0 || m.trusted(a.term) || m.agent.Address() == "" || a.clock.now-a.clock.termStart > probePeriod {
		return
	}
	m.contact.probesSent = 1
	a.probes.waiting = append(a.probes.waiting, m)
	a.sendProbes()
}

// sendProbes sends waiting probes up to the limit.
func (a *agents) sendProbes() {
	for len(a.probes.waiting) > 0 && a.probes.inFlight < a.probes.limit {
		m := a.probes.waiting[0]
		a.probes.waiting = a.probes.waiting[1:]
		if m.trusted(a.term) || m.state == machineGone || m.state == machineDeleting {
			continue
		}
		a.probes.inFlight++
		probe := &commandInFlight{
			machine:              m,
			agentEpoch:           m.agent.LikelyEpoch(),
			fencingToken:         m.agent.FencingToken(),
			probe:                true,
			sentAt:               a.clock.now,
			addressFromSoftState: m.agent.AddressInherited(),
		}
		a.commands.sendCommand(probe, []wire.Command{})
	}
}

// handleProbeResult adjusts the limit to the latency of a probe, and sends further ones. A probe
// that the agent rejected, because it named the wrong epoch, is repeated once with the right one.
func (a *agents) handleProbeResult(command *commandInFlight, outcome CommandOutcome) {
	m := command.machine
	a.probes.inFlight--
	switch took := a.clock.now - command.sentAt; {
	case outcome == CommandOutcomeUnknown || outcome == CommandNotSent:
		// A failure is no sign of load on this controller: it concerns that machine only.
	case took <= fastProbeLatency:
		a.probes.limit = min(a.probes.limit+1, maxConcurrentProbes)
	case took >= slowProbeLatency:
		a.probes.limit = max(a.probes.limit/2, minConcurrentProbes)
	}
	if outcome == CommandRejected && m.contact.probesSent == 1 && !m.trusted(a.term) {
		m.contact.probesSent++
		a.probes.waiting = append(a.probes.waiting, m)
	}
	a.sendProbes()
}

// probeInheritedAddresses probes the machines whose addresses are known from inherited soft state,
// without waiting for the cloud's list.
func (a *agents) probeInheritedAddresses() {
	for _, m := range a.machines.live {
		if m.agent.AddressInherited() {
			a.probe(m)
		}
	}
}

// dropInheritedAddress discards the inherited address of a machine, at which no agent was reached,
// and allows another probe. The cloud's list or the next heartbeat has the present address.
func (a *agents) dropInheritedAddress(m *machine) {
	m.agent.DropInherited()
	m.contact.probesSent = 0
}
