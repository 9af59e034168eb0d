package ledger

import (
	"time"

	"github.com/segmentio/encoding/json"
)

// Write sets or deletes one key.
type Write struct {
	Key   string
	Value any // nil deletes the key
	// Urgent writes are sent immediately. The others are deferrable: their rate is limited by
	// Limits.DeferrableRate.
	Urgent bool
	// Version is the version that the caller saw of a key that another controller has created.
	// It is ignored if the ledger knows a version of the key; 0 means unknown.
	Version uint64
	// Tag, if not nil, is sent on Ledger.Durable once the key holds this value or a later one, or
	// on Ledger.Rejected.
	Tag Tag
}

// Tag identifies a write to its caller.
type Tag interface {
	// IsTag marks types as tags; it is not called.
	IsTag()
}

// encode returns the write with its value encoded. A failure is a *KeyError.
func (w *Write) encode() (*pendingWrite, error) {
	pending := &pendingWrite{key: w.Key, urgent: w.Urgent}
	if w.Tag != nil {
		pending.tags = []Tag{w.Tag}
	}
	if w.Value == nil {
		return pending, nil
	}
	value, err := json.Marshal(w.Value)
	if err != nil {
		return nil, &KeyError{Op: OpEncode, Key: w.Key, Err: err}
	}
	pending.value = value
	return pending, nil
}

// pendingWrite is the latest value of a key, not yet durable. It carries the tags of the earlier
// values that it has replaced too.
type pendingWrite struct {
	key    string
	value  json.RawMessage // nil deletes the key
	tags   []Tag
	urgent bool
}

// writeQueue holds the writes that are not yet part of a transaction, at most one per key.
type writeQueue struct {
	pending map[string]*pendingWrite
	// urgent and deferrable list the keys of pending writes in order of arrival. Keys whose
	// write is no longer pending are skipped.
	urgent     []string
	deferrable []string
	// rejected holds, by key, the writes that the store rejected even in a transaction of their
	// own. They are retried later, unless a later write of the key replaces them.
	rejected map[string]*pendingWrite
	// isolatedKeys holds the keys of transactions that the store rejected. Until each is
	// committed, it is written in a transaction of its own, to find the one that is at fault.
	isolatedKeys map[string]bool
	budget       deferrableBudget
}

func newWriteQueue() writeQueue {
	return writeQueue{pending: map[string]*pendingWrite{}, rejected: map[string]*pendingWrite{}, isolatedKeys: map[string]bool{}}
}

// add queues a write. It replaces a pending or rejected write of the same key and takes over its
// tags.
func (q *writeQueue) add(write *pendingWrite) {
	if replaced := q.rejected[write.key]; replaced != nil {
		delete(q.rejected, write.key)
		write.tags = append(replaced.tags, write.tags...)
	}
	waiting := q.pending[write.key]
	if waiting == nil {
		q.append(write)
		return
	}
	if write.urgent && !waiting.urgent {
		// The key is now urgent. Its entry in deferrable is skipped later.
		waiting.urgent = true
		q.urgent = append(q.urgent, write.key)
	}
	waiting.value = write.value
	waiting.tags = append(waiting.tags, write.tags...)
}

// append queues a write of a key that has no pending write.
func (q *writeQueue) append(write *pendingWrite) {
	q.pending[write.key] = write
	if write.urgent {
		q.urgent = append(q.urgent, write.key)
	} else {
		q.deferrable = append(q.deferrable, write.key)
	}
}

// requeue puts back a write that was not applied. If a later write of the key is pending, that
// one takes over its tags instead.
func (q *writeQueue) requeue(write *pendingWrite) {
	if later := q.pending[write.key]; later != nil {
		later.tags = append(write.tags, later.tags...)
		return
	}
	q.append(write)
}

// isolate makes each of the writes go into a transaction of its own.
func (q *writeQueue) isolate(writes []*pendingWrite) {
	for _, write := range writes {
		q.isolatedKeys[write.key] = true
	}
}

// reject sets aside a write that the store rejected even in a transaction of its own.
func (q *writeQueue) reject(write *pendingWrite) { q.rejected[write.key] = write }

// retry requeues a rejected write, unless a later write of the key has replaced it.
func (q *writeQueue) retry(write *pendingWrite) {
	if q.rejected[write.key] == write {
		delete(q.rejected, write.key)
		q.requeue(write)
	}
}

// delay returns the time until the next transaction is due: more than 0 only if no urgent write is
// pending and the rate of the deferrable ones is used up.
func (q *writeQueue) delay(limits Limits, now time.Time) time.Duration {
	if limits.DeferrableRate == 0 {
		return 0
	}
	q.budget.refill(limits, now)
	if q.hasUrgent() {
		return 0
	}
	return q.budget.delay(limits, len(q.pending))
}

// hasUrgent reports whether an urgent write is pending. It drops leading keys whose write is no
// longer pending.
func (q *writeQueue) hasUrgent() bool {
	for len(q.urgent) > 0 && q.pending[q.urgent[0]] == nil {
		q.urgent = q.urgent[1:]
	}
	return len(q.urgent) > 0
}

// takeBatch removes and returns the writes of the next transaction, as many as fit: urgent ones
// first, then deferrable ones as far as their rate allows.
func (q *writeQueue) takeBatch(limits Limits, maxWrites int) []*pendingWrite {
	b := batch{maxWrites: maxWrites, maxBytes: limits.TransactionBytes, bytes: transactionOverheadBytes}
	q.urgent = q.fill(&b, q.urgent, maxWrites)
	if limits.DeferrableRate == 0 {
		q.deferrable = q.fill(&b, q.deferrable, maxWrites)
		return b.writes
	}
	urgent := len(b.writes)
	q.deferrable = q.fill(&b, q.deferrable, urgent+q.budget.available())
	q.budget.spend(len(b.writes) - urgent)
	return b.writes
}

// fill moves the writes of keys, in order, to a batch until the batch is full or has upTo writes.
// It returns the remaining keys.
func (q *writeQueue) fill(b *batch, keys []string, upTo int) []string {
	for len(keys) > 0 && len(b.writes) < min(upTo, b.maxWrites) {
		write := q.pending[keys[0]]
		if write == nil {
			keys = keys[1:]
			continue
		}
		if !b.add(write, q.isolatedKeys[write.key]) {
			return keys
		}
		delete(q.pending, write.key)
		keys = keys[1:]
	}
	return keys
}
