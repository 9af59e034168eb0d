package scheduler

import (
	"time"

	"leadproxy/internal/wire"
)

// A new leader can use a machine, and resolve what an earlier leader started there, only once
// its agent has acknowledged the new token. Waiting for heartbeats takes as long as the agents
// take to find the new leader, up to a heartbeat interval and more. So machines that the cloud
// lists as running are probed: a direct command without content carries the token there, and its
// result is the acknowledgement.

// The bounds of the probes in flight. A probe costs as much as several heartbeats, and probing
// all machines at once held up a small controller for seconds, with heartbeats that would have
// had the same result. So there are few at first, one more for each whose result comes soon, and
// fewer again when results come late.
const (
	minConcurrentProbes = 4
	maxConcurrentProbes = 64
	fastProbeLatency    = 150 * time.Millisecond
	slowProbeLatency    = 500 * time.Millisecond
)

// probes are the machines that are to be probed, and how many of them may be at once.
type probes struct {
	waiting  []*machine
	inFlight int
	limit    int
}

// probePeriod is how long after the beginning of a term machines are probed. What is unreachable
// then is treated as unreachable.
const probePeriod = 20 * time.Second

// probe sends the agent of a machine of an earlier term our token.
func (a *agents) probe(m *machine) {
	if m.contact.probesSent > 0 || m.trusted(a.term) || m.agent.Address() == "" || a.clock.now-a.clock.termStart > probePeriod {
		return
	}
	m.contact.probesSent = 1
	a.probes.waiting = append(a.probes.waiting, m)
	a.sendProbes()
}

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

// handleProbeResult follows up on a probe: one that named the wrong epoch is repeated once with the
// right one.
func (a *agents) handleProbeResult(command *commandInFlight, outcome CommandOutcome) {
	m := command.machine
	a.probes.inFlight--
	switch took := a.clock.now - command.sentAt; {
	case outcome == CommandOutcomeUnknown || outcome == CommandNotSent:
		// It says something about that machine only.
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

// probeInheritedAddresses probes the machines that the ledger names at their inherited addresses, without
// waiting for the cloud's list.
func (a *agents) probeInheritedAddresses() {
	for _, m := range a.machines.live {
		if m.agent.AddressInherited() {
			a.probe(m)
		}
	}
}

// dropInheritedAddress drops the inherited address of a machine. The cloud's list or its next
// heartbeat has the present one.
func (a *agents) dropInheritedAddress(m *machine) {
	m.agent.DropInherited()
	m.contact.probesSent = 0
}
