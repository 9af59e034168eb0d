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

// Store is the part of the key-value store's client that the job API uses.
type Store interface {
	Get(ctx context.Context, p kvstore.Priority, key string) (wire.Entry, bool, error)
	CompareAndSwap(ctx context.Context, p kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error)
	Limits() kvstore.Limits
	// Serving reports whether the store currently serves this controller.
	Serving() bool
}

// Errors of creating a job record. The text of errRecordTooLong is part of an HTTP response.
var (
	errQueueFull     = errors.New("queue of submissions is full")
	errRecordTooLong = errors.New("the job's description is longer than can be recorded")
	errRecordExists  = errors.New("job already has a record")
)

const (
	// maxQueued is the maximum number of records that wait for a batch.
	maxQueued = 256
	// contentionThreshold is the number of waiting records from which on submissions probably
	// arrive faster than they can be written.
	contentionThreshold = 4
	// maxTransactionBytes keeps a transaction below the store's limit of 64 KiB.
	maxTransactionBytes = 48 << 10
	// lastRecordReserve is the size in bytes that is reserved for the last record of a
	// transaction, because a record is added before its size is checked.
	lastRecordReserve = 4 << 10
	// recordOverhead is the size in bytes of a record in a transaction, without its value and
	// its key, which occurs twice.
	recordOverhead = 100
	// terminalStateBytes is the maximum size in bytes by which the end of a job enlarges its
	// record: the terminal state, two counts and the time of day. A record that only fits
	// without them could never be ended.
	terminalStateBytes = 96
	// commitTimeout bounds the attempts to commit a batch. It leaves time to forward the
	// submission to another controller, or to tell the user that it failed.
	commitTimeout = 2 * time.Second
)

// pendingCreation is a record that waits to be created.
type pendingCreation struct {
	key    string
	value  json.RawMessage
	result chan creationResult // buffered, so that commit never blocks
}

// creationResult is the version of a created record, or the error if it was not created.
type creationResult struct {
	version uint64
	err     error
}

// groupCommit creates job records. Records that wait at the same time are created in one
// transaction.
type groupCommit struct {
	store          Store
	writeShare     float64 // this controller's share of the store's write rate, up to 1
	maxRecordBytes int
	queue          chan *pendingCreation
	waitingCallers atomic.Int64 // number of callers of create
}

func newGroupCommit(store Store, share float64, maxRecordBytes int) *groupCommit {
	return &groupCommit{store: store, writeShare: share, maxRecordBytes: maxRecordBytes, queue: make(chan *pendingCreation, maxQueued)}
}

// contended reports whether at least contentionThreshold records wait to be created.
func (c *groupCommit) contended() bool { return c.waitingCallers.Load() >= contentionThreshold }

// maxBatch returns the maximum number of records in one transaction.
func (c *groupCommit) maxBatch() int {
	limits := c.store.Limits()
	return max(1, min(limits.MaxChanges, int(limits.WriteRPS*c.writeShare)))
}

// create creates a job record and returns its version. The error is errRecordExists if the job has
// one already.
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
	creation := &pendingCreation{key: ledger.JobKey(jobID), value: value, result: make(chan creationResult, 1)}
	select {
	case c.queue <- creation:
	default:
		return 0, errQueueFull
	}
	select {
	case result := <-creation.result:
		return result.version, result.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// run commits waiting records in batches until ctx ends.
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

// gatherBatch returns a batch of the given record and others that are already waiting.
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

// commit creates the records of a batch and reports the result of each. If some of them already
// exist, it retries without these.
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
			// Creating records is safe to repeat: if the transaction was executed, they
			// exist.
			continue
		}
		if err != nil {
			for _, creation := range batch {
				creation.result <- creationResult{err: err}
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

// commitAttempt is one attempt to create the records of a batch.
type commitAttempt struct {
	transaction wire.CompareAndSwap
	included    []*pendingCreation
	// duplicates are records with the same key as an included record. They are attempted
	// afterwards, and then find that record.
	duplicates []*pendingCreation
}

// newCommitAttempt returns an attempt that includes the first record of each key in the batch.
func newCommitAttempt(batch []*pendingCreation) *commitAttempt {
	attempt := &commitAttempt{}
	seen := map[string]bool{}
	for _, creation := range batch {
		if seen[creation.key] {
			attempt.duplicates = append(attempt.duplicates, creation)
			continue
		}
		seen[creation.key] = true
		attempt.included = append(attempt.included, creation)
		attempt.transaction.Conditions = append(attempt.transaction.Conditions, wire.Condition{Key: creation.key})
		attempt.transaction.Changes = append(attempt.transaction.Changes, wire.Change{Set: creation.key, Value: creation.value})
	}
	return attempt
}

// reportCreated reports the version of the included records, which were created. It returns the
// records that are still to be attempted.
func (a *commitAttempt) reportCreated(version uint64) []*pendingCreation {
	for _, creation := range a.included {
		creation.result <- creationResult{version: version}
	}
	return a.duplicates
}

// reportExisting reports errRecordExists for the included records whose keys already exist, because
// of which the attempt created nothing. It returns the records that are still to be attempted.
func (a *commitAttempt) reportExisting(existing []string) []*pendingCreation {
	remaining := a.duplicates
	for _, creation := range a.included {
		if slices.Contains(existing, creation.key) {
			creation.result <- creationResult{err: errRecordExists}
			continue
		}
		remaining = append(remaining, creation)
	}
	return remaining
}
