package dispatch

import (
	"context"

	"leadproxy/internal/election"
)

// runningTerm is the term in which this controller currently leads.
type runningTerm struct {
	number uint64
	cancel context.CancelFunc
	done   chan struct{} // closed when the term has ended
}

// Run runs each term in which this controller leads, one at a time, until ctx ends. Between terms
// it rejects requests.
func (d *Dispatcher) Run(ctx context.Context) {
	go d.agentConnections.run(ctx)
	var current *runningTerm
	defer func() { current.end() }()
	for {
		// A running term reads the mailboxes. Between terms they are drained here; the nil
		// channels of the zero value are never ready.
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

// changeTerm applies a view of the election. It ends the current term, unless the view has this
// controller elected in that term, and starts a new one if this controller is elected. It returns
// the running term, or nil if there is none.
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

// end cancels the term and waits until it has ended. It does nothing on a nil receiver.
func (r *runningTerm) end() {
	if r == nil {
		return
	}
	r.cancel()
	<-r.done
}

// Shares of the key-value store's request rate. Their sum stays below 1, also while a new leader
// reads the ledger.
const (
	soleLeaderShare          = 0.9
	leaderWithFollowersShare = 0.75
	allFollowersShare        = 0.2 // divided among all followers
)

// FollowerShare returns the share of the key-value store's request rate of one follower, given the
// number of controllers.
func FollowerShare(controllers int) float64 {
	return allFollowersShare / float64(max(controllers-1, 1))
}

// leaderShare returns the leader's share of the key-value store's request rate, given the number of
// controllers.
func leaderShare(controllers int) float64 {
	if controllers <= 1 {
		return soleLeaderShare
	}
	return leaderWithFollowersShare
}
