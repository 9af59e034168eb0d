package ledger

import (
	"reflect"
	"testing"
	"time"
)

// keysOf returns the keys of writes.
func keysOf(writes []*pendingWrite) []string {
	var keys []string
	for _, write := range writes {
		keys = append(keys, write.key)
	}
	return keys
}

// queueOf returns a queue of deferrable writes of the keys. The value of each write is its key, and
// its tag is its position, counted from 1.
func queueOf(keys ...string) *writeQueue {
	q := newWriteQueue()
	for i, key := range keys {
		q.add(&pendingWrite{key: key, value: []byte(key), tags: []Tag{numberTag(i + 1)}})
	}
	return &q
}

// takeExpectedBatch takes a batch from the queue and checks that it consists of the keys in order.
func takeExpectedBatch(t *testing.T, q *writeQueue, keys ...string) []*pendingWrite {
	t.Helper()
	writes := q.takeBatch(testLimits, testLimits.MaxChanges)
	if !reflect.DeepEqual(keysOf(writes), keys) {
		t.Errorf("the batch has %v, want %v", keysOf(writes), keys)
	}
	return writes
}

// TestLaterWriteReplacesAnEarlierOne checks that one write remains, with the later value and the
// tags of both.
func TestLaterWriteReplacesAnEarlierOne(t *testing.T) {
	both := []Tag{numberTag(1), numberTag(2)}
	later := func() *pendingWrite { return &pendingWrite{key: "a", value: []byte("later"), tags: both[1:]} }
	check := func(t *testing.T, q *writeQueue) {
		t.Helper()
		write := takeExpectedBatch(t, q, "a")[0]
		if string(write.value) != "later" || !reflect.DeepEqual(write.tags, both) {
			t.Errorf("value %s, tags %v; want value later and the tags of both writes", write.value, write.tags)
		}
	}
	t.Run("earlier write is pending", func(t *testing.T) {
		q := queueOf("a")
		q.add(later())
		check(t, q)
	})
	t.Run("earlier write is requeued after a failed transaction", func(t *testing.T) {
		q := queueOf("a")
		earlier := takeExpectedBatch(t, q, "a")[0]
		q.add(later())
		q.requeue(earlier)
		check(t, q)
	})
	t.Run("earlier write was rejected", func(t *testing.T) {
		q := queueOf("a")
		earlier := takeExpectedBatch(t, q, "a")[0]
		q.reject(earlier)
		q.add(later())
		q.retry(earlier)
		check(t, q)
	})
}

// TestRejectedWriteIsRetried checks that a rejected write is in no batch until its retry, and then
// has the same value and tags.
func TestRejectedWriteIsRetried(t *testing.T) {
	q := queueOf("a")
	rejected := takeExpectedBatch(t, q, "a")[0]
	q.reject(rejected)
	takeExpectedBatch(t, q)
	q.retry(rejected)
	if retried := takeExpectedBatch(t, q, "a")[0]; retried != rejected {
		t.Errorf("retried write is %+v, want %+v", retried, rejected)
	}
}

// TestIsolatedKeysAreBatchedAlone checks that no isolated key shares a batch with another write.
func TestIsolatedKeysAreBatchedAlone(t *testing.T) {
	q := queueOf("a", "b", "c", "d")
	q.isolate([]*pendingWrite{{key: "a"}, {key: "c"}})
	takeExpectedBatch(t, q, "a")
	takeExpectedBatch(t, q, "b")
	takeExpectedBatch(t, q, "c")
	takeExpectedBatch(t, q, "d")
}

// TestWriteBecomingUrgentMovesAhead checks that a deferrable write that is replaced by an urgent one
// moves ahead of other deferrable writes and is written only once.
func TestWriteBecomingUrgentMovesAhead(t *testing.T) {
	q := queueOf("a", "b")
	q.add(&pendingWrite{key: "b", value: []byte("urgent"), urgent: true})
	takeExpectedBatch(t, q, "b", "a")
	takeExpectedBatch(t, q)
}

// TestDeferrableBudget checks that a full budget allows a burst, and that an empty one delays writes
// until it is refilled at the rate.
func TestDeferrableBudget(t *testing.T) {
	limits := Limits{MaxChanges: 40, DeferrableRate: 10} // a burst is 5
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var b deferrableBudget
	b.refill(limits, start)
	if b.available() != 5 || b.delay(limits, 99) != 0 {
		t.Errorf("new budget allows %d writes and delays 99 by %v, want 5 and no delay", b.available(), b.delay(limits, 99))
	}
	b.spend(5)
	if wait := b.delay(limits, 2); wait != 201*time.Millisecond {
		t.Errorf("two writes are delayed by %v, want 201ms", wait)
	}
	b.refill(limits, start.Add(200*time.Millisecond))
	if b.available() != 2 || b.delay(limits, 2) != 0 {
		t.Errorf("after 200 ms the budget allows %d writes and delays two by %v, want 2 and no delay", b.available(), b.delay(limits, 2))
	}
}
