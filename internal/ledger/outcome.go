package ledger

import (
	"context"
	"errors"

	"leadproxy/internal/kvstore"
)

// settledTags are the tags of writes about which the ledger has nothing more to do.
type settledTags struct {
	durable  []Tag
	rejected []Tag // their values are too large
}

func (s *settledTags) add(more settledTags) {
	s.durable = append(s.durable, more.durable...)
	s.rejected = append(s.rejected, more.rejected...)
}

// applyOutcome takes what came of a transaction and returns the tags of what is settled by it.
// The other writes go back into the queue. The only possible error is ErrLeadershipLost.
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

// applyCommit takes note of a transaction that was carried out.
func (l *Ledger) applyCommit(o outcome) settledTags {
	var settled settledTags
	l.transactions.recordCommit(o.transaction, o.response.Revision)
	for _, write := range o.transaction.writes {
		delete(l.queue.isolatedKeys, write.key)
		settled.durable = append(settled.durable, write.tags...)
	}
	return settled
}

// applyFailure draws the consequences of the error of a transaction, if it has one.
func (l *Ledger) applyFailure(o outcome) {
	writes := o.transaction.writes
	switch {
	case errors.Is(o.err, kvstore.ErrUnknownOutcome):
		l.transactions.outcomeUnknown = true
		l.log.Debug("ledger transaction outcome unknown", "keys", len(writes), "error", o.err)
	case errors.Is(o.err, kvstore.ErrLimitsLowered):
		l.limits = l.currentLimits()
	case errors.Is(o.err, kvstore.ErrInvalidRequest):
		l.queue.isolate(writes) // one of them is at fault
	case o.err != nil:
		l.log.Debug("ledger transaction failed", "keys", len(writes), "error", o.err)
	}
}

// requeue puts the writes of a transaction back that was not carried out. Values that exceed
// limits which were lowered meanwhile are rejected instead.
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
