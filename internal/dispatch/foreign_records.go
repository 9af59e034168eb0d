package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/election"
	"leadproxy/internal/federation"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// foreignRetryInterval is the delay before a write whose outcome is unknown is retried.
const foreignRetryInterval = 200 * time.Millisecond

// Errors of writing the record of a foreign job.
var (
	// errTermEnded means that the leader key has changed, so this term must not write any more.
	errTermEnded = errors.New("leadership term has ended")
	// errForeignRecordChanged means that another transaction has written the record's key.
	errForeignRecordChanged = errors.New("record of the foreign job was changed by another transaction")
)

// writeForeignRecord writes the record of a foreign job by compare-and-swap. It retries until the
// outcome is certain, which it posts to the core, or until the term has ended.
func (t *term) writeForeignRecord(ctx context.Context, effect scheduler.WriteForeign) {
	job := effect.Write.Key.JobID
	transaction, err := t.newForeignTransaction(effect)
	if err != nil {
		t.log.Error("foreign job record encoding failed", "job", job, "error", err)
		return
	}
	for ctx.Err() == nil {
		result, err := t.tryForeignWrite(ctx, effect, transaction)
		if err == nil {
			t.postResult(ctx, result)
			return
		}
		if errors.Is(err, errTermEnded) {
			return
		}
		t.log.Debug("foreign job record write failed, retrying", "job", job, "error", err)
		transport.Pause(ctx, foreignRetryInterval)
	}
}

// tryForeignWrite attempts the write once. An error other than errTermEnded means that the outcome
// is not certain yet.
func (t *term) tryForeignWrite(ctx context.Context, effect scheduler.WriteForeign, transaction wire.CompareAndSwap) (scheduler.ForeignWriteResult, error) {
	swapped, response, err := t.store.CompareAndSwap(ctx, kvstore.PriorityLeader, transaction)
	switch {
	case err != nil:
		return scheduler.ForeignWriteResult{}, err
	case swapped:
		return scheduler.ForeignWriteResult{Write: effect.Write, Job: effect.Job, Version: response.Revision}, nil
	case slices.Contains(response.FailedKeys, election.LeaderKey):
		return scheduler.ForeignWriteResult{}, errTermEnded
	}
	return t.resolveForeignWrite(ctx, effect)
}

// newForeignTransaction returns the transaction that writes a foreign job's record and, if the job
// is accepted, the job record. A copy of it that the store executes late has no effect: it finds
// the version of the record's key changed, and that key is never deleted.
func (t *term) newForeignTransaction(effect scheduler.WriteForeign) (wire.CompareAndSwap, error) {
	key := ledger.ForeignKey(effect.Write.Key)
	value, err := json.Marshal(effect.Write.Record)
	if err != nil {
		return wire.CompareAndSwap{}, fmt.Errorf("encode the record of the foreign job: %w", err)
	}
	transaction := wire.CompareAndSwap{
		Conditions: []wire.Condition{{Key: election.LeaderKey, Version: t.number}, {Key: key, Version: effect.Write.Version}},
		Changes:    []wire.Change{{Set: key, Value: value}},
	}
	if effect.Job == nil {
		return transaction, nil
	}
	record, err := json.Marshal(effect.Job)
	if err != nil {
		return wire.CompareAndSwap{}, fmt.Errorf("encode the job record: %w", err)
	}
	jobKey := ledger.JobKey(effect.Write.Key.JobID)
	transaction.Conditions = append(transaction.Conditions, wire.Condition{Key: jobKey})
	transaction.Changes = append(transaction.Changes, wire.Change{Set: jobKey, Value: record})
	return transaction, nil
}

// resolveForeignWrite determines the outcome of a write whose conditions failed: either an earlier
// attempt succeeded, or a job with that ID already exists. Otherwise the error is
// errForeignRecordChanged.
func (t *term) resolveForeignWrite(ctx context.Context, effect scheduler.WriteForeign) (scheduler.ForeignWriteResult, error) {
	entry, found, err := t.store.Get(ctx, kvstore.PriorityLeader, ledger.ForeignKey(effect.Write.Key))
	if err != nil {
		return scheduler.ForeignWriteResult{}, err
	}
	var record federation.ForeignRecord
	if found && json.Unmarshal(entry.Value, &record) == nil && record == effect.Write.Record {
		return scheduler.ForeignWriteResult{Write: effect.Write, Job: effect.Job, Version: entry.Version}, nil
	}
	if entry.Version == effect.Write.Version && effect.Job != nil {
		return scheduler.ForeignWriteResult{Write: effect.Write, Job: effect.Job, JobExists: true}, nil
	}
	return scheduler.ForeignWriteResult{}, errForeignRecordChanged
}
