package scheduler

import (
	"strings"
	"time"

	"leadproxy/internal/wire"
)

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

// before tells whether a heartbeat was sent before another one of the same incarnation.
func (s heartbeatPosition) before(o heartbeatPosition) bool {
	return s.epoch < o.epoch || s.epoch == o.epoch && s.sequence < o.sequence
}

// isStale tells whether a heartbeat is older than what is known of the agent, or was sent by an
// incarnation of it that has ended.
func (a *agentState) isStale(r *wire.Heartbeat) bool {
	if r.AgentEpoch <= a.expiredEpoch || !a.position().before(positionOf(r)) {
		return true
	}
	// An agent never forgets a token while it runs. So one with a lower token is from an earlier
	// incarnation, whose numbers may be higher than those of the present one, or the agent has
	// restarted and not received our token yet. The response carries it.
	return r.FencingToken < max(a.minAcceptedToken, a.acknowledgedToken)
}

// firstSeen notes the first heartbeat of an incarnation.
func (a *agentState) firstSeen(now time.Duration) { a.epochSeenAt = now }

// received notes when a heartbeat that is not stale was received.
func (a *agentState) received(now time.Duration) { a.lastHeartbeat = now }

// beginEpoch notes that the agent is in another epoch than before. An epoch begins with a lease
// of its own, without any response, and this one may have begun just now: what was known of the
// lease was about the epoch before.
func (a *agentState) beginEpoch(epoch uint64, leaseExpiry time.Duration) {
	a.epoch = epoch
	a.leaseExpiry = max(a.leaseExpiry, leaseExpiry)
}

// acknowledge takes the position and the token of a heartbeat that is not stale. Only our latest
// token shows that the agent receives our responses.
func (a *agentState) acknowledge(r *wire.Heartbeat, now time.Duration) {
	a.sequence = r.Sequence
	a.acknowledgedToken = max(a.acknowledgedToken, r.FencingToken)
	if r.FencingToken >= a.fencingToken {
		a.lastAcknowledged, a.unacknowledged = now, false
	}
}

// responded notes that a heartbeat gets a response, which renews the agent's lease. The lease
// counts from when the agent sent the heartbeat. That was before we received anything newer from
// it, so counting from the last heartbeat that was accepted is late enough, also for a late copy.
func (a *agentState) responded(lease time.Duration) {
	a.lastResponse = max(a.lastResponse, a.lastHeartbeat)
	a.leaseExpiry = max(a.leaseExpiry, a.lastHeartbeat+lease)
}

// leaseExpired tells whether the lease of every epoch so far must have expired.
func (a *agentState) leaseExpired(now, lease time.Duration) bool {
	return now >= a.leaseExpiry && (a.lastResponse == 0 || now >= a.lastResponse+lease)
}

// endEpoch notes that the present epoch has certainly ended.
func (a *agentState) endEpoch() { a.expiredEpoch = a.epoch }

// restart notes that the agent has restarted and counts its epochs from the beginning.
func (a *agentState) restart(epoch uint64, now time.Duration) {
	a.epoch, a.sequence, a.expiredEpoch, a.acknowledgedToken, a.epochSeenAt = epoch, 0, 0, 0, now
	a.staleHeartbeats = 0
}

// requireLatestToken has heartbeats with less than the latest token count as stale: a late one of
// an earlier incarnation has a higher position than all from now on.
func (a *agentState) requireLatestToken() { a.minAcceptedToken = a.fencingToken }

// lateCopy notes that an inspection has shown a stale heartbeat to be a late copy.
func (a *agentState) lateCopy() { a.staleHeartbeats++ }

// raiseToken raises the token of the commands to the agent.
func (a *agentState) raiseToken(now time.Duration) {
	a.fencingToken++
	a.tokenRaisedAt = now
}

// markUnacknowledged raises the token, and has the agent count as one that does not receive our
// responses until it has acknowledged that.
func (a *agentState) markUnacknowledged(now time.Duration) {
	a.raiseToken(now)
	a.unacknowledged = true
}

// setAddress takes the address from a heartbeat or the cloud's list, and tells whether it is
// another one.
func (a *agentState) setAddress(address string) (changed bool) {
	if address == "" || address == a.address {
		return false
	}
	a.address, a.addressFromSoftState = strings.Clone(address), false
	return true
}

// inherit takes the address and the epoch from the soft state of an earlier leader.
func (a *agentState) inherit(address string, epoch uint64) {
	a.addressFromSoftState, a.address, a.softStateEpoch = true, address, epoch
}
