package standby

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// Store is the part of the key-value store that a follower needs.
type Store interface {
	List(ctx context.Context, p kvstore.Priority, under, after string, limit int) (wire.EntryPage, error)
	Watch(ctx context.Context, under string, after uint64, wait time.Duration) (wire.WatchResponse, error)
}

const (
	// watchInterval is the minimum time from the response to a watch until the next watch. Each
	// watch takes one request from this controller's share of the store's request rate, and since
	// the leader writes all the time, each would return at once.
	watchInterval = 250 * time.Millisecond
	// retryInterval is the delay after an error before the ledger is read again.
	retryInterval = time.Second
	// confirmTimeout is how long a new term waits until the replica is confirmed to be complete.
	// After that the term reads the whole ledger, as without a standby.
	confirmTimeout = 1200 * time.Millisecond
)

// Status is a standby's state at one moment. A published Status is never modified.
type Status struct {
	State    State
	Revision uint64 // up to which the replica has all changes
	Keys     int
	Bytes    int
	// LastResponse is when a status was last published without an error, normally on a response
	// of the store.
	LastResponse time.Time
	Reason       string // the error; "": none
}

// View is the replica that a term acts on: all entries as of a revision, and the gate with the
// conditions that were met.
type View struct {
	Entries  []wire.Entry
	Revision uint64
	Gate     Gate
}

// Follower maintains a controller's replica. Replica and gate are owned by the goroutine of Run.
type Follower struct {
	store      Store
	log        *slog.Logger
	replica    *Replica
	gate       Gate
	promotions chan promotion
	released   chan struct{} // buffers one
	status     atomic.Pointer[Status]
	started    time.Time
}

// promotion requests the replica for a term.
type promotion struct {
	term  uint64
	ctx   context.Context
	reply chan promotionResult // buffers one
}

// promotionResult is the reply to a promotion: a view, or the reason why the term can't act on one.
type promotionResult struct {
	view View
	err  error
}

// NewFollower returns a follower of the entries under prefixes, whose replica takes at most
// maxBytes. Run starts it.
func NewFollower(store Store, prefixes []string, maxBytes int, log *slog.Logger) *Follower {
	f := &Follower{store: store, log: log, replica: NewReplica(prefixes, maxBytes), promotions: make(chan promotion), released: make(chan struct{}, 1), started: time.Now()}
	f.status.Store(&Status{})
	return f
}

// Status returns the last published status.
func (f *Follower) Status() Status { return *f.status.Load() }

// Ready reports whether the replica is consistent and kept up to date.
func (f *Follower) Ready() bool { return f.Status().State == Following }

// Promote returns the view for a term that this controller has won, as soon as all conditions of
// the gate are met. On an error, for example when that takes longer than confirmTimeout, the term
// has to read the whole ledger. Once the follower has received the promotion, even if it then
// fails, it drops its replica and stops following until Release is called.
func (f *Follower) Promote(ctx context.Context, term uint64) (View, error) {
	confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	p := promotion{term, confirmCtx, make(chan promotionResult, 1)}
	select {
	case f.promotions <- p:
	case <-confirmCtx.Done():
		return View{}, errNotConfirmedInTime
	}
	select {
	case result := <-p.reply:
		return result.view, result.err
	case <-confirmCtx.Done():
		return View{}, errNotConfirmedInTime
	}
}

// Release is to be called when the term for which Promote was called has ended. The follower then
// reads the ledger and follows again.
func (f *Follower) Release() {
	select {
	case f.released <- struct{}{}:
	default:
	}
}

// errReplicaReleased means that the replica was released to a term of this controller, which has
// ended.
var errReplicaReleased = errors.New("the replica was released to a term of this controller")

// Run reads the ledger and follows its changes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.readAll(ctx)
		if err == nil {
			err = f.followChanges(ctx)
		}
		f.gate.Demote()
		if ctx.Err() != nil || errors.Is(err, errReplicaReleased) {
			continue
		}
		f.publishStatus(err)
		select {
		case p := <-f.promotions:
			f.releaseReplica(ctx, p)
		case <-time.After(retryDelay(err)):
		case <-ctx.Done():
		}
	}
}

// retryDelay returns the delay after an error before the ledger is read again. A ledger that
// exceeds the memory limit probably still does so at the next read, so that delay is longer.
func retryDelay(err error) time.Duration {
	if errors.Is(err, ErrTooLarge) {
		return time.Minute
	}
	return retryInterval
}

// replicaUnusable reports whether the replica has to be read again after an error of a watch. After
// any other error the watch is repeated from the same revision.
func replicaUnusable(err error) bool {
	return errors.Is(err, kvstore.ErrCompacted) || errors.Is(err, ErrMissingChanges) || errors.Is(err, ErrTooLarge)
}

// publishStatus publishes the current status and logs it if the state has changed. err, unless nil,
// is the reason why the standby is not following.
func (f *Follower) publishStatus(err error) {
	previous := f.Status()
	status := &Status{State: f.gate.State(), Revision: f.replica.Revision(), Keys: f.replica.KeyCount(), Bytes: f.replica.Bytes(), LastResponse: time.Now()}
	if err != nil {
		status.Reason, status.LastResponse = err.Error(), previous.LastResponse
	}
	f.status.Store(status)
	if status.State != previous.State {
		f.log.Info("standby", "state", status.State, "revision", status.Revision, "keys", status.Keys, "bytes", status.Bytes, "reason", status.Reason)
	}
}

