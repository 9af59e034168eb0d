package dispatch

import (
	"context"

	"leadproxy/internal/election"
)

// runningTerm is the term that this controller leads at the moment.
type runningTerm struct {
	number uint64
	cancel context.CancelFunc
	done   chan struct{} // closed as the term has ended
}

// Run serves one term after the other until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go d.agentConnections.run(ctx)
	var current *runningTerm
	defer func() { current.end() }()
	for {
		// A running term reads the mailboxes; without one they are emptied here.
		var unread mailboxes
		if current == nil {
			unread = d.mailboxes
		}
		select {
		case view := <-d.elector.ViewChanges():
			current = d.changeTerm(ctx, current, view)
		case request := <-unread.heartbeats:
			request.caller.Reject(ErrNotLeader)
		case request := <-unread.userRequests:
			request.caller.Reject(ErrNotLeader)
		case <-unread.internalEvents:
		case <-ctx.Done():
			return
		}
	}
}

// changeTerm ends the current term and starts the one that a view of the election names,
// unless that is the same one.
func (d *Dispatcher) changeTerm(ctx context.Context, current *runningTerm, view *election.View) *runningTerm {
	if view.Elected && current != nil && current.number == view.Term {
		return current
	}
	current.end()
	controllers := d.config.Platform.Facts.ControllerCount
	if !view.Elected {
		d.store.SetRateShare(FollowerShare(controllers))
		return nil
	}
	d.store.SetRateShare(leaderShare(controllers))
	termCtx, cancel := context.WithCancel(ctx)
	next := &runningTerm{number: view.Term, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(next.done)
		d.lead(termCtx, next.number)
	}()
	return next
}

// end ends the term and waits until it has ended. On nil it does nothing.
func (r *runningTerm) end() {
	if r == nil {
		return
	}
	r.cancel()
	<-r.done
}

// The shares of the key-value store's request rate. All together stay below the whole, also
// while a new leader reads the ledger.
const (
	soleLeaderShare          = 0.9
	leaderWithFollowersShare = 0.75 // of a leader that has followers
	allFollowersShare        = 0.2  // of all followers together
)

// FollowerShare is the share of the key-value store's request rate for a controller that
// does not lead.
func FollowerShare(controllers int) float64 {
	return allFollowersShare / float64(max(controllers-1, 1))
}

// leaderShare is the share for the leader.
func leaderShare(controllers int) float64 {
	if controllers <= 1 {
		return soleLeaderShare
	}
	return leaderWithFollowersShare
}
