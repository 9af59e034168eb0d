package ledger

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/election"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// Store is the part of the state service that the ledger needs.
type Store interface {
	Get(ctx context.Context, p kvstore.Priority, key string) (wire.Entry, bool, error)
	List(ctx context.Context, p kvstore.Priority, under, after string, limit int) (wire.EntryPage, error)
	CompareAndSwap(ctx context.Context, p kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error)
}

// Write is one change of a key.
type Write struct {
	Key    string
	Value  any // nil deletes the key
	Urgent bool
	// Version is the key's version as the caller saw it, for keys that
	// another node has created; 0 when the ledger knows better.
	Version uint64
	// Tag is handed back once the key holds this value or a later one.
	Tag Tag
}

// Tag tells a caller which of its writes an outcome concerns.
type Tag interface {
	// IsTag marks the caller's types.
	IsTag()
}

// Ledger writes for one term of leadership. It owns the versions of all keys
// that the leader writes, commits waiting writes together, and has one
// transaction on its way at a time. A late copy of an old transaction always
// fails its conditions: each has the fence's version among them, and what follows
// a transaction of unknown outcome moves the fence. Without it, a copy that
// creates a key would find the key as it was before, missing, once it is deleted,
// and bring it back.
type Ledger struct {
	term     uint64
	store    Store
	bounds   func() Limits // those that hold at the moment
	limits   Limits        // as last asked for
	log      *slog.Logger
	incoming chan []Write
	// retries brings back what the service has rejected.
	retries chan outcome
	// Durable tells the tags of writes that are now durable.
	Durable chan []Tag
	// Rejected tells the tags of writes whose values are larger than the service
	// takes any more. They are not carried out, nor tried again.
	Rejected chan []Tag

	versions map[string]uint64
	pending  map[string]*pendingWrite
	urgent   []string
	ordinary []string
	resting  map[string]*pendingWrite // what the service rejects even so
	singly   map[string]bool          // keys that the service rejected: each goes by itself
	doubt    bool                     // a transaction's outcome is unknown: the fence is to be moved
	allowed  float64                  // ordinary writes that may go now
	refilled time.Time
}

// Limits bounds one transaction, and the rate of those writes that can wait.
type Limits struct {
	MaxChanges       int
	TransactionBytes int
	ValueBytes       int // most bytes of one value
	// DeferrableRate is how many ordinary writes a second there may be; 0: as many
	// as go. Under load there is always another finished task to write down,
	// and together they would leave nothing of the service's rate for urgent
	// writes and for submissions. What waits for its turn is written together
	// with what comes after it.
	DeferrableRate float64
}

// burst is how many ordinary writes may go at once.
func (l Limits) burst() float64 { return max(1, min(l.DeferrableRate/2, float64(l.MaxChanges))) }

type pendingWrite struct {
	value  json.RawMessage // nil deletes
	tags   []Tag
	urgent bool
}

// New makes the ledger of a term, within bounds that may change; Load, then Run.
func New(term uint64, store Store, bounds func() Limits, log *slog.Logger) *Ledger {
	return &Ledger{
		term: term, store: store, bounds: bounds, limits: bounds(), log: log,
		incoming: make(chan []Write, 64), retries: make(chan outcome), Durable: make(chan []Tag, 64), Rejected: make(chan []Tag, 64),
		versions: map[string]uint64{}, pending: map[string]*pendingWrite{}, singly: map[string]bool{}, resting: map[string]*pendingWrite{},
	}
}

// Load reads the whole ledger.
func (l *Ledger) Load(ctx context.Context) (Snapshot, error) {
	var entries []wire.Entry
	var revision uint64
	for _, prefix := range Prefixes() {
		listing, err := kvstore.ListAll(ctx, l.store, kvstore.PriorityLeader, prefix)
		if err != nil {
			return Snapshot{}, &KeyError{Op: OpList, Key: prefix, Err: err}
		}
		if revision == 0 {
			revision = listing.FirstRevision
		}
		entries = append(entries, listing.Entries...)
	}
	return l.Adopt(entries, revision), nil
}

