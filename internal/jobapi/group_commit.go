package jobapi

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// Store is the part of the state service that intake needs.
type Store interface {
	Get(ctx context.Context, p kvstore.Priority, key string) (wire.Entry, bool, error)
	CompareAndSwap(ctx context.Context, p kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error)
	Limits() kvstore.Limits
	Serving() bool
}

// accept is one job that wants its record created.
type accept struct {
	key    string
	value  json.RawMessage
	result chan accepted
}

// accepted is the outcome of an accept.
type accepted struct {
	version uint64 // of the record that was created
	known   bool   // a record was there already
	err     error
}

// groupCommit creates job records, those that wait at the same time in one
// transaction.
type groupCommit struct {
	store    Store
	share    float64 // of the state service's writes
	bytes    int     // most bytes of one record
	incoming chan *accept
	// waiting is how many wait for their records.
	waiting atomic.Int64
}

// manyWaiting is from how many on there is reason to think that the records come
// faster than they can be written.
const manyWaiting = 4

// pressed tells whether many wait for their records.
func (c *groupCommit) pressed() bool { return c.waiting.Load() >= manyWaiting }

// maxBytes keeps a transaction below the service's 64 KiB.
const maxBytes = 48 << 10

func newGroupCommit(store Store, share float64, bytes int) *groupCommit {
	return &groupCommit{store: store, share: share, bytes: bytes, incoming: make(chan *accept, 256)}
}

// ops is how many records go into one transaction.
func (c *groupCommit) ops() int {
	l := c.store.Limits()
	return max(1, min(l.MaxChanges, int(l.WriteRPS*c.share)))
}

var (
	errFull = errors.New("too many submissions are waiting")
	errLong = errors.New("the job's description is longer than can be recorded")
)

// endRoom is what a job's end may add to its record: the terminal state, two counts
// and the time of day. A record that fits without it could never be ended.
const endRoom = 96

// create has a job record created unless there is one.
func (c *groupCommit) create(ctx context.Context, ref string, rec ledger.JobRecord) (accepted, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return accepted{}, err
	}
	if len(value)+endRoom > c.bytes {
		return accepted{}, errLong
	}
	c.waiting.Add(1)
	defer c.waiting.Add(-1)
	a := &accept{key: ledger.JobKey(ref), value: value, result: make(chan accepted, 1)}
	select {
	case c.incoming <- a:
	default:
		return accepted{}, errFull
	}
	select {
	case r := <-a.result:
		return r, r.err
	case <-ctx.Done():
		return accepted{}, ctx.Err()
	}
}

func (c *groupCommit) run(ctx context.Context) {
	for {
		var batch []*accept
		size := 0
		select {
		case a := <-c.incoming:
			batch, size = append(batch, a), len(a.value)
		case <-ctx.Done():
			return
		}
	gather:
		for ops := c.ops(); len(batch) < ops && size < maxBytes-(4<<10); {
			select {
			case a := <-c.incoming:
				batch = append(batch, a)
				size += len(a.value) + 2*len(a.key) + 100
			default:
				break gather
			}
		}
		go c.commit(ctx, batch)
	}
}

// commitLimit is how long a batch is tried: the user still wants to hear in
// time that it did not go, or another node to try.
const commitLimit = 2 * time.Second

// commit creates a batch of records. Those that exist already are told so and
// the rest is tried once more without them.
func (c *groupCommit) commit(ctx context.Context, batch []*accept) {
	ctx, cancel := context.WithTimeout(ctx, commitLimit)
	defer cancel()
	for len(batch) > 0 {
		var txn wire.CompareAndSwap
		seen := map[string]bool{}
		var round, again []*accept
		for _, a := range batch {
			if seen[a.key] {
				// The same job twice in one batch: the second finds the first.
				again = append(again, a)
				continue
			}
			seen[a.key] = true
			round = append(round, a)
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: a.key})
			txn.Changes = append(txn.Changes, wire.Change{Set: a.key, Value: a.value})
		}
		ok, answer, err := c.store.CompareAndSwap(ctx, kvstore.PriorityAccept, txn)
		if ops := c.ops(); errors.Is(err, kvstore.ErrLimitsLowered) && len(batch) > ops {
			for part := range slices.Chunk(batch, ops) {
				c.commit(ctx, part)
			}
			return
		}
		if errors.Is(err, kvstore.ErrUnknownOutcome) && ctx.Err() == nil {
			// Creating is safe to repeat: what was carried out is then known.
			continue
		}
		if err != nil {
			for _, a := range batch {
				a.result <- accepted{err: err}
			}
			return
		}
		failed := map[string]bool{}
		for _, key := range answer.FailedKeys {
			failed[key] = true
		}
		for _, a := range round {
			switch {
			case ok:
				a.result <- accepted{version: answer.Revision}
			case failed[a.key]:
				a.result <- accepted{known: true}
			default:
				again = append(again, a)
			}
		}
		batch = again
	}
}