// readAll replaces the replica with a listing of the store. Before each prefix it checks for a
// promotion, which ends the listing.
func (f *Follower) readAll(ctx context.Context) error {
	f.gate = Gate{}
	f.publishStatus(nil)
	var all kvstore.Listing
	for _, prefix := range f.replica.prefixes {
		select {
		case p := <-f.promotions:
			return f.releaseReplica(ctx, p)
		default:
		}
		// The listing has the leader's priority. With the priority of user queries, a standby that
		// had just started lagged behind for seconds under load, because those queries used up
		// this controller's share of the store's request rate.
		listing, err := kvstore.ListAll(ctx, f.store, kvstore.PriorityLeader, prefix)
		if err != nil {
			return err
		}
		if all.FirstRevision == 0 {
			all.FirstRevision = listing.FirstRevision
		}
		all.LastRevision = max(all.LastRevision, listing.LastRevision)
		all.Entries = append(all.Entries, listing.Entries...)
	}
	if err := f.replica.Reset(all.Entries, all.FirstRevision, all.LastRevision); err != nil {
		return err
	}
	f.gate.ReplicaUpdated(f.replica.Consistent())
	f.publishStatus(nil)
	return nil
}

// followChanges applies changes until an error makes the replica unusable, or until a term to which
// it was released has ended.
func (f *Follower) followChanges(ctx context.Context) error {
	nextWatch := time.NewTimer(0)
	defer nextWatch.Stop()
	for {
		select {
		case p := <-f.promotions:
			return f.releaseReplica(ctx, p)
		case <-nextWatch.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		watchCtx, cancel := context.WithCancel(ctx)
		results := f.watch(watchCtx, kvstore.WatchDuration)
		select {
		case p := <-f.promotions:
			cancel()
			<-results
			return f.releaseReplica(ctx, p)
		case result := <-results:
			cancel()
			if err := f.applyWatch(result); err != nil {
				return err
			}
		}
		nextWatch.Reset(watchInterval)
	}
}

// watchResult is the response to a watch for the changes after a revision, or its error.
type watchResult struct {
	after    uint64
	response wire.WatchResponse
	err      error
}

// watch starts a watch for the changes after the replica's revision, which waits at most wait for
// one. The channel always receives a result, also when ctx ends.
func (f *Follower) watch(ctx context.Context, wait time.Duration) chan watchResult {
	result := make(chan watchResult, 1)
	after := f.replica.Revision()
	if !f.replica.Consistent() {
		wait = 0 // the store already has the changes that the replica lacks
	}
	go func() {
		response, err := f.store.Watch(ctx, "", after, wait)
		result <- watchResult{after, response, err}
	}()
	return result
}

// applyWatch applies the result of a watch. It returns an error only if the replica has to be read
// again.
func (f *Follower) applyWatch(result watchResult) error {
	if replicaUnusable(result.err) {
		return result.err
	}
	if result.err != nil {
		// The replica is kept, but it may lag behind until the store responds again.
		f.gate.ReplicaUpdated(false)
		f.publishStatus(result.err)
		return nil
	}
	if err := f.replica.Apply(result.after, result.response); err != nil {
		return err
	}
	f.gate.ReplicaUpdated(f.replica.Consistent())
	f.publishStatus(nil)
	return nil
}

// releaseReplica replies to the promotion of a term that this controller has won, with the replica
// if the term may act on it. Then it waits until the term has ended, because the leader need not
// follow its own writes. It always returns errReplicaReleased.
func (f *Follower) releaseReplica(ctx context.Context, p promotion) error {
	select {
	case <-f.released:
	default:
	}
	if err := f.confirmReplica(p); err != nil {
		p.reply <- promotionResult{err: err}
	} else {
		p.reply <- promotionResult{view: View{Entries: f.replica.Entries(), Revision: f.replica.Revision(), Gate: f.gate}}
	}
	f.replica = NewReplica(f.replica.prefixes, f.replica.maxBytes)
	f.publishStatus(nil)
	select {
	case <-f.released:
	case <-ctx.Done():
	}
	return errReplicaReleased
}

// errNotConfirmedInTime means that within confirmTimeout no response of the store confirmed that the
// replica is complete.
var errNotConfirmedInTime = errors.New("the replica was not complete in time")

// confirmReplica applies changes until the replica has all up to the revision of the term.
func (f *Follower) confirmReplica(p promotion) error {
	if err := f.gate.TermWon(p.term, time.Since(f.started)); err != nil {
		return err
	}
	for p.ctx.Err() == nil {
		result := <-f.watch(p.ctx, 0)
		if errors.Is(result.err, kvstore.ErrCompacted) {
			return result.err
		}
		if result.err == nil {
			if err := f.replica.Apply(result.after, result.response); err != nil {
				return err
			}
			f.gate.ReplicaConfirmed(f.replica.Revision(), f.replica.Consistent(), time.Since(f.started))
			if f.gate.MayDecide(p.term) {
				return nil
			}
		}
		transport.Pause(p.ctx, 50*time.Millisecond)
	}
	return errNotConfirmedInTime
}
