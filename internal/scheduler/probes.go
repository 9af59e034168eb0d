package scheduler

import (
	"time"

	"leadproxy/internal/wire"
)

// A new leader can use a machine, and settle what an earlier leader started
// there, only once the machine has echoed its token. Waiting for reports takes
// as long as the workers take to find the new leader, up to a report's interval
// and more. So machines that the cloud lists as running are probed: a direct
// command without orders carries the token there, and its answer is the echo.

// The bounds of the probes on their way. A probe costs as much as several reports,
// and probing all machines at once held up a small controller for seconds, with
// reports that would have brought the same. So there are few at first, one more
// for each that is back soon, and fewer again when they come back late.
const (
	minProbes = 4
	maxProbes = 64
	fastProbe = 150 * time.Millisecond
	slowProbe = 500 * time.Millisecond
)

// probes are the machines that are to be probed, and how many of them may be at once.
type probes struct {
	waiting  []*machine
	underWay int
	atOnce   int
}

// probePeriod is how long after the beginning of a term machines are probed. What
// is silent then is treated as silent.
const probePeriod = 20 * time.Second

// probe has a machine of an earlier term told our token.
func (a *agents) probe(m *machine) {
	if m.agent.probes > 0 || m.trusted(a.term) || m.agent.address == "" || a.clock.now-a.clock.termStart > probePeriod {
		return
	}
	m.agent.probes = 1
	a.probes.waiting = append(a.probes.waiting, m)
	a.sendProbes()
}

func (a *agents) sendProbes() {
	for len(a.probes.waiting) > 0 && a.probes.underWay < a.probes.atOnce {
		m := a.probes.waiting[0]
		a.probes.waiting = a.probes.waiting[1:]
		if m.trusted(a.term) || m.state == machineGone || m.state == machineDeleting {
			continue
		}
		a.probes.underWay++
		// Its session is not known before its first word, unless by a hint; nearly all
		// are in their first.
		a.commands.sendCommand(&commandInFlight{machine: m, agentEpoch: max(m.agent.epoch, m.agent.softStateEpoch, 1), fencingToken: m.agent.fencingToken, probe: true, sent: a.clock.now, addressFromSoftState: m.agent.addressFromSoftState}, []wire.Command{})
	}
}

// probeResult follows up on a probe: one that named the wrong session is repeated
// once with the right one.
func (a *agents) probeResult(call *commandInFlight, outcome CommandOutcome) {
	m := call.machine
	a.probes.underWay--
	switch took := a.clock.now - call.sent; {
	case outcome == CommandOutcomeUnknown || outcome == CommandNotSent:
		// It tells of that machine only.
	case took <= fastProbe:
		a.probes.atOnce = min(a.probes.atOnce+1, maxProbes)
	case took >= slowProbe:
		a.probes.atOnce = max(a.probes.atOnce/2, minProbes)
	}
	if outcome == CommandRejected && m.agent.probes == 1 && !m.trusted(a.term) {
		m.agent.probes++
		a.probes.waiting = append(a.probes.waiting, m)
	}
	a.sendProbes()
}

// probeInherited probes the machines that the ledger names where the hints say that they are
// reached, without waiting for the cloud's list.
func (a *agents) probeInherited() {
	for _, m := range a.machines.live {
		if m.agent.addressFromSoftState {
			a.probe(m)
		}
	}
}

// inheritedAddressFailed takes back what a hint said of where a machine is reached. The cloud's list or
// its next report tells.
func (a *agents) inheritedAddressFailed(m *machine) {
	m.agent.addressFromSoftState, m.agent.softStateEpoch, m.agent.probes = false, 0, 0
	if m.agent.epoch == 0 {
		m.agent.address = ""
	}
}
