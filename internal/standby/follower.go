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

// Store is the part of the state service that following needs.
type Store interface {
	List(ctx context.Context, p kvstore.Priority, under, after string, limit int) (wire.EntryPage, error)
	Watch(ctx context.Context, under string, after uint64, wait time.Duration) (wire.WatchResponse, error)
}

// The times of following.
const (
	// watchWait is how long a quiet watch waits.
	watchWait = 15 * time.Second
	// followEvery is the least time between two watches: each answer costs a request of
	// this node's share, and the leader writes all the time.
	followEvery = 250 * time.Millisecond
	// restEvery is how long a read rests that has failed.
	restEvery = time.Second
	// confirmLimit is how long a won term waits for the view to be complete. Then
	// everything is read anew, as without a standby.
	confirmLimit = 1200 * time.Millisecond
)

// Status is how a standby stands. It is never changed once published.
type Status struct {
	State    State
	Revision uint64
	Keys     int
	Bytes    int
	// Heard is when the service last answered.
	Heard time.Time
	Why   string // it is not following
}

// View is what a term decides on: all keys as of a revision.
type View struct {
	Entries  []wire.Entry
	Revision uint64
	Gate     Gate
}

// Follower keeps a node's replica. Its state belongs to the goroutine that runs it.
type Follower struct {
	store    Store
	log      *slog.Logger
	replica  *Replica
	gate     Gate
	promotes chan promotion
	released chan struct{}
	status   atomic.Pointer[Status]
	began    time.Time
}

type promotion struct {
	term  uint64
	ctx   context.Context
	reply chan promoted // has room for one
}

type promoted struct {
	view View
	err  error
}

// NewFollower makes a follower of some prefixes; Run starts it.
func NewFollower(store Store, prefixes []string, maxBytes int, log *slog.Logger) *Follower {
	f := &Follower{store: store, log: log, replica: NewReplica(prefixes, maxBytes), promotes: make(chan promotion), released: make(chan struct{}, 1), began: time.Now()}
	f.status.Store(&Status{})
	return f
}

// Status tells how the standby stands.
func (f *Follower) Status() Status { return *f.status.Load() }

// Ready tells whether the replica is the copy of a moment and follows.
func (f *Follower) Ready() bool { return f.Status().State == Following }

// Promote returns the view of a term that this node has won, once all conditions for its
// first decision are met. An error means that they can't be had in time, and why:
// everything is to be read anew. The replica is given away; Release has the follower begin
// again.
func (f *Follower) Promote(ctx context.Context, term uint64) (View, error) {
	limited, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	p := promotion{term, limited, make(chan promoted, 1)}
	select {
	case f.promotes <- p:
	case <-limited.Done():
		return View{}, errNoTime
	}
	select {
	case r := <-p.reply:
		return r.view, r.err
	case <-limited.Done():
		return View{}, errNoTime
	}
}

// Release tells that the term is over for which the replica was given away.
func (f *Follower) Release() {
	select {
	case f.released <- struct{}{}:
	default:
	}
}

// errUsed means that a term has begun here and is over: everything is to be read anew.
var errUsed = errors.New("a term of this node has used the replica")

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.read(ctx)
		if err == nil {
			err = f.follow(ctx)
		}
		f.gate.Demote()
		if ctx.Err() != nil || errors.Is(err, errUsed) {
			continue
		}
		f.publish(err)
		select {
		case p := <-f.promotes:
			f.serve(ctx, p)
		case <-time.After(restAfter(err)):
		case <-ctx.Done():
		}
	}
}

// restAfter is how long nothing is read after a failure. What is too large will be so
// again.
func restAfter(err error) time.Duration {
	if errors.Is(err, ErrTooLarge) {
		return time.Minute
	}
	return restEvery
}

// lost tells whether an error leaves the replica without a way on. After any other one the
// changes are asked for again from the same revision.
func lost(err error) bool {
	return errors.Is(err, kvstore.ErrCompacted) || errors.Is(err, ErrGap) || errors.Is(err, ErrTooLarge)
}

