// Package agentstate tracks what a leader knows about one agent: the order of its heartbeats, its
// epochs, the fencing tokens that it was sent and has acknowledged, and its lease.
package agentstate

import (
	"strings"
	"time"

	"leadproxy/internal/wire"
)

// State is a leader's view of one agent. It has no clock: callers pass the current time, as the
// controller's monotonic time.
type State struct {
	address string
	// addressInherited is set while the address is known only from the soft state of an earlier
	// leader; inheritedEpoch is the agent's epoch in that soft state.
	addressInherited bool
	inheritedEpoch   uint64

	epoch, sequence   uint64 // of the newest heartbeat
	lastEndedEpoch    uint64 // this epoch and all before it have certainly ended
	fencingToken      uint64 // the token of the commands to the agent
	acknowledgedToken uint64 // the highest token that the agent has sent back
	// minAcceptedToken is the lowest token of a heartbeat that is not stale: a lower one comes from
	// an incarnation of the agent that has ended.
	minAcceptedToken uint64
	// unacknowledged is set on a sign that the agent does not receive responses, until it
	// acknowledges the latest token.
	unacknowledged bool

	lastHeartbeat    time.Duration // when the newest heartbeat was received
	lastAcknowledged time.Duration // when the agent last acknowledged the latest token
	lastResponse     time.Duration // receipt time of the last heartbeat that got a response in this term
	epochSeenAt      time.Duration // when the first heartbeat of the present incarnation was received
	tokenRaisedAt    time.Duration
	leaseExpiry      time.Duration // when a task that the leader has not seen must have ended
}

// New returns the state of an agent that has not sent a heartbeat in this term.
func New(fencingToken uint64, leaseExpiry time.Duration) State {
	return State{fencingToken: fencingToken, leaseExpiry: leaseExpiry}
}

// Address returns the address at which the agent receives commands, or "" if it is not known.
func (s *State) Address() string { return s.address }

// AddressInherited reports whether the address is known only from the soft state of an earlier
// leader.
func (s *State) AddressInherited() bool { return s.addressInherited }

// Epoch returns the epoch of the agent's newest heartbeat, or 0 if there was none.
func (s *State) Epoch() uint64 { return s.epoch }

// LikelyEpoch returns the agent's epoch as far as known. Before the first heartbeat that is the
// inherited epoch or, without one, 1, since nearly all agents are in their first epoch.
func (s *State) LikelyEpoch() uint64 { return max(s.epoch, s.inheritedEpoch, 1) }

// EpochEnded reports whether an epoch has certainly ended.
func (s *State) EpochEnded(epoch uint64) bool { return epoch <= s.lastEndedEpoch }

// FencingToken returns the token of the commands to the agent.
func (s *State) FencingToken() uint64 { return s.fencingToken }

// AcknowledgedToken returns the highest token that the agent has sent back.
func (s *State) AcknowledgedToken() uint64 { return s.acknowledgedToken }

// Unacknowledged reports whether there was a sign that the agent does not receive responses, and it
// has not acknowledged the latest token since.
func (s *State) Unacknowledged() bool { return s.unacknowledged }

// LastHeartbeat returns when the newest heartbeat was received.
func (s *State) LastHeartbeat() time.Duration { return s.lastHeartbeat }

// LastAcknowledged returns when the agent last acknowledged the latest token, which shows that it
// receives responses.
func (s *State) LastAcknowledged() time.Duration { return s.lastAcknowledged }

// EpochSeenAt returns when the first heartbeat of the agent's present incarnation was received.
func (s *State) EpochSeenAt() time.Duration { return s.epochSeenAt }

// LeaseExpiry returns when a task on the agent's machine that the leader has not seen must have
// ended.
func (s *State) LeaseExpiry() time.Duration { return s.leaseExpiry }

// Position returns the position of the newest heartbeat.
func (s *State) Position() HeartbeatPosition { return HeartbeatPosition{s.epoch, s.sequence} }

// HeartbeatPosition orders the heartbeats of one incarnation of an agent.
type HeartbeatPosition struct{ epoch, sequence uint64 }

// PositionOf returns the position of a heartbeat.
func PositionOf(heartbeat *wire.Heartbeat) HeartbeatPosition {
	return HeartbeatPosition{heartbeat.AgentEpoch, heartbeat.Sequence}
}

// Before reports whether a heartbeat at position p was sent before one of the same incarnation at
// position other.
func (p HeartbeatPosition) Before(other HeartbeatPosition) bool {
	return p.epoch < other.epoch || p.epoch == other.epoch && p.sequence < other.sequence
}

// IsStale reports whether a heartbeat is not newer than the newest one received, or was sent by an
// epoch or an incarnation of the agent that has ended.
func (s *State) IsStale(heartbeat *wire.Heartbeat) bool {
	if heartbeat.AgentEpoch <= s.lastEndedEpoch || !s.Position().Before(PositionOf(heartbeat)) {
		return true
	}
	// An agent never forgets a token while it runs. So a heartbeat with a lower token is from an
	// earlier incarnation, whose epoch and sequence may be higher than the present one's, or the
	// agent has restarted and has not received the latest token yet. The response carries it.
	return heartbeat.FencingToken < max(s.minAcceptedToken, s.acknowledgedToken)
}

