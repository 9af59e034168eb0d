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
		name      string
		state     State
		heartbeat *wire.Heartbeat
		stale     bool
	}{
		{"first heartbeat", State{}, heartbeatAt(1, 1, 0), false},
		{"next one of the epoch", State{epoch: 2, sequence: 5}, heartbeatAt(2, 6, 0), false},
		{"duplicate of the newest one", State{epoch: 2, sequence: 5}, heartbeatAt(2, 5, 0), true},
		{"earlier one of the epoch", State{epoch: 2, sequence: 5}, heartbeatAt(2, 4, 0), true},
		{"first one of a later epoch", State{epoch: 2, sequence: 5}, heartbeatAt(3, 1, 0), false},
		{"from an earlier epoch", State{epoch: 2, sequence: 5}, heartbeatAt(1, 9, 0), true},
		{"from an epoch that has ended", State{epoch: 2, sequence: 5, lastEndedEpoch: 2}, heartbeatAt(2, 6, 0), true},
		{"from the epoch after one that has ended", State{epoch: 2, sequence: 5, lastEndedEpoch: 2}, heartbeatAt(3, 1, 0), false},
		{"with a lower token than acknowledged", State{epoch: 2, sequence: 5, acknowledgedToken: 8}, heartbeatAt(2, 6, 7), true},
		{"with the token that is acknowledged", State{epoch: 2, sequence: 5, acknowledgedToken: 8}, heartbeatAt(2, 6, 8), false},
		{"with a lower token than required", State{epoch: 1, minAcceptedToken: 9}, heartbeatAt(1, 1, 8), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.state.IsStale(test.heartbeat); got != test.stale {
				t.Errorf("stale: %t, want %t", got, test.stale)
			}
		})
	}
}

func TestAcknowledge(t *testing.T) {
	s := State{fencingToken: 8}
	s.MarkUnacknowledged(time.Second)
	if s.fencingToken != 9 || !s.unacknowledged {
		t.Errorf("token %d, unacknowledged %t, want 9, true", s.fencingToken, s.unacknowledged)
	}
	s.Acknowledge(heartbeatAt(1, 1, 8), 2*time.Second)
	if s.acknowledgedToken != 8 || !s.unacknowledged || s.lastAcknowledged != 0 {
		t.Error("a token lower than the latest one shows that the agent receives responses")
	}
	s.Acknowledge(heartbeatAt(1, 2, 9), 3*time.Second)
	if s.acknowledgedToken != 9 || s.unacknowledged || s.lastAcknowledged != 3*time.Second {
		t.Errorf("after the latest token: acknowledged token %d, unacknowledged %t, last acknowledged at %v, want 9, false, 3s", s.acknowledgedToken, s.unacknowledged, s.lastAcknowledged)
	}
	s.Acknowledge(heartbeatAt(1, 3, 7), 4*time.Second)
	if s.acknowledgedToken != 9 || s.sequence != 3 {
		t.Errorf("acknowledged token %d, sequence %d, want 9, 3", s.acknowledgedToken, s.sequence)
	}
}

func TestRestartOfAnAgent(t *testing.T) {
	s := State{epoch: 4, sequence: 90, fencingToken: 8, acknowledgedToken: 8, lastEndedEpoch: 3}
	s.ResetAfterRestart(1, time.Second)
	s.MarkUnacknowledged(time.Second)
	s.RequireLatestToken()
	if s.EpochSeenAt() != time.Second {
		t.Errorf("epoch seen at %v, want 1s", s.EpochSeenAt())
	}
	if !s.IsStale(heartbeatAt(4, 91, 8)) {
		t.Error("a late heartbeat of the earlier incarnation is accepted")
	}
	if s.IsStale(heartbeatAt(1, 1, 9)) {
		t.Error("a heartbeat of the present incarnation with the latest token is refused")
	}
}

