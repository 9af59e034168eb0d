package standby

import (
	"fmt"
	"time"
)

// State is the state of a standby. The zero value is CatchingUp.
type State int

const (
	// CatchingUp means that the replica is being read or lacks changes.
	CatchingUp State = iota
	// Following means that the replica is a consistent copy and is kept up to date.
	Following
	// Confirming means that this controller has won a term and checks that its replica is complete.
	Confirming
	// Active means that the term of this controller may act on the replica.
	Active
	// Demoted means that the replica is unusable or was released to a term, and has to be read again.
	Demoted
)

var stateNames = [...]string{"catching up", "following", "confirming", "active", "demoted"}

// String returns the state's name as it appears in logs and in the status for operators.
func (s State) String() string { return stateNames[s] }

// Condition is one of the conditions that must be met before a term may act on the replica.
type Condition struct {
	Met     bool
	Reason  string        // why it is met or not, for logs
	Elapsed time.Duration // since the term was won
}

// Gate decides when a term may act on the replica. It is a state machine without I/O: callers report
// events and, where it matters, the time since the follower's start. The zero value is a replica that
// is catching up.
//
// The conditions are, in this order:
//
//   - PreviousTermEnded: this controller's leader key was created. The store allows that only after
//     the previous leader's key was deleted, because its lease expired or it resigned. The revision
//     of the creation is the new term.
//   - ReplicaComplete: the replica has all changes up to that revision, according to a response to
//     a request that was sent after the term was won. Each write of an earlier term has that term's
//     leader key as a condition, so the store applies none of them after that revision.
//   - EarlierWritesFenced: a transaction of an earlier term whose outcome is unknown either is in
//     the replica or will never be applied. This follows from ReplicaComplete.
type Gate struct {
	state State
	term  uint64
	wonAt time.Duration
	// PreviousTermEnded, ReplicaComplete and EarlierWritesFenced are the conditions of the current
	// term, in this order.
	PreviousTermEnded, ReplicaComplete, EarlierWritesFenced Condition
}

// State returns the standby's state.
func (g *Gate) State() State { return g.state }

// ReplicaUpdated records, after each change to the replica, whether it is consistent and up to
// date. It has no effect once a term has been won.
func (g *Gate) ReplicaUpdated(consistent bool) {
	if g.state == Confirming || g.state == Active {
		return
	}
	g.state = CatchingUp
	if consistent {
		g.state = Following
	}
}

// TermWon records that this controller's leader key was created, at the revision that is the new
// term. It returns an error unless the standby is following, because bringing the replica up to date
// may take longer than reading the whole ledger.
func (g *Gate) TermWon(term uint64, now time.Duration) error {
	if g.state != Following {
		return fmt.Errorf("the standby is %s", g.state)
	}
	g.state, g.term, g.wonAt = Confirming, term, now
	g.PreviousTermEnded = Condition{Met: true, Reason: fmt.Sprintf("the leader key was created at revision %d", term)}
	g.ReplicaComplete, g.EarlierWritesFenced = Condition{Reason: "the store has not responded yet"}, Condition{Reason: "the replica is not complete"}
	return nil
}

// ReplicaConfirmed records the revision up to which the replica has all changes, according to a
// response to a request that was sent after the term was won, and whether the replica is consistent.
// The gate becomes active when the replica is consistent and the revision is at least the term.
func (g *Gate) ReplicaConfirmed(revision uint64, consistent bool, now time.Duration) {
	if g.state != Confirming {
		return
	}
	elapsed := now - g.wonAt
	if revision < g.term || !consistent {
		g.ReplicaComplete = Condition{Reason: fmt.Sprintf("the replica is of revision %d, before %d", revision, g.term), Elapsed: elapsed}
		return
	}
	g.ReplicaComplete = Condition{Met: true, Reason: fmt.Sprintf("the replica is of revision %d", revision), Elapsed: elapsed}
	g.EarlierWritesFenced = Condition{Met: true, Reason: "no write of an earlier term can be applied any more", Elapsed: elapsed}
	g.state = Active
}

// MayDecide reports whether a term may act on the replica.
func (g *Gate) MayDecide(term uint64) bool {
	return g.state == Active && g.term == term && g.PreviousTermEnded.Met && g.ReplicaComplete.Met && g.EarlierWritesFenced.Met
}

// UnmetCondition returns the reason why the first unmet condition is not met, or "" if all are met.
func (g *Gate) UnmetCondition() string {
	for _, condition := range []Condition{g.PreviousTermEnded, g.ReplicaComplete, g.EarlierWritesFenced} {
		if !condition.Met {
			return condition.Reason
		}
	}
	return ""
}

// Demote records that the replica must not be used any more.
func (g *Gate) Demote() { *g = Gate{state: Demoted} }
