package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/wire"
)

func heartbeatAt(epoch, sequence, token uint64) *wire.Heartbeat {
	return &wire.Heartbeat{AgentEpoch: epoch, Sequence: sequence, FencingToken: token}
}

func TestStaleHeartbeats(t *testing.T) {
	for _, test := range []struct {
		name  string
		agent agentState
		r     *wire.Heartbeat
		stale bool
	}{
		{"the first one", agentState{}, heartbeatAt(1, 1, 0), false},
		{"the next of an epoch", agentState{epoch: 2, sequence: 5}, heartbeatAt(2, 6, 0), false},
		{"the same again", agentState{epoch: 2, sequence: 5}, heartbeatAt(2, 5, 0), true},
		{"an earlier one of the epoch", agentState{epoch: 2, sequence: 5}, heartbeatAt(2, 4, 0), true},
		{"of a later epoch", agentState{epoch: 2, sequence: 5}, heartbeatAt(3, 1, 0), false},
		{"of an earlier epoch", agentState{epoch: 2, sequence: 5}, heartbeatAt(1, 9, 0), true},
		{"of an epoch that has ended", agentState{epoch: 2, sequence: 5, expiredEpoch: 2}, heartbeatAt(2, 6, 0), true},
		{"of the epoch after one that has ended", agentState{epoch: 2, sequence: 5, expiredEpoch: 2}, heartbeatAt(3, 1, 0), false},
		{"with a lower token than acknowledged", agentState{epoch: 2, sequence: 5, acknowledgedToken: 8}, heartbeatAt(2, 6, 7), true},
		{"with the token that is acknowledged", agentState{epoch: 2, sequence: 5, acknowledgedToken: 8}, heartbeatAt(2, 6, 8), false},
		{"with a lower token than required", agentState{epoch: 1, minAcceptedToken: 9}, heartbeatAt(1, 1, 8), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.agent.isStale(test.r); got != test.stale {
				t.Errorf("stale: %t, want %t", got, test.stale)
			}
		})
	}
}

func TestAcknowledge(t *testing.T) {
	a := agentState{fencingToken: 8}
	a.markUnacknowledged(time.Second)
	if a.fencingToken != 9 || !a.unacknowledged {
		t.Errorf("token %d, unacknowledged %t, want 9, true", a.fencingToken, a.unacknowledged)
	}
	a.acknowledge(heartbeatAt(1, 1, 8), 2*time.Second)
	if a.acknowledgedToken != 8 || !a.unacknowledged || a.lastAcknowledged != 0 {
		t.Error("the token from before shows that the agent receives responses")
	}
	a.acknowledge(heartbeatAt(1, 2, 9), 3*time.Second)
	if a.acknowledgedToken != 9 || a.unacknowledged || a.lastAcknowledged != 3*time.Second {
		t.Errorf("after the latest token: %d, %t, %v", a.acknowledgedToken, a.unacknowledged, a.lastAcknowledged)
	}
	a.acknowledge(heartbeatAt(1, 3, 7), 4*time.Second)
	if a.acknowledgedToken != 9 || a.sequence != 3 {
		t.Errorf("acknowledged token %d, sequence %d, want 9, 3", a.acknowledgedToken, a.sequence)
	}
}

func TestRestartOfAnAgent(t *testing.T) {
	a := agentState{epoch: 4, sequence: 90, fencingToken: 8, acknowledgedToken: 8, expiredEpoch: 3, staleHeartbeats: 2}
	a.lateCopy()
	a.restart(1, time.Second)
	a.markUnacknowledged(time.Second)
	a.requireLatestToken()
	if a.staleHeartbeats != 0 || a.epochSeenAt != time.Second {
		t.Errorf("stale heartbeats %d, epoch seen at %v", a.staleHeartbeats, a.epochSeenAt)
	}
	if !a.isStale(heartbeatAt(4, 91, 8)) {
		t.Error("a late heartbeat of the earlier incarnation is accepted")
	}
	if a.isStale(heartbeatAt(1, 1, 9)) {
		t.Error("a heartbeat of the present incarnation with the latest token is refused")
	}
}

func TestLeaseOfAnAgent(t *testing.T) {
	const lease = 30 * time.Second
	a := agentState{leaseExpiry: lease}
	if a.leaseExpired(lease-1, lease) || !a.leaseExpired(lease, lease) {
		t.Error("an agent without a response: its lease does not end with the term's first")
	}
	a.received(40 * time.Second)
	a.beginEpoch(2, 40*time.Second+lease)
	a.responded(lease)
	if a.leaseExpired(70*time.Second-1, lease) || !a.leaseExpired(70*time.Second, lease) {
		t.Error("the lease does not count from the last heartbeat")
	}
	a.responded(lease) // to a late copy
	if !a.leaseExpired(70*time.Second, lease) {
		t.Error("the response to a late copy renews the lease")
	}
	a.beginEpoch(3, 50*time.Second)
	if a.leaseExpired(70*time.Second-1, lease) {
		t.Error("a new epoch shortens the lease")
	}
	a.endEpoch()
	if !a.isStale(heartbeatAt(3, 1, 0)) || a.isStale(heartbeatAt(4, 1, 0)) {
		t.Error("an epoch that has ended is accepted, or the next one is not")
	}
}

func TestAddressOfAnAgent(t *testing.T) {
	a := agentState{}
	a.inherit("10.0.0.1:1", 3)
	if a.setAddress("") || a.setAddress("10.0.0.1:1") || !a.addressFromSoftState {
		t.Error("the inherited address has changed")
	}
	if !a.setAddress("10.0.0.2:1") || a.addressFromSoftState || a.address != "10.0.0.2:1" {
		t.Errorf("address %q, inherited %t", a.address, a.addressFromSoftState)
	}
}

func TestStartsAreRuledOutByTokens(t *testing.T) {
	m := machineCommands{unresolvedStarts: map[uint64]uint64{1: 8, 2: 9}}
	m.ruleOut(8)
	if _, left := m.unresolvedStarts[1]; left || len(m.unresolvedStarts) != 1 {
		t.Errorf("left after token 8: %v", m.unresolvedStarts)
	}
	m.ruleOutAt(12)
	m.ruleOut(11)
	if len(m.unresolvedStarts) != 1 {
		t.Error("a start is resolved before the token that rules it out")
	}
	m.ruleOutAll()
	if len(m.unresolvedStarts) != 0 {
		t.Errorf("left: %v", m.unresolvedStarts)
	}
}
