package ledger

import (
	"reflect"
	"testing"
	"time"
)

// keysOf lists the keys of writes.
func keysOf(writes []*pendingWrite) []string {
	var keys []string
	for _, write := range writes {
		keys = append(keys, write.key)
	}
	return keys
}

// queueOf is a queue of deferrable writes, each with its key as value and tag i+1.
func queueOf(keys ...string) *writeQueue {
	q := newWriteQueue()
	for i, key := range keys {
		q.add(&pendingWrite{key: key, value: []byte(key), tags: []Tag{numberTag(i + 1)}})
	}
	return &q
}

func takeExpectedBatch(t *testing.T, q *writeQueue, keys ...string) []*pendingWrite {
	t.Helper()
	writes := q.takeBatch(testLimits, testLimits.MaxChanges)
	if !reflect.DeepEqual(keysOf(writes), keys) {
		t.Errorf("the batch has %v, want %v", keysOf(writes), keys)
	}
	return writes
}

// TestLaterWriteReplacesAnEarlierOne: one write remains, with the later value and the tags of
// both.
func TestLaterWriteReplacesAnEarlierOne(t *testing.T) {
	both := []Tag{numberTag(1), numberTag(2)}
	later := func() *pendingWrite { return &pendingWrite{key: "a", value: []byte("later"), tags: both[1:]} }
	check := func(t *testing.T, q *writeQueue) {
		t.Helper()
		write := takeExpectedBatch(t, q, "a")[0]
		if string(write.value) != "later" || !reflect.DeepEqual(write.tags, both) {
			t.Errorf("value %s, tags %v", write.value, write.tags)
		}
	}
	t.Run("of one that waits", func(t *testing.T) {
		q := queueOf("a")
		q.add(later())
		check(t, q)
	})
	t.Run("of one that was not carried out", func(t *testing.T) {
		q := queueOf("a")
		earlier := takeExpectedBatch(t, q, "a")[0]
		q.add(later())
		q.requeue(earlier)
		check(t, q)
	})
	t.Run("of one that was rejected", func(t *testing.T) {
		q := queueOf("a")
		earlier := takeExpectedBatch(t, q, "a")[0]
		q.reject(earlier)
		q.add(later())
		q.retry(earlier)
		check(t, q)
	})
}

// TestRejectedWriteIsRetried: a write that was set aside comes back with its value and tags.
func TestRejectedWriteIsRetried(t *testing.T) {
	q := queueOf("a")
	rejected := takeExpectedBatch(t, q, "a")[0]
	q.reject(rejected)
	takeExpectedBatch(t, q)
	q.retry(rejected)
	if again := takeExpectedBatch(t, q, "a")[0]; again != rejected {
		t.Errorf("%+v comes back, want %+v", again, rejected)
	}
}

// TestIsolatedKeysAreBatchedAlone: none shares a transaction with another write.
func TestIsolatedKeysAreBatchedAlone(t *testing.T) {
	q := queueOf("a", "b", "c", "d")
	q.isolate([]*pendingWrite{{key: "a"}, {key: "c"}})
	takeExpectedBatch(t, q, "a")
	takeExpectedBatch(t, q, "b")
	takeExpectedBatch(t, q, "c")
	takeExpectedBatch(t, q, "d")
}

// TestWriteBecomingUrgentMovesAhead: it overtakes the deferrable ones and goes once.
func TestWriteBecomingUrgentMovesAhead(t *testing.T) {
	q := queueOf("a", "b")
	q.add(&pendingWrite{key: "b", value: []byte("urgent"), urgent: true})
	takeExpectedBatch(t, q, "b", "a")
	takeExpectedBatch(t, q)
}

// TestDeferrableBudget: a full budget pays for a burst, and an empty one has writes wait until
// the rate has filled it again.
func TestDeferrableBudget(t *testing.T) {
	limits := Limits{MaxChanges: 40, DeferrableRate: 10} // a burst is 5
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var b deferrableBudget
	b.refill(limits, start)
	if b.available() != 5 || b.delay(limits, 99) != 0 {
		t.Errorf("a new budget pays for %d writes and has them wait for %v", b.available(), b.delay(limits, 99))
	}
	b.spend(5)
	if wait := b.delay(limits, 2); wait != 201*time.Millisecond {
		t.Errorf("two writes wait for %v, want 201ms", wait)
	}
	b.refill(limits, start.Add(200*time.Millisecond))
	if b.available() != 2 || b.delay(limits, 2) != 0 {
		t.Errorf("after 200 ms it pays for %d writes, and two wait for %v", b.available(), b.delay(limits, 2))
	}
}