// RecordFirstHeartbeat records when the first heartbeat of an incarnation was received.
func (s *State) RecordFirstHeartbeat(now time.Duration) { s.epochSeenAt = now }

// RecordHeartbeat records when a heartbeat that is not stale was received.
func (s *State) RecordHeartbeat(now time.Duration) { s.lastHeartbeat = now }

// BeginEpoch records that the agent is in another epoch than before. An epoch begins with a lease
// of its own, without any response, and this one may have begun just now, so leaseExpiry must be a
// whole lease from now: the expiry known so far was that of the epoch before.
func (s *State) BeginEpoch(epoch uint64, leaseExpiry time.Duration) {
	s.epoch = epoch
	s.leaseExpiry = max(s.leaseExpiry, leaseExpiry)
}

// Acknowledge records the sequence number and the token of a heartbeat that is not stale. Only the
// latest token shows that the agent receives responses.
func (s *State) Acknowledge(heartbeat *wire.Heartbeat, now time.Duration) {
	s.sequence = heartbeat.Sequence
	s.acknowledgedToken = max(s.acknowledgedToken, heartbeat.FencingToken)
	if heartbeat.FencingToken >= s.fencingToken {
		s.lastAcknowledged, s.unacknowledged = now, false
	}
}

// RecordResponse records that a heartbeat gets a response, which renews the agent's lease. The
// agent counts the lease from when it sent the heartbeat. That was before anything newer from it
// was received, so counting from the receipt of the newest heartbeat is never too early, even if
// the response is to a late copy.
func (s *State) RecordResponse(lease time.Duration) {
	s.lastResponse = max(s.lastResponse, s.lastHeartbeat)
	s.leaseExpiry = max(s.leaseExpiry, s.lastHeartbeat+lease)
}

// RestartUnacknowledged reports whether the agent has restarted and has not yet acknowledged the
// token that was raised since. Until then it is not known which of its heartbeats are new.
func (s *State) RestartUnacknowledged() bool { return s.acknowledgedToken < s.minAcceptedToken }

// RecordResponseAfterRestart records a response to an agent whose restart is unacknowledged. Its
// heartbeat may have been sent just now, so the lease counts from now.
func (s *State) RecordResponseAfterRestart(now, lease time.Duration) {
	s.lastResponse = now
	s.leaseExpiry = max(s.leaseExpiry, now+lease)
}

// LeaseExpired reports whether the leases of all epochs so far must have expired.
func (s *State) LeaseExpired(now, lease time.Duration) bool {
	return now >= s.leaseExpiry && (s.lastResponse == 0 || now >= s.lastResponse+lease)
}

// EndEpoch records that the present epoch has certainly ended.
func (s *State) EndEpoch() { s.lastEndedEpoch = s.epoch }

// ResetAfterRestart records that the agent has restarted and counts its epochs from the beginning.
// The caller then calls BeginEpoch, which records the new lease.
func (s *State) ResetAfterRestart(epoch uint64, now time.Duration) {
	s.epoch, s.sequence, s.lastEndedEpoch, s.acknowledgedToken, s.epochSeenAt = epoch, 0, 0, 0, now
}

// RequireLatestToken makes heartbeats with a lower token than the latest one stale. It is needed
// after a restart: a late heartbeat of an earlier incarnation may have a higher position than those
// of the present one.
func (s *State) RequireLatestToken() { s.minAcceptedToken = s.fencingToken }

// RaiseToken raises the token of the commands to the agent.
func (s *State) RaiseToken(now time.Duration) {
	s.fencingToken++
	s.tokenRaisedAt = now
}

// MarkUnacknowledged raises the token, and marks the agent as unacknowledged until it has sent that
// token back.
func (s *State) MarkUnacknowledged(now time.Duration) {
	s.RaiseToken(now)
	s.unacknowledged = true
}

// SetAddress sets the address, from a heartbeat or the cloud's list, and reports whether it has
// changed. An empty address is ignored.
func (s *State) SetAddress(address string) (changed bool) {
	if address == "" || address == s.address {
		return false
	}
	s.address, s.addressInherited = strings.Clone(address), false
	return true
}

// Inherit sets the address and the epoch from the soft state of an earlier leader.
func (s *State) Inherit(address string, epoch uint64) {
	s.addressInherited, s.address, s.inheritedEpoch = true, address, epoch
}

// DropInherited discards the inherited epoch and, if the agent has sent no heartbeat, its address,
// which is wrong or outdated.
func (s *State) DropInherited() {
	s.addressInherited, s.inheritedEpoch = false, 0
	if s.epoch == 0 {
		s.address = ""
	}
}

// LimitLease records that the agent's lease expires at expiry or earlier.
func (s *State) LimitLease(expiry time.Duration) { s.leaseExpiry = min(s.leaseExpiry, expiry) }

// TokenRaiseDue reports whether the token should be raised so that the agent shows again that it
// receives responses: the present one is acknowledged, and was raised at least interval ago.
func (s *State) TokenRaiseDue(now, interval time.Duration) bool {
	return s.acknowledgedToken >= s.fencingToken && now-s.tokenRaisedAt >= interval
}
