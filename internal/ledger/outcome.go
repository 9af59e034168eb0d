package ledger

import (
	"context"
	"errors"

	"leadproxy/internal/kvstore"
)

// settledTags holds the tags of writes that the ledger has finished with.
type settledTags struct {
	durable  []Tag
	rejected []Tag // values that exceed the lowered limit
}

func (s *settledTags) add(other settledTags) {
	s.durable = append(s.durable, other.durable...)
	s.rejected = append(s.rejected, other.rejected...)
}

// applyOutcome processes the outcome of a transaction and returns the tags of the writes that it
// settles. Other writes go back into the queue, or are retried later. The only possible error is
// ErrLeadershipLost.
func (l *Ledger) applyOutcome(ctx context.Context, o outcome) (settledTags, error) {
	switch {
	case o.err == nil && o.committed:
		return l.applyCommit(o), nil
	case errors.Is(o.err, ErrLeadershipLost):
		return settledTags{}, o.err
	case o.rejectedAlone():
		l.retryLater(ctx, o.transaction.writes[0], o.err)
		return settledTags{}, nil
	}
	l.applyFailure(o)
	for key, version := range o.versions {
		l.transactions.versions[key] = version
	}
	return l.requeue(o), nil
}

// applyCommit processes a transaction that was applied: all its writes are durable.
func (l *Ledger) applyCommit(o outcome) settledTags {
	var settled settledTags
	l.transactions.recordCommit(o.transaction, o.response.Revision)
	for _, write := range o.transaction.writes {
		delete(l.queue.isolatedKeys, write.key)
		settled.durable = append(settled.durable, write.tags...)
	}
	return settled
}

// applyFailure reacts to the error of a transaction, if there is one. It does not requeue the
// writes.
func (l *Ledger) applyFailure(o outcome) {
	writes := o.transaction.writes
	switch {
	case errors.Is(o.err, kvstore.ErrUnknownOutcome):
		l.transactions.outcomeUnknown = true
		l.log.Debug("ledger transaction outcome unknown", "keys", len(writes), "error", o.err)
	case errors.Is(o.err, kvstore.ErrLimitsLowered):
		l.limits = l.currentLimits()
	case errors.Is(o.err, kvstore.ErrInvalidRequest):
		l.queue.isolate(writes) // at least one of them is invalid
	case o.err != nil:
		l.log.Debug("ledger transaction failed", "keys", len(writes), "error", o.err)
	}
}

// requeue puts the writes of a failed transaction back into the queue. If it failed because the
// store's limits were lowered, values that exceed the new limit are returned as rejected instead.
func (l *Ledger) requeue(o outcome) settledTags {
	var settled settledTags
	limitsLowered := errors.Is(o.err, kvstore.ErrLimitsLowered)
	for _, write := range o.transaction.writes {
		if limitsLowered && l.limits.ValueBytes > 0 && len(write.value) > l.limits.ValueBytes {
			l.log.Info("ledger value exceeds the lowered limit", "key", write.key, "bytes", len(write.value))
			settled.rejected = append(settled.rejected, write.tags...)
			continue
		}
		l.queue.requeue(write)
	}
	return settled
}
