package standby

import (
	"fmt"
	"time"
)

// State is what a standby is doing.
type State int

// The states of a standby.
const (
	// CatchingUp: the replica is being read, or its changes are not all known yet.
	CatchingUp State = iota
	// Following: the replica is the copy of a moment and follows the changes.
	Following
	// Confirming: this node has won a term and looks whether its view is complete.
	Confirming
	// Active: the term decides on the replica.
	Active
	// Demoted: the replica is in doubt or was given away; it is to be read anew.
	Demoted
)

var stateNames = [...]string{"catching up", "following", "confirming", "active", "demoted"}

// String is the state's name in logs.
func (s State) String() string { return stateNames[s] }

// Evidence is one of the conditions for the first decision of a term.
type Evidence struct {
	Met  bool
	Why  string
	Took time.Duration // since the term was won
}

// Gate tells when a term may decide on the replica. It is pure: each call is an event,
// with the time at which it came.
//
// The conditions are, in this order:
//
//   - Ended: the term before has ended. This node's key was created, and that is possible
//     only when the key of the one before is gone: its lease has ended at the service, or
//     it has resigned. The creation's revision is the new term.
//   - Complete: the replica has all changes up to that revision, from an answer that the
//     service has given since. Each write of the terms before needs their key, so none is
//     carried out later.
//   - Fenced: so a transaction of theirs whose outcome nobody has learned either is in the
//     replica or never will be in the ledger.
type Gate struct {
	state State
	term  uint64
	wonAt time.Duration
	// The conditions of the present term.
	Ended, Complete, Fenced Evidence
}

// State is what the standby is doing.
func (g *Gate) State() State { return g.state }

// Followed tells how the replica stands: whether it is the copy of a moment.
func (g *Gate) Followed(consistent bool) {
	if g.state == Confirming || g.state == Active {
		return
	}
	g.state = CatchingUp
	if consistent {
		g.state = Following
	}
}

// Won tells that this node's key was created at a revision, which is its term. A replica
// that is not the copy of a moment is not decided on: it may take longer than reading
// everything anew.
func (g *Gate) Won(term uint64, now time.Duration) error {
	if g.state != Following {
		return fmt.Errorf("the standby is %s", g.state)
	}
	g.state, g.term, g.wonAt = Confirming, term, now
	g.Ended = Evidence{Met: true, Why: fmt.Sprintf("the key was free and is held since revision %d", term)}
	g.Complete, g.Fenced = Evidence{Why: "the service has not answered yet"}, Evidence{Why: "the view is not complete"}
	return nil
}

// Read tells up to which revision the replica has all changes, by an answer of the service
// to a question that was asked after the term was won.
func (g *Gate) Read(revision uint64, consistent bool, now time.Duration) {
	if g.state != Confirming {
		return
	}
	took := now - g.wonAt
	if revision < g.term || !consistent {
		g.Complete = Evidence{Why: fmt.Sprintf("the view is of revision %d, before %d", revision, g.term), Took: took}
		return
	}
	g.Complete = Evidence{Met: true, Why: fmt.Sprintf("the view is of revision %d", revision), Took: took}
	g.Fenced = Evidence{Met: true, Why: "no write of an earlier term can follow", Took: took}
	g.state = Active
}

// MayDecide tells whether a term may decide on the replica.
func (g *Gate) MayDecide(term uint64) bool {
	return g.state == Active && g.term == term && g.Ended.Met && g.Complete.Met && g.Fenced.Met
}

// Missing names the condition that is not met; "": all are.
func (g *Gate) Missing() string {
	for _, e := range []Evidence{g.Ended, g.Complete, g.Fenced} {
		if !e.Met {
			return e.Why
		}
	}
	return ""
}

// Demote tells that the replica is not to be decided on any more.
func (g *Gate) Demote() { *g = Gate{state: Demoted} }
