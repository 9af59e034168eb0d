package ledger

import (
	"time"

	"github.com/segmentio/encoding/json"
)

// Write is one change of a key.
type Write struct {
	Key   string
	Value any // nil deletes the key
	// Urgent writes go at once. The others are deferrable: their rate is limited.
	Urgent bool
	// Version is the key's version as the caller saw it, for keys that
	// another controller has created; 0 when the ledger knows better.
	Version uint64
	// Tag is handed back once the key holds this value or a later one.
	Tag Tag
}

// Tag tells a caller which of its writes an outcome concerns.
type Tag interface {
	// IsTag marks the caller's types.
	IsTag()
}

// encode is the write as it waits.
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

// pendingWrite is the latest value of a key that is still to be written. It answers for the
// tags of the earlier values that it has replaced.
type pendingWrite struct {
	key    string
	value  json.RawMessage // nil deletes
	tags   []Tag
	urgent bool
}

// writeQueue holds the writes that wait for a transaction, at most one for each key.
type writeQueue struct {
	pending map[string]*pendingWrite
	// urgent and deferrable are the keys of pending writes in the order of their arrival.
	// A key may stand in them whose write has gone; it is skipped.
	urgent     []string
	deferrable []string
	// rejected are writes that the store rejects even in a transaction of their own, by
	// key. They are retried later, unless a later write replaces them.
	rejected map[string]*pendingWrite
	// isolatedKeys were part of a transaction that the store rejected. Until it is known
	// which of them is at fault, each goes in a transaction of its own.
	isolatedKeys map[string]bool
	budget       deferrableBudget
}

func newWriteQueue() writeQueue {
	return writeQueue{pending: map[string]*pendingWrite{}, rejected: map[string]*pendingWrite{}, isolatedKeys: map[string]bool{}}
}

// add queues a write, which replaces what waits for the same key.
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
		// The key moves to the urgent writes. The place that it leaves is skipped.
		waiting.urgent = true
		q.urgent = append(q.urgent, write.key)
	}
	waiting.value = write.value
	waiting.tags = append(waiting.tags, write.tags...)
}

// append queues a write of a key for which none waits.
func (q *writeQueue) append(write *pendingWrite) {
	q.pending[write.key] = write
	if write.urgent {
		q.urgent = append(q.urgent, write.key)
	} else {
		q.deferrable = append(q.deferrable, write.key)
	}
}

// requeue puts a write back that was not carried out. If a later write has replaced it, that
// one answers for its tags.
func (q *writeQueue) requeue(write *pendingWrite) {
	if later := q.pending[write.key]; later != nil {
		later.tags = append(write.tags, later.tags...)
		return
	}
	q.append(write)
}

// isolate has each of some writes go in a transaction of its own.
func (q *writeQueue) isolate(writes []*pendingWrite) {
	for _, write := range writes {
		q.isolatedKeys[write.key] = true
	}
}

// reject sets a write aside that the store rejects even by itself.
func (q *writeQueue) reject(write *pendingWrite) { q.rejected[write.key] = write }

// retry requeues a rejected write, unless it was replaced.
func (q *writeQueue) retry(write *pendingWrite) {
	if q.rejected[write.key] == write {
		delete(q.rejected, write.key)
		q.requeue(write)
	}
}

// delay is how long no transaction is due although writes wait: none of them is urgent, and
// the deferrable ones have used up their rate.
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

// hasUrgent tells whether an urgent write waits. It drops keys whose writes have gone.
func (q *writeQueue) hasUrgent() bool {
	for len(q.urgent) > 0 && q.pending[q.urgent[0]] == nil {
		q.urgent = q.urgent[1:]
	}
	return len(q.urgent) > 0
}

// takeBatch removes as many writes as one transaction may carry, urgent ones first, then
// deferrable ones as far as their rate allows.
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

// fill moves writes from the front of a list of keys to a batch until that has so many, and
// returns what is left of the list.
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