func TestLeaseOfAnAgent(t *testing.T) {
	const lease = 30 * time.Second
	s := State{leaseExpiry: lease}
	if s.LeaseExpired(lease-1, lease) || !s.LeaseExpired(lease, lease) {
		t.Error("the lease of an agent without a response does not expire at the initial expiry")
	}
	s.RecordHeartbeat(40 * time.Second)
	s.BeginEpoch(2, 40*time.Second+lease)
	s.RecordResponse(lease)
	if s.LeaseExpired(70*time.Second-1, lease) || !s.LeaseExpired(70*time.Second, lease) {
		t.Error("the lease does not expire one lease after the newest heartbeat was received")
	}
	s.RecordResponse(lease) // to a late copy
	if !s.LeaseExpired(70*time.Second, lease) {
		t.Error("the response to a late copy renews the lease")
	}
	s.BeginEpoch(3, 50*time.Second)
	if s.LeaseExpired(70*time.Second-1, lease) {
		t.Error("a new epoch shortens the lease")
	}
	s.EndEpoch()
	if !s.IsStale(heartbeatAt(3, 1, 0)) || s.IsStale(heartbeatAt(4, 1, 0)) {
		t.Error("an epoch that has ended is accepted, or the next one is not")
	}
}

func TestAddressOfAnAgent(t *testing.T) {
	s := State{}
	s.Inherit("10.0.0.1:1", 3)
	if s.SetAddress("") || s.SetAddress("10.0.0.1:1") || !s.addressInherited {
		t.Error("an empty or equal address counts as a change")
	}
	if !s.SetAddress("10.0.0.2:1") || s.addressInherited || s.address != "10.0.0.2:1" {
		t.Errorf("address %q, inherited %t, want the new address, not inherited", s.address, s.addressInherited)
	}
}

func TestInheritedAddressThatFails(t *testing.T) {
	s := State{}
	s.Inherit("10.0.0.1:1", 3)
	if s.LikelyEpoch() != 3 || !s.AddressInherited() {
		t.Errorf("likely epoch %d, inherited %t, want 3, true", s.LikelyEpoch(), s.AddressInherited())
	}
	s.DropInherited()
	if s.Address() != "" || s.AddressInherited() || s.LikelyEpoch() != 1 {
		t.Errorf("address %q, inherited %t, likely epoch %d after DropInherited, want \"\", false, 1", s.Address(), s.AddressInherited(), s.LikelyEpoch())
	}
	s.BeginEpoch(2, 0)
	s.Inherit("10.0.0.1:1", 3)
	s.DropInherited()
	if s.Address() == "" {
		t.Error("DropInherited discards the address of an agent that has sent heartbeats")
	}
}

func TestTokenIsRaisedOnceItIsAcknowledged(t *testing.T) {
	const interval = 10 * time.Second
	s := New(8, 0)
	if s.TokenRaiseDue(interval, interval) {
		t.Error("raise due before the token is acknowledged")
	}
	s.Acknowledge(heartbeatAt(1, 1, 8), interval)
	if !s.TokenRaiseDue(interval, interval) {
		t.Error("raise not due though the token is acknowledged and older than the interval")
	}
	s.RaiseToken(interval)
	s.Acknowledge(heartbeatAt(1, 2, 9), interval)
	if s.TokenRaiseDue(2*interval-1, interval) || !s.TokenRaiseDue(2*interval, interval) {
		t.Error("raise not due exactly one interval after the last one")
	}
}

func TestLimitLease(t *testing.T) {
	s := New(8, 30*time.Second)
	s.LimitLease(40 * time.Second)
	if s.LeaseExpiry() != 30*time.Second {
		t.Errorf("a later limit extends the lease to %v", s.LeaseExpiry())
	}
	s.LimitLease(20 * time.Second)
	if s.LeaseExpiry() != 20*time.Second {
		t.Errorf("lease until %v, want 20s", s.LeaseExpiry())
	}
}