// Adopt begins with the keys of the ledger as they were read, all of them at a revision
// or later.
func (l *Ledger) Adopt(entries []wire.Entry, revision uint64) Snapshot {
	for _, e := range entries {
		l.versions[e.Key] = e.Version
	}
	s := decodeSnapshot(entries)
	s.Revision = revision
	for _, malformed := range s.Malformed {
		l.log.Error("ledger key can't be read, going on without it", "key", malformed.Key, "error", malformed.Err)
	}
	return s
}

// Put hands writes to the ledger. It gives up only with ctx.
func (l *Ledger) Put(ctx context.Context, writes []Write) {
	select {
	case l.incoming <- writes:
	case <-ctx.Done():
	}
}

type outcome struct {
	keys   []string
	writes []*pendingWrite
	fenced bool // the fence was moved
	ok     bool
	answer wire.CompareAndSwapResponse
	err    error
	// reread holds the versions of keys whose condition failed.
	reread map[string]uint64
}

// Run commits until ctx ends or the term is over.
func (l *Ledger) Run(ctx context.Context) error {
	results := make(chan outcome, 1)
	committing := false
	var durable, tooLarge []Tag
	later := time.NewTimer(time.Hour)
	defer later.Stop()
	for {
		l.limits = l.bounds()
		if !committing {
			committing = l.commitNext(ctx, later, results)
		}
		select {
		case ws := <-l.incoming:
			if err := l.enqueueAll(ws); err != nil {
				return err
			}
		case r := <-results:
			committing = false
			if errors.Is(r.err, kvstore.ErrInvalidRequest) && len(r.keys) == 1 {
				l.resting[r.keys[0]] = r.writes[0]
				go l.rest(ctx, r)
				continue
			}
			tags, rejected, err := l.settle(r)
			if err != nil {
				return err
			}
			durable, tooLarge = append(durable, tags...), append(tooLarge, rejected...)
		case unlessEmpty(l.Rejected, tooLarge) <- tooLarge:
			tooLarge = nil
		case unlessEmpty(l.Durable, durable) <- durable:
			durable = nil
		case r := <-l.retries:
			l.retry(r)
		case <-later.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// unlessEmpty is a channel if there is something to be sent on it, or else nil.
func unlessEmpty(to chan []Tag, tags []Tag) chan []Tag {
	if len(tags) == 0 {
		return nil
	}
	return to
}

// commitNext begins the next transaction if one is due, and tells whether it did. If
// there is something that has to wait for its rate, later is set to when it may go.
func (l *Ledger) commitNext(ctx context.Context, later *time.Timer, results chan<- outcome) bool {
	if wait := l.wait(time.Now()); wait > 0 {
		later.Reset(wait)
		return false
	}
	if len(l.pending) == 0 {
		return false
	}
	keys, writes, txn := l.batch()
	fenced := l.doubt
	go func() {
		o := l.commit(ctx, txn)
		o.keys, o.writes, o.fenced = keys, writes, fenced
		results <- o
	}()
	return true
}

// retry puts back a write that the service has rejected, unless it was replaced.
func (l *Ledger) retry(r outcome) {
	if key := r.keys[0]; l.resting[key] == r.writes[0] {
		delete(l.resting, key)
		l.back(key, r.writes[0])
	}
}

// restFor is how long a write rests that the service rejects by itself.
const restFor = 10 * time.Second

// rest has a write that the service rejects tried again later, so that it holds up no
// other.
func (l *Ledger) rest(ctx context.Context, r outcome) {
	l.log.Error("ledger write rejected", "key", r.keys[0], "error", r.err)
	transport.Pause(ctx, restFor)
	select {
	case l.retries <- r:
	case <-ctx.Done():
	}
}

// back puts a write back unless a later write has replaced it.
func (l *Ledger) back(key string, old *pendingWrite) {
	if p := l.pending[key]; p != nil {
		p.tags = append(old.tags, p.tags...)
		return
	}
	l.pending[key] = old
	if old.urgent {
		l.urgent = append(l.urgent, key)
	} else {
		l.ordinary = append(l.ordinary, key)
	}
}

// commit carries out one transaction and, where it fails, does the waiting
// that must not hold up the ledger's mailbox.
func (l *Ledger) commit(ctx context.Context, txn wire.CompareAndSwap) outcome {
	o := l.transact(ctx, txn)
	if o.err != nil && !errors.Is(o.err, ErrLeadershipLost) {
		transport.Pause(ctx, 100*time.Millisecond)
	}
	return o
}

// transact carries out one transaction once.
func (l *Ledger) transact(ctx context.Context, txn wire.CompareAndSwap) outcome {
	var o outcome
	o.ok, o.answer, o.err = l.store.CompareAndSwap(ctx, kvstore.PriorityLeader, txn)
	if o.err != nil || o.ok {
		return o
	}
	// An earlier try whose outcome we did not learn was carried out, or a job
	// record was written by another node. Learn the versions anew.
	o.reread = map[string]uint64{}
	for _, key := range o.answer.FailedKeys {
		if key == election.LeaderKey {
			o.err = ErrLeadershipLost
			return o
		}
		e, _, err := l.store.Get(ctx, kvstore.PriorityLeader, key)
		if err != nil {
			l.log.Debug("ledger key not reread", "key", key, "error", err)
			continue
		}
		o.reread[key] = e.Version
	}
	return o
}

func (l *Ledger) enqueueAll(writes []Write) error {
	for _, w := range writes {
		if err := l.enqueue(w); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) enqueue(w Write) error {
	var value json.RawMessage
	if w.Value != nil {
		var err error
		if value, err = json.Marshal(w.Value); err != nil {
			return &KeyError{Op: OpEncode, Key: w.Key, Err: err}
		}
	}
	p := l.pending[w.Key]
	if p == nil {
		p = &pendingWrite{urgent: w.Urgent}
		l.pending[w.Key] = p
		if w.Urgent {
			l.urgent = append(l.urgent, w.Key)
		} else {
			l.ordinary = append(l.ordinary, w.Key)
		}
	} else if w.Urgent && !p.urgent {
		// The key moves to the urgent queue; batch skips the place it leaves.
		p.urgent = true
		l.urgent = append(l.urgent, w.Key)
	}
	p.value = value
	if _, ok := l.versions[w.Key]; !ok && w.Version > 0 {
		l.versions[w.Key] = w.Version
	}
	if old := l.resting[w.Key]; old != nil {
		// What the service has rejected of it is replaced.
		delete(l.resting, w.Key)
		p.tags = append(p.tags, old.tags...)
	}
	if w.Tag != nil {
		p.tags = append(p.tags, w.Tag)
	}
	return nil
}

// wait tells how long there is nothing to be sent though something is pending:
// no urgent write, and the ordinary ones have used up their rate.
func (l *Ledger) wait(now time.Time) time.Duration {
	if l.limits.DeferrableRate == 0 {
		return 0
	}
	l.allowed = min(l.limits.burst(), l.allowed+l.limits.DeferrableRate*now.Sub(l.refilled).Seconds())
	l.refilled = now
	for len(l.urgent) > 0 && l.pending[l.urgent[0]] == nil {
		l.urgent = l.urgent[1:]
	}
	need := min(l.limits.burst(), float64(len(l.pending)))
	if len(l.urgent) > 0 || need == 0 || l.allowed >= need {
		return 0
	}
	return time.Duration((need-l.allowed)/l.limits.DeferrableRate*float64(time.Second)) + time.Millisecond
}

// batch takes as many pending writes as one transaction may carry.
func (l *Ledger) batch() ([]string, []*pendingWrite, wire.CompareAndSwap) {
	txn := wire.CompareAndSwap{Conditions: []wire.Condition{{Key: election.LeaderKey, Version: l.term}, {Key: fenceKey, Version: l.versions[fenceKey]}}}
	ops := l.limits.MaxChanges
	if l.doubt {
		txn.Changes = append(txn.Changes, wire.Change{Set: fenceKey, Value: json.RawMessage(strconv.FormatUint(l.term, 10))})
		ops--
	}
	var keys []string
	var writes []*pendingWrite
	size := 200
	take := func(queue *[]string, most int) {
		for len(*queue) > 0 && len(keys) < min(most, ops) {
			key := (*queue)[0]
			p := l.pending[key]
			if p == nil {
				*queue = (*queue)[1:]
				continue
			}
			if l.singly[key] && len(keys) > 0 || len(keys) == 1 && l.singly[keys[0]] {
				return
			}
			cost := len(p.value) + 2*len(key) + 100
			if len(keys) > 0 && size+cost > l.limits.TransactionBytes {
				return
			}
			size += cost
			*queue = (*queue)[1:]
			delete(l.pending, key)
			keys = append(keys, key)
			writes = append(writes, p)
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, Version: l.versions[key]})
			if p.value == nil {
				txn.Changes = append(txn.Changes, wire.Change{Delete: key})
			} else {
				txn.Changes = append(txn.Changes, wire.Change{Set: key, Value: p.value})
			}
		}
	}
	take(&l.urgent, l.limits.MaxChanges)
	if l.limits.DeferrableRate == 0 {
		take(&l.ordinary, l.limits.MaxChanges)
		return keys, writes, txn
	}
	urgent := len(keys)
	take(&l.ordinary, urgent+int(l.allowed))
	l.allowed -= float64(len(keys) - urgent)
	return keys, writes, txn
}

// settle takes the outcome of a transaction and returns the tags of what is
// durable now, and of what is too large to become so. What is neither goes back
// unless a later write has replaced it.
func (l *Ledger) settle(r outcome) (durable, tooLarge []Tag, err error) {
	if r.err == nil && r.ok {
		if r.fenced {
			l.versions[fenceKey], l.doubt = r.answer.Revision, false
		}
		var tags []Tag
		for i, key := range r.keys {
			if r.writes[i].value == nil {
				delete(l.versions, key)
			} else {
				l.versions[key] = r.answer.Revision
			}
			delete(l.singly, key)
			tags = append(tags, r.writes[i].tags...)
		}
		return tags, nil, nil
	}
	switch {
	case errors.Is(r.err, ErrLeadershipLost):
		return nil, nil, r.err
	case errors.Is(r.err, kvstore.ErrUnknownOutcome):
		l.doubt = true
		l.log.Debug("ledger write of unknown outcome", "keys", len(r.keys), "error", r.err)
	case errors.Is(r.err, kvstore.ErrLimitsLowered):
		l.limits = l.bounds()
	case errors.Is(r.err, kvstore.ErrInvalidRequest):
		// One of them is at fault: they are tried singly from now on.
		for _, key := range r.keys {
			l.singly[key] = true
		}
	case r.err != nil:
		l.log.Debug("ledger write failed", "keys", len(r.keys), "error", r.err)
	}
	for key, version := range r.reread {
		l.versions[key] = version
	}
	for i, key := range r.keys {
		old := r.writes[i]
		if errors.Is(r.err, kvstore.ErrLimitsLowered) && l.limits.ValueBytes > 0 && len(old.value) > l.limits.ValueBytes {
			l.log.Info("value is larger than the state service takes any more", "key", key, "bytes", len(old.value))
			tooLarge = append(tooLarge, old.tags...)
			continue
		}
		l.back(key, old)
	}
	return nil, tooLarge, nil
}
