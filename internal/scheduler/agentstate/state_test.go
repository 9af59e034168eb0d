package agentstate

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
		agent State
		r     *wire.Heartbeat
		stale bool
	}{
		{"the first one", State{}, heartbeatAt(1, 1, 0), false},
		{"the next of an epoch", State{epoch: 2, sequence: 5}, heartbeatAt(2, 6, 0), false},
		{"the same again", State{epoch: 2, sequence: 5}, heartbeatAt(2, 5, 0), true},
		{"an earlier one of the epoch", State{epoch: 2, sequence: 5}, heartbeatAt(2, 4, 0), true},
		{"of a later epoch", State{epoch: 2, sequence: 5}, heartbeatAt(3, 1, 0), false},
		{"of an earlier epoch", State{epoch: 2, sequence: 5}, heartbeatAt(1, 9, 0), true},
		{"of an epoch that has ended", State{epoch: 2, sequence: 5, lastEndedEpoch: 2}, heartbeatAt(2, 6, 0), true},
		{"of the epoch after one that has ended", State{epoch: 2, sequence: 5, lastEndedEpoch: 2}, heartbeatAt(3, 1, 0), false},
		{"with a lower token than acknowledged", State{epoch: 2, sequence: 5, acknowledgedToken: 8}, heartbeatAt(2, 6, 7), true},
		{"with the token that is acknowledged", State{epoch: 2, sequence: 5, acknowledgedToken: 8}, heartbeatAt(2, 6, 8), false},
		{"with a lower token than required", State{epoch: 1, minAcceptedToken: 9}, heartbeatAt(1, 1, 8), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.agent.IsStale(test.r); got != test.stale {
				t.Errorf("stale: %t, want %t", got, test.stale)
			}
		})
	}
}

func TestAcknowledge(t *testing.T) {
	a := State{fencingToken: 8}
	a.MarkUnacknowledged(time.Second)
	if a.fencingToken != 9 || !a.unacknowledged {
		t.Errorf("token %d, unacknowledged %t, want 9, true", a.fencingToken, a.unacknowledged)
	}
	a.Acknowledge(heartbeatAt(1, 1, 8), 2*time.Second)
	if a.acknowledgedToken != 8 || !a.unacknowledged || a.lastAcknowledged != 0 {
		t.Error("the token from before shows that the agent receives responses")
	}
	a.Acknowledge(heartbeatAt(1, 2, 9), 3*time.Second)
	if a.acknowledgedToken != 9 || a.unacknowledged || a.lastAcknowledged != 3*time.Second {
		t.Errorf("after the latest token: %d, %t, %v", a.acknowledgedToken, a.unacknowledged, a.lastAcknowledged)
	}
	a.Acknowledge(heartbeatAt(1, 3, 7), 4*time.Second)
	if a.acknowledgedToken != 9 || a.sequence != 3 {
		t.Errorf("acknowledged token %d, sequence %d, want 9, 3", a.acknowledgedToken, a.sequence)
	}
}

func TestRestartOfAnAgent(t *testing.T) {
	a := State{epoch: 4, sequence: 90, fencingToken: 8, acknowledgedToken: 8, lastEndedEpoch: 3}
	a.ResetAfterRestart(1, time.Second)
	a.MarkUnacknowledged(time.Second)
	a.RequireLatestToken()
	if a.EpochSeenAt() != time.Second {
		t.Errorf("epoch seen at %v", a.EpochSeenAt())
	}
	if !a.IsStale(heartbeatAt(4, 91, 8)) {
		t.Error("a late heartbeat of the earlier incarnation is accepted")
	}
	if a.IsStale(heartbeatAt(1, 1, 9)) {
		t.Error("a heartbeat of the present incarnation with the latest token is refused")
	}
}

func TestLeaseOfAnAgent(t *testing.T) {
	const lease = 30 * time.Second
	a := State{leaseExpiry: lease}
	if a.LeaseExpired(lease-1, lease) || !a.LeaseExpired(lease, lease) {
		t.Error("an agent without a response: its lease does not end with the term's first")
	}
	a.RecordHeartbeat(40 * time.Second)
	a.BeginEpoch(2, 40*time.Second+lease)
	a.RecordResponse(lease)
	if a.LeaseExpired(70*time.Second-1, lease) || !a.LeaseExpired(70*time.Second, lease) {
		t.Error("the lease does not count from the last heartbeat")
	}
	a.RecordResponse(lease) // to a late copy
	if !a.LeaseExpired(70*time.Second, lease) {
		t.Error("the response to a late copy renews the lease")
	}
	a.BeginEpoch(3, 50*time.Second)
	if a.LeaseExpired(70*time.Second-1, lease) {
		t.Error("a new epoch shortens the lease")
	}
	a.EndEpoch()
	if !a.IsStale(heartbeatAt(3, 1, 0)) || a.IsStale(heartbeatAt(4, 1, 0)) {
		t.Error("an epoch that has ended is accepted, or the next one is not")
	}
}

func TestAddressOfAnAgent(t *testing.T) {
	a := State{}
	a.Inherit("10.0.0.1:1", 3)
	if a.SetAddress("") || a.SetAddress("10.0.0.1:1") || !a.addressInherited {
		t.Error("the inherited address has changed")
	}
	if !a.SetAddress("10.0.0.2:1") || a.addressInherited || a.address != "10.0.0.2:1" {
		t.Errorf("address %q, inherited %t", a.address, a.addressInherited)
	}
}

func TestInheritedAddressThatFails(t *testing.T) {
	a := State{}
	a.Inherit("10.0.0.1:1", 3)
	if a.LikelyEpoch() != 3 || !a.AddressInherited() {
		t.Errorf("likely epoch %d, inherited %t", a.LikelyEpoch(), a.AddressInherited())
	}
	a.DropInherited()
	if a.Address() != "" || a.AddressInherited() || a.LikelyEpoch() != 1 {
		t.Errorf("address %q, inherited %t, likely epoch %d after it was dropped", a.Address(), a.AddressInherited(), a.LikelyEpoch())
	}
	a.BeginEpoch(2, 0)
	a.Inherit("10.0.0.1:1", 3)
	a.DropInherited()
	if a.Address() == "" {
		t.Error("the address of an agent with heartbeats is dropped")
	}
}

func TestTokenIsRaisedOnceItIsAcknowledged(t *testing.T) {
	const interval = 10 * time.Second
	a := New(8, 0)
	if a.TokenRaiseDue(interval, interval) {
		t.Error("due before the token is acknowledged")
	}
	a.Acknowledge(heartbeatAt(1, 1, 8), interval)
	if !a.TokenRaiseDue(interval, interval) {
		t.Error("not due though the token is acknowledged and old")
	}
	a.RaiseToken(interval)
	a.Acknowledge(heartbeatAt(1, 2, 9), interval)
	if a.TokenRaiseDue(2*interval-1, interval) || !a.TokenRaiseDue(2*interval, interval) {
		t.Error("not due an interval after the last time")
	}
}

func TestLimitLease(t *testing.T) {
	a := New(8, 30*time.Second)
	a.LimitLease(40 * time.Second)
	if a.LeaseExpiry() != 30*time.Second {
		t.Errorf("a later limit extends the lease to %v", a.LeaseExpiry())
	}
	a.LimitLease(20 * time.Second)
	if a.LeaseExpiry() != 20*time.Second {
		t.Errorf("lease until %v, want 20s", a.LeaseExpiry())
	}
}
