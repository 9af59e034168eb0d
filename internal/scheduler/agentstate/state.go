// Package agentstate is what a leader knows of one agent: the order of its heartbeats, its epochs,
// the fencing tokens that it was sent and has acknowledged, and its lease.
package agentstate

import (
	"strings"
	"time"

	"leadproxy/internal/wire"
)

// State is what is known of one agent. It has no clock of its own.
type State struct {
	address string
	// addressInherited: the address is known only from the soft state of an earlier leader, and
	// inheritedEpoch is the agent's epoch by that.
	addressInherited bool
	inheritedEpoch   uint64

	epoch, sequence   uint64 // of its newest heartbeat
	lastEndedEpoch    uint64 // epochs up to this one have certainly ended
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
}

// New is the state of an agent that has sent nothing yet.
func New(fencingToken uint64, leaseExpiry time.Duration) State {
	return State{fencingToken: fencingToken, leaseExpiry: leaseExpiry}
}

// Address is where the agent receives commands; "": not known.
func (a *State) Address() string { return a.address }

// AddressInherited tells whether the address is known only from the soft state of an earlier
// leader.
func (a *State) AddressInherited() bool { return a.addressInherited }

// Epoch is the agent's epoch by its newest heartbeat; 0: there was none.
func (a *State) Epoch() uint64 { return a.epoch }

// LikelyEpoch is the agent's epoch as far as known. Before its first heartbeat that is the inherited
// one, if any; nearly all agents are in their first.
func (a *State) LikelyEpoch() uint64 { return max(a.epoch, a.inheritedEpoch, 1) }

// EpochEnded tells whether an epoch has certainly ended.
func (a *State) EpochEnded(epoch uint64) bool { return epoch <= a.lastEndedEpoch }

// FencingToken is the token of the commands to the agent.
func (a *State) FencingToken() uint64 { return a.fencingToken }

// AcknowledgedToken is the highest token that the agent has sent back.
func (a *State) AcknowledgedToken() uint64 { return a.acknowledgedToken }

// Unacknowledged tells whether the agent has acknowledged no token since a sign that it does not
// receive our responses.
func (a *State) Unacknowledged() bool { return a.unacknowledged }

// LastHeartbeat is when the newest heartbeat was received.
func (a *State) LastHeartbeat() time.Duration { return a.lastHeartbeat }

// LastAcknowledged is when the agent last showed that it receives our responses.
func (a *State) LastAcknowledged() time.Duration { return a.lastAcknowledged }

// EpochSeenAt is when the first heartbeat of the agent's present incarnation was received.
func (a *State) EpochSeenAt() time.Duration { return a.epochSeenAt }

// LeaseExpiry is when an unseen task on the agent's machine must have ended.
func (a *State) LeaseExpiry() time.Duration { return a.leaseExpiry }

// Position is the place of the newest heartbeat in the agent's order.
func (a *State) Position() HeartbeatPosition { return HeartbeatPosition{a.epoch, a.sequence} }

// HeartbeatPosition orders the heartbeats of one agent.
type HeartbeatPosition struct{ epoch, sequence uint64 }

// PositionOf is the place of a heartbeat in its agent's order.
func PositionOf(r *wire.Heartbeat) HeartbeatPosition {
	return HeartbeatPosition{r.AgentEpoch, r.Sequence}
}

// Before tells whether a heartbeat was sent before another one of the same incarnation.
func (s HeartbeatPosition) Before(o HeartbeatPosition) bool {
	return s.epoch < o.epoch || s.epoch == o.epoch && s.sequence < o.sequence
}

// IsStale tells whether a heartbeat is older than what is known of the agent, or was sent by an
// incarnation of it that has ended.
func (a *State) IsStale(r *wire.Heartbeat) bool {
	if r.AgentEpoch <= a.lastEndedEpoch || !a.Position().Before(PositionOf(r)) {
		return true
	}
	// An agent never forgets a token while it runs. So one with a lower token is from an earlier
	// incarnation, whose numbers may be higher than those of the present one, or the agent has
	// restarted and not received our token yet. The response carries it.
	return r.FencingToken < max(a.minAcceptedToken, a.acknowledgedToken)
}

// RecordFirstHeartbeat notes the first heartbeat of an incarnation.
func (a *State) RecordFirstHeartbeat(now time.Duration) { a.epochSeenAt = now }

// RecordHeartbeat notes when a heartbeat that is not stale was received.
func (a *State) RecordHeartbeat(now time.Duration) { a.lastHeartbeat = now }