// publish tells how the standby stands, and logs when that changes.
func (f *Follower) publish(err error) {
	was := f.Status()
	s := &Status{State: f.gate.State(), Revision: f.replica.Revision(), Keys: f.replica.Keys(), Bytes: f.replica.Bytes(), Heard: time.Now()}
	if err != nil {
		s.Why, s.Heard = err.Error(), was.Heard
	}
	f.status.Store(s)
	if s.State != was.State {
		f.log.Info("standby", "state", s.State, "revision", s.Revision, "keys", s.Keys, "bytes", s.Bytes, "why", s.Why)
	}
}

// read lists all keys.
func (f *Follower) read(ctx context.Context) error {
	f.gate = Gate{}
	f.publish(nil)
	var all kvstore.Listing
	for _, prefix := range f.replica.prefixes {
		select {
		case p := <-f.promotes:
			return f.serve(ctx, p)
		default:
		}
		// Not with the rank of users' questions: under load those use up this node's share,
		// and a standby that was just started stayed behind for seconds.
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
	f.gate.Followed(f.replica.Consistent())
	f.publish(nil)
	return nil
}

// follow applies changes until that fails, or a term has used the replica.
func (f *Follower) follow(ctx context.Context) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case p := <-f.promotes:
			return f.serve(ctx, p)
		case <-pause.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		watching, cancel := context.WithCancel(ctx)
		news := f.watch(watching, watchWait)
		select {
		case p := <-f.promotes:
			cancel()
			<-news
			return f.serve(ctx, p)
		case w := <-news:
			cancel()
			if err := f.take(w); err != nil {
				return err
			}
		}
		pause.Reset(followEvery)
	}
}

type watched struct {
	after uint64
	news  wire.WatchResponse
	err   error
}

// watch asks for changes. The answer is always sent.
func (f *Follower) watch(ctx context.Context, wait time.Duration) chan watched {
	answer := make(chan watched, 1)
	after := f.replica.Revision()
	if !f.replica.Consistent() {
		wait = 0 // the changes that bring it there have happened
	}
	go func() {
		news, err := f.store.Watch(ctx, "", after, wait)
		answer <- watched{after, news, err}
	}()
	return answer
}

// take applies an answer of the watch.
func (f *Follower) take(w watched) error {
	if lost(w.err) {
		return w.err
	}
	if w.err != nil {
		// The replica stays as it is, and is behind until the service answers again.
		f.gate.Followed(false)
		f.publish(w.err)
		return nil
	}
	if err := f.replica.Apply(w.after, w.news); err != nil {
		return err
	}
	f.gate.Followed(f.replica.Consistent())
	f.publish(nil)
	return nil
}

// serve answers a term that this node has won: with the replica, if that may be decided
// on. Then it waits until the term is over, since what this node writes itself it need not
// follow.
func (f *Follower) serve(ctx context.Context, p promotion) error {
	select {
	case <-f.released:
	default:
	}
	if err := f.confirm(p); err != nil {
		p.reply <- promoted{err: err}
	} else {
		p.reply <- promoted{view: View{Entries: f.replica.Entries(), Revision: f.replica.Revision(), Gate: f.gate}}
	}
	f.replica = NewReplica(f.replica.prefixes, f.replica.maxBytes)
	f.publish(nil)
	select {
	case <-f.released:
	case <-ctx.Done():
	}
	return errUsed
}

// errNoTime means that the service did not show in time that the view is complete.
var errNoTime = errors.New("the view was not complete in time")

// confirm asks the service for all changes that there are, until the view is as new as the
// term.
func (f *Follower) confirm(p promotion) error {
	if err := f.gate.Won(p.term, time.Since(f.began)); err != nil {
		return err
	}
	for p.ctx.Err() == nil {
		w := <-f.watch(p.ctx, 0)
		if errors.Is(w.err, kvstore.ErrCompacted) {
			return w.err
		}
		if w.err == nil {
			if err := f.replica.Apply(w.after, w.news); err != nil {
				return err
			}
			f.gate.Read(f.replica.Revision(), f.replica.Consistent(), time.Since(f.began))
			if f.gate.MayDecide(p.term) {
				return nil
			}
		}
		transport.Pause(p.ctx, 50*time.Millisecond)
	}
	return errNoTime
}
