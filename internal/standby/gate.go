package standby

import (
	"fmt"
	"time"
)

// State is the state of a standby.
type State int

// The states of a standby.
const (
	// CatchingUp: the replica is being read, or lacks changes.
	CatchingUp State = iota
	// Following: the replica is a consistent copy and is kept up to date.
	Following
	// Confirming: this controller has won a term and checks that its replica is complete.
	Confirming
	// Active: the term acts on the replica.
	Active
	// Demoted: the replica is unusable or was released; it has to be read again.
	Demoted
)

var stateNames = [...]string{"catching up", "following", "confirming", "active", "demoted"}

// String is the state's name in logs.
func (s State) String() string { return stateNames[s] }

// Condition is one of the conditions under which a term may act on the replica.
type Condition struct {
	Met     bool
	Reason  string
	Elapsed time.Duration // since the term was won
}

// Gate decides when a term may act on the replica. It does no I/O: each call is an event with
// the time of its arrival.
//
// The conditions are, in this order:
//
//   - PreviousTermEnded: this controller's leader key was created, which is possible only when
//     the key of the previous leader is gone: its lease has expired, or it has resigned. The
//     revision of the creation is the new term.
//   - ReplicaComplete: the replica has all changes up to that revision, from a response that the
//     store has given since. Each write of an earlier term has that term's key as a condition,
//     so none is applied later.
//   - EarlierWritesFenced: so a transaction of an earlier term whose outcome is unknown either is
//     in the replica or will never be applied.
type Gate struct {
	state State
	term  uint64
	wonAt time.Duration
	// The conditions of the present term.
	PreviousTermEnded, ReplicaComplete, EarlierWritesFenced Condition
}

// State returns the state of the standby.
func (g *Gate) State() State { return g.state }

// ReplicaUpdated is called after each change of the replica, with whether it is consistent.
func (g *Gate) ReplicaUpdated(consistent bool) {
	if g.state == Confirming || g.state == Active {
		return
	}
	g.state = CatchingUp
	if consistent {
		g.state = Following
	}
}

// TermWon is called when this controller's leader key was created, at a revision that is its
// term. It returns an error unless the replica is consistent: bringing it up to date may take
// longer than reading everything.
func (g *Gate) TermWon(term uint64, now time.Duration) error {
	if g.state != Following {
		return fmt.Errorf("the standby is %s", g.state)
	}
	g.state, g.term, g.wonAt = Confirming, term, now
	g.PreviousTermEnded = Condition{Met: true, Reason: fmt.Sprintf("the leader key was created at revision %d", term)}
	g.ReplicaComplete, g.EarlierWritesFenced = Condition{Reason: "the store has not responded yet"}, Condition{Reason: "the replica is not complete"}
	return nil
}

// ReplicaConfirmed is called with the revision up to which the replica has all changes, by the
// response to a request that was sent after the term was won.
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

// MayDecide tells whether a term may act on the replica.
func (g *Gate) MayDecide(term uint64) bool {
	return g.state == Active && g.term == term && g.PreviousTermEnded.Met && g.ReplicaComplete.Met && g.EarlierWritesFenced.Met
}

// UnmetCondition returns the reason of the first unmet condition; "": all are met.
func (g *Gate) UnmetCondition() string {
	for _, e := range []Condition{g.PreviousTermEnded, g.ReplicaComplete, g.EarlierWritesFenced} {
		if !e.Met {
			return e.Reason
		}
	}
	return ""
}

// Demote is called when the replica may not be used any more.
func (g *Gate) Demote() { *g = Gate{state: Demoted} }