// BeginEpoch notes that the agent is in another epoch than before. An epoch begins with a lease
// of its own, without any response, and this one may have begun just now: what was known of the
// lease was about the epoch before.
func (a *State) BeginEpoch(epoch uint64, leaseExpiry time.Duration) {
	a.epoch = epoch
	a.leaseExpiry = max(a.leaseExpiry, leaseExpiry)
}

// Acknowledge takes the position and the token of a heartbeat that is not stale. Only our latest
// token shows that the agent receives our responses.
func (a *State) Acknowledge(r *wire.Heartbeat, now time.Duration) {
	a.sequence = r.Sequence
	a.acknowledgedToken = max(a.acknowledgedToken, r.FencingToken)
	if r.FencingToken >= a.fencingToken {
		a.lastAcknowledged, a.unacknowledged = now, false
	}
}

// RecordResponse notes that a heartbeat gets a response, which renews the agent's lease. The lease
// counts from when the agent sent the heartbeat. That was before we received anything newer from
// it, so counting from the last heartbeat that was accepted is late enough, also for a late copy.
func (a *State) RecordResponse(lease time.Duration) {
	a.lastResponse = max(a.lastResponse, a.lastHeartbeat)
	a.leaseExpiry = max(a.leaseExpiry, a.lastHeartbeat+lease)
}

// RestartUnacknowledged tells whether the agent has restarted and not yet acknowledged the token that
// was raised since: which of its heartbeats are new is not known.
func (a *State) RestartUnacknowledged() bool { return a.acknowledgedToken < a.minAcceptedToken }

// RecordResponseAfterRestart notes a response to an agent whose restart is unacknowledged. The heartbeat
// may have been sent just now.
func (a *State) RecordResponseAfterRestart(now, lease time.Duration) {
	a.lastResponse = now
	a.leaseExpiry = max(a.leaseExpiry, now+lease)
}

// LeaseExpired tells whether the lease of every epoch so far must have expired.
func (a *State) LeaseExpired(now, lease time.Duration) bool {
	return now >= a.leaseExpiry && (a.lastResponse == 0 || now >= a.lastResponse+lease)
}

// EndEpoch notes that the present epoch has certainly ended.
func (a *State) EndEpoch() { a.lastEndedEpoch = a.epoch }

// ResetAfterRestart notes that the agent has restarted and counts its epochs from the beginning. BeginEpoch
// has its new lease taken in.
func (a *State) ResetAfterRestart(epoch uint64, now time.Duration) {
	a.epoch, a.sequence, a.lastEndedEpoch, a.acknowledgedToken, a.epochSeenAt = epoch, 0, 0, 0, now
}

// RequireLatestToken has heartbeats with less than the latest token count as stale: a late one of
// an earlier incarnation has a higher position than all from now on.
func (a *State) RequireLatestToken() { a.minAcceptedToken = a.fencingToken }

// RaiseToken raises the token of the commands to the agent.
func (a *State) RaiseToken(now time.Duration) {
	a.fencingToken++
	a.tokenRaisedAt = now
}

// MarkUnacknowledged raises the token, and has the agent count as one that does not receive our
// responses until it has acknowledged that.
func (a *State) MarkUnacknowledged(now time.Duration) {
	a.RaiseToken(now)
	a.unacknowledged = true
}

// SetAddress takes the address from a heartbeat or the cloud's list, and tells whether it is
// another one.
func (a *State) SetAddress(address string) (changed bool) {
	if address == "" || address == a.address {
		return false
	}
	a.address, a.addressInherited = strings.Clone(address), false
	return true
}

// Inherit takes the address and the epoch from the soft state of an earlier leader.
func (a *State) Inherit(address string, epoch uint64) {
	a.addressInherited, a.address, a.inheritedEpoch = true, address, epoch
}

// DropInherited drops the inherited address, which was wrong or is old.
func (a *State) DropInherited() {
	a.addressInherited, a.inheritedEpoch = false, 0
	if a.epoch == 0 {
		a.address = ""
	}
}

// LimitLease notes that the agent's lease expires no later than a time.
func (a *State) LimitLease(expiry time.Duration) { a.leaseExpiry = min(a.leaseExpiry, expiry) }

// TokenRaiseDue tells whether the token should be raised, so that the agent shows again that it
// receives our responses: the present one is acknowledged, and was raised some time ago.
func (a *State) TokenRaiseDue(now, interval time.Duration) bool {
	return a.acknowledgedToken >= a.fencingToken && now-a.tokenRaisedAt >= interval
}
