package ledger

import (
	"reflect"
	"testing"
	"testing/synctest"

	"leadproxy/internal/election"
)

// TestWritesThroughLossAndDelay checks that a write is reported durable even if its transaction is
// lost or delayed at first, and that neither a delayed transaction nor a write of an ended term
// overwrites a later value.
func TestWritesThroughLossAndDelay(t *testing.T) {
	cases := []struct{ name, outcomes string }{
		{"applied at once", "c"},
		{"request lost", "lc"},
		{"response lost", "rc"},
		{"delayed", "hc"},
		{"request lost, response lost, delayed", "lrhc"},
		{"delayed twice, response lost, request lost", "hhrlc"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore(testTerm)
				store.outcomes, store.keys["job/j"] = c.outcomes, 3
				l := newTestLedger(store, Limits{MaxChanges: 4, TransactionBytes: 1 << 14})
				ctx, cancel := startLedger(t, l)
				defer cancel()
				l.Put(ctx, []Write{{Key: "job/j", Value: "old", Version: 3, Tag: numberTag(1)}})
				if tags := <-l.Durable; !reflect.DeepEqual(tags, []Tag{numberTag(1)}) {
					t.Errorf("durable tags %v, want only tag 1", tags)
				}
				l.Put(ctx, []Write{{Key: "job/j", Value: "new", Tag: numberTag(2)}})
				<-l.Durable
				// A delayed transaction must not restore the old value.
				store.applyDelayed()
				if store.values["job/j"] != `"new"` {
					t.Errorf("key has value %s after a delayed transaction, want \"new\"", store.values["job/j"])
				}
				// Once the leader key belongs to another term, nothing is written.
				store.keys[election.LeaderKey] = 77
				l.Put(ctx, []Write{{Key: "job/j", Value: "late", Tag: numberTag(3)}})
				synctest.Wait()
				if store.values["job/j"] != `"new"` {
					t.Errorf("key has value %s after the term has ended, want \"new\"", store.values["job/j"])
				}
			})
		})
	}
}

// TestDelayedTransactionDoesNotRestoreDeletedKey guards against a deleted key that reappears: a
// transaction that creates a key gets no response and is repeated, and the key is deleted later. If
// the first transaction is applied only then, the key is missing, as its condition requires, so that
// without the fence it would restore the hosts of a finished job or a completed scale-out.
func TestDelayedTransactionDoesNotRestoreDeletedKey(t *testing.T) {
	cases := []struct{ name, outcomes string }{
		{"delayed once", "hc"},
		{"delayed twice", "hhc"},
		{"delayed, then request lost, then response lost", "hlrc"},
		{"response lost, then delayed", "rhc"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore(testTerm)
				store.outcomes = c.outcomes
				l := newTestLedger(store, Limits{MaxChanges: 4, TransactionBytes: 1 << 14})
				if _, err := l.Load(t.Context()); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := startLedger(t, l)
				defer cancel()
				for _, value := range []any{"hosts", nil} {
					l.Put(ctx, []Write{{Key: "host/j/0", Value: value, Tag: numberTag(1)}})
					<-l.Durable
				}
				store.applyDelayed()
				if value, found := store.values["host/j/0"]; found {
					t.Errorf("deleted key was restored with value %s", value)
				}
				// The changed fence does not prevent further writes.
				l.Put(ctx, []Write{{Key: "host/k/0", Value: "hosts", Tag: numberTag(2)}})
				<-l.Durable
			})
		})
	}
}
