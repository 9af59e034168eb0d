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

// Store is the part of the key-value store's client that the job API needs.
type Store interface {
	Get(ctx context.Context, p kvstore.Priority, key string) (wire.Entry, bool, error)
	CompareAndSwap(ctx context.Context, p kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error)
	Limits() kvstore.Limits
	// Serving reports whether the store serves this controller.
	Serving() bool
}

// Errors of creating a job's record.
var (
	errQueueFull     = errors.New("too many submissions are waiting")
	errRecordTooLong = errors.New("the job's description is longer than can be recorded")
	errRecordExists  = errors.New("the job has a record already")
)

const (
	// maxQueued bounds the records that wait for a batch.
	maxQueued = 256
	// contentionThreshold is from how many waiting records on they probably come faster than
	// they can be written.
	contentionThreshold = 4
	// maxTransactionBytes keeps a transaction below the store's 64 KiB.
	maxTransactionBytes = 48 << 10
	// lastRecordReserve is the room that the last record of a transaction may need.
	lastRecordReserve = 4 << 10
	// recordOverhead is what a record takes in a transaction besides its value and, twice,
	// its key.
	recordOverhead = 100
	// terminalStateBytes is what a job's end may add to its record: the terminal state,
	// two counts and the time of day. A record that fits without it could never be ended.
	terminalStateBytes = 96
	// commitTimeout is how long a batch is tried: the user has to learn in time that it
	// failed, or another controller to try.
	commitTimeout = 2 * time.Second
)

// pendingCreation is one record that waits for its creation.
type pendingCreation struct {
	key    string
	value  json.RawMessage
	result chan creationResult // has room for one
}

// creationResult is the version of the record that was created, or why it was not.
type creationResult struct {
	version uint64
	err     error
}

// groupCommit creates job records, those that wait at the same time in one transaction.
type groupCommit struct {
	store          Store
	writeShare     float64 // of the store's writes
	maxRecordBytes int
	queue          chan *pendingCreation
	waitingCallers atomic.Int64 // callers of create
}

func newGroupCommit(store Store, share float64, maxRecordBytes int) *groupCommit {
	return &groupCommit{store: store, writeShare: share, maxRecordBytes: maxRecordBytes, queue: make(chan *pendingCreation, maxQueued)}
}

// contended reports whether many records wait for their creation.
func (c *groupCommit) contended() bool { return c.waitingCallers.Load() >= contentionThreshold }

// maxBatch is how many records go into one transaction.
func (c *groupCommit) maxBatch() int {
	limits := c.store.Limits()
	return max(1, min(limits.MaxChanges, int(limits.WriteRPS*c.writeShare)))
}

// create creates a job's record and returns its version. If there is one already, the error
// is errRecordExists.
func (c *groupCommit) create(ctx context.Context, jobID string, record ledger.JobRecord) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	if len(value)+terminalStateBytes > c.maxRecordBytes {
		return 0, errRecordTooLong
	}
	c.waitingCallers.Add(1)
	defer c.waitingCallers.Add(-1)
	waiting := &pendingCreation{key: ledger.JobKey(jobID), value: value, result: make(chan creationResult, 1)}
	select {
	case c.queue <- waiting:
	default:
		return 0, errQueueFull
	}
	select {
	case result := <-waiting.result:
		return result.version, result.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// run commits the records that wait, in batches, until ctx ends.
func (c *groupCommit) run(ctx context.Context) {
	for {
		select {
		case first := <-c.queue:
			go c.commit(ctx, c.gatherBatch(first))
		case <-ctx.Done():
			return
		}
	}
}

// gatherBatch makes a batch of a record and of those that wait already.
func (c *groupCommit) gatherBatch(first *pendingCreation) []*pendingCreation {
	batch := []*pendingCreation{first}
	size := len(first.value)
	for limit := c.maxBatch(); len(batch) < limit && size < maxTransactionBytes-lastRecordReserve; {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
			size += len(next.value) + 2*len(next.key) + recordOverhead
		default:
			return batch
		}
	}
	return batch
}

// commit creates a batch of records. Those that exist already are reported as such, and the
// rest is tried once more without them.
func (c *groupCommit) commit(ctx context.Context, batch []*pendingCreation) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for len(batch) > 0 {
		attempt := newCommitAttempt(batch)
		created, response, err := c.store.CompareAndSwap(ctx, kvstore.PrioritySubmission, attempt.transaction)
		if limit := c.maxBatch(); errors.Is(err, kvstore.ErrLimitsLowered) && len(batch) > limit {
			for part := range slices.Chunk(batch, limit) {
				c.commit(ctx, part)
			}
			return
		}
		if errors.Is(err, kvstore.ErrUnknownOutcome) && ctx.Err() == nil {
			// Creating is safe to repeat: what was carried out then exists.
			continue
		}
		if err != nil {
			for _, waiting := range batch {
				waiting.result <- creationResult{err: err}
			}
			return
		}
		if created {
			batch = attempt.reportCreated(response.Revision)
		} else {
			batch = attempt.reportExisting(response.FailedKeys)
		}
	}
}

// commitAttempt is one try to create the records of a batch.
type commitAttempt struct {
	transaction wire.CompareAndSwap
	included    []*pendingCreation
	// duplicates are records of a key that another record of the batch has. They find that
	// one when they are tried.
	duplicates []*pendingCreation
}

func newCommitAttempt(batch []*pendingCreation) *commitAttempt {
	attempt := &commitAttempt{}
	seen := map[string]bool{}
	for _, waiting := range batch {
		if seen[waiting.key] {
			attempt.duplicates = append(attempt.duplicates, waiting)
			continue
		}
		seen[waiting.key] = true
		attempt.included = append(attempt.included, waiting)
		attempt.transaction.Conditions = append(attempt.transaction.Conditions, wire.Condition{Key: waiting.key})
		attempt.transaction.Changes = append(attempt.transaction.Changes, wire.Change{Set: waiting.key, Value: waiting.value})
	}
	return attempt
}

// reportCreated reports the version of the records that were created. It returns what is still
// to be tried.
func (a *commitAttempt) reportCreated(version uint64) []*pendingCreation {
	for _, waiting := range a.included {
		waiting.result <- creationResult{version: version}
	}
	return a.duplicates
}

// reportExisting reports the records that exist already, for which nothing was created. It
// returns what is still to be tried.
func (a *commitAttempt) reportExisting(existing []string) []*pendingCreation {
	again := a.duplicates
	for _, waiting := range a.included {
		if slices.Contains(existing, waiting.key) {
			waiting.result <- creationResult{err: errRecordExists}
			continue
		}
		again = append(again, waiting)
	}
	return again
}
