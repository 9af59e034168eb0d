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

// The intervals and timeouts of a follower.
const (
	// watchTimeout is how long a watch waits for a change.
	watchTimeout = 15 * time.Second
	// watchInterval is the least time between two watches: each costs a request of this
	// controller's share of the store's rate, and the leader writes all the time.
	watchInterval = 250 * time.Millisecond
	// retryInterval is the pause after a failed read.
	retryInterval = time.Second
	// confirmTimeout is how long a new term waits for a complete replica. After that the
	// whole ledger is read, as without a standby.
	confirmTimeout = 1200 * time.Millisecond
)

// Status is a standby's state at one moment. It is never changed once published.
type Status struct {
	State    State
	Revision uint64
	Keys     int
	Bytes    int
	// LastResponse is when the store last responded.
	LastResponse time.Time
	Reason       string // for which it is not following
}

// View is the replica that a term acts on: all entries as of a revision.
type View struct {
	Entries  []wire.Entry
	Revision uint64
	Gate     Gate
}

// Follower keeps a controller's replica. Its state belongs to the goroutine of Run.
type Follower struct {
	store      Store
	log        *slog.Logger
	replica    *Replica
	gate       Gate
	promotions chan promotion
	released   chan struct{}
	status     atomic.Pointer[Status]
	started    time.Time
}

// promotion is the request of a term for the replica.
type promotion struct {
	term  uint64
	ctx   context.Context
	reply chan promotionResult // has room for one
}

// promotionResult is the reply to a promotion.
type promotionResult struct {
	view View
	err  error
}

// NewFollower makes a follower of some prefixes; Run starts it.
func NewFollower(store Store, prefixes []string, maxBytes int, log *slog.Logger) *Follower {
	f := &Follower{store: store, log: log, replica: NewReplica(prefixes, maxBytes), promotions: make(chan promotion), released: make(chan struct{}, 1), started: time.Now()}
	f.status.Store(&Status{})
	return f
}

// Status returns the standby's present state.
func (f *Follower) Status() Status { return *f.status.Load() }

// Ready tells whether the replica is consistent and kept up to date.
func (f *Follower) Ready() bool { return f.Status().State == Following }

// Promote returns the view for a term that this controller has won, once all conditions of the
// gate are met. An error says which condition was not met in time: the term has to read the
// whole ledger. The replica is released to the term; after Release the follower reads it again.
func (f *Follower) Promote(ctx context.Context, term uint64) (View, error) {
	limited, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	p := promotion{term, limited, make(chan promotionResult, 1)}
	select {
	case f.promotions <- p:
	case <-limited.Done():
		return View{}, errNotConfirmedInTime
	}
	select {
	case r := <-p.reply:
		return r.view, r.err
	case <-limited.Done():
		return View{}, errNotConfirmedInTime
	}
}

// Release is called when the term is over for which Promote was called.
func (f *Follower) Release() {
	select {
	case f.released <- struct{}{}:
	default:
	}
}

// errReplicaReleased means that a term of this controller has used the replica and is over.
var errReplicaReleased = errors.New("the replica was released to a term of this controller")

// Run follows until ctx ends.
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

// retryDelay is the pause after an error. A ledger that is too large is likely to be so on the
// next read, so that pause is longer.
func retryDelay(err error) time.Duration {
	if errors.Is(err, ErrTooLarge) {
		return time.Minute
	}
	return retryInterval
}

// replicaUnusable tells whether the replica has to be read again after an error. After any other
// error the watch is repeated from the same revision.
func replicaUnusable(err error) bool {
	return errors.Is(err, kvstore.ErrCompacted) || errors.Is(err, ErrMissingChanges) || errors.Is(err, ErrTooLarge)
}

// publishStatus publishes the present status, and logs a change of state.
func (f *Follower) publishStatus(err error) {
	previous := f.Status()
	s := &Status{State: f.gate.State(), Revision: f.replica.Revision(), Keys: f.replica.KeyCount(), Bytes: f.replica.Bytes(), LastResponse: time.Now()}
	if err != nil {
		s.Reason, s.LastResponse = err.Error(), previous.LastResponse
	}
	f.status.Store(s)
	if s.State != previous.State {
		f.log.Info("standby", "state", s.State, "revision", s.Revision, "keys", s.Keys, "bytes", s.Bytes, "reason", s.Reason)
	}
}

// readAll reads all entries from the store.
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
		// With the priority of user queries a standby that has just started stayed behind for
		// seconds under load, since those queries use up this controller's share.
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

// followChanges applies changes until an error makes the replica unusable or a term has used it.
func (f *Follower) followChanges(ctx context.Context) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case p := <-f.promotions:
			return f.releaseReplica(ctx, p)
		case <-pause.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		watching, cancel := context.WithCancel(ctx)
		response := f.watch(watching, watchTimeout)
		select {
		case p := <-f.promotions:
			cancel()
			<-response
			return f.releaseReplica(ctx, p)
		case result := <-response:
			cancel()
			if err := f.applyWatch(result); err != nil {
				return err
			}
		}
		pause.Reset(watchInterval)
	}
}

// watchResult is the outcome of a watch that began after a revision.
type watchResult struct {
	after    uint64
	response wire.WatchResponse
	err      error
}

// watch starts a watch. Its result is always sent.
func (f *Follower) watch(ctx context.Context, wait time.Duration) chan watchResult {
	result := make(chan watchResult, 1)
	after := f.replica.Revision()
	if !f.replica.Consistent() {
		wait = 0 // the changes that are missing have been made already
	}
	go func() {
		response, err := f.store.Watch(ctx, "", after, wait)
		result <- watchResult{after, response, err}
	}()
	return result
}

// applyWatch applies the result of a watch.
func (f *Follower) applyWatch(result watchResult) error {
	if replicaUnusable(result.err) {
		return result.err
	}
	if result.err != nil {
		// The replica is kept, and is behind until the store responds again.
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

// releaseReplica replies to the promotion of a term that this controller has won, with the
// replica if the term may act on it. Then it waits until the term is over: the leader need not
// follow its own writes.
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

// errNotConfirmedInTime means that no response of the store showed in time that the replica is
// complete.
var errNotConfirmedInTime = errors.New("the replica was not complete in time")

// confirmReplica applies all changes that the store has, until the replica is as new as the term.
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
