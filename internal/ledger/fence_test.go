package ledger

import (
	"reflect"
	"testing"
	"testing/synctest"

	"leadproxy/internal/election"
)

// TestWritesThroughLossAndDelay: whatever happens to a transaction, its write is reported
// durable once it is, and nothing late or of an ended term overwrites it.
func TestWritesThroughLossAndDelay(t *testing.T) {
	cases := []struct{ name, fates string }{
		{"carried out", "c"},
		{"request lost", "lc"},
		{"response lost", "rc"},
		{"held back", "hc"},
		{"all of them", "lrhc"},
		{"held back twice", "hhrlc"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore(testTerm)
				f.outcomes, f.keys["job/j"] = c.fates, 3
				l := newTestLedger(f, Limits{MaxChanges: 4, TransactionBytes: 1 << 14})
				ctx, cancel := startLedger(t, l)
				defer cancel()
				l.Put(ctx, []Write{{Key: "job/j", Value: "old", Version: 3, Tag: numberTag(1)}})
				if tags := <-l.Durable; !reflect.DeepEqual(tags, []Tag{numberTag(1)}) {
					t.Errorf("durable: %v", tags)
				}
				l.Put(ctx, []Write{{Key: "job/j", Value: "new", Tag: numberTag(2)}})
				<-l.Durable
				// A copy that comes now must not bring the old value back.
				f.applyDelayed()
				if f.values["job/j"] != `"new"` {
					t.Errorf("the key holds %s", f.values["job/j"])
				}
				// Once another leader's key stands, nothing is written.
				f.keys[election.LeaderKey] = 77
				l.Put(ctx, []Write{{Key: "job/j", Value: "late", Tag: numberTag(3)}})
				synctest.Wait()
				if f.values["job/j"] != `"new"` {
					t.Errorf("written after the term: %s", f.values["job/j"])
				}
			})
		})
	}
}

// TestDelayedTransactionDoesNotRestoreDeletedKey: a transaction that created a key had no response,
// was repeated, and the key has since been deleted. A copy that is carried out now
// would find it missing, as it was, and bring back hosts or a scale-out that are long
// settled.
func TestDelayedTransactionDoesNotRestoreDeletedKey(t *testing.T) {
	cases := []struct{ name, fates string }{
		{"held back once", "hc"},
		{"held back twice", "hhc"},
		{"held back, then both ways lost", "hlrc"},
		{"response lost, then held back", "rhc"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore(testTerm)
				f.outcomes = c.fates
				l := newTestLedger(f, Limits{MaxChanges: 4, TransactionBytes: 1 << 14})
				if _, err := l.Load(t.Context()); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := startLedger(t, l)
				defer cancel()
				for _, value := range []any{"hosts", nil} {
					l.Put(ctx, []Write{{Key: "host/j/0", Value: value, Tag: numberTag(1)}})
					<-l.Durable
				}
				f.applyDelayed()
				if v, ok := f.values["host/j/0"]; ok {
					t.Errorf("the key is back and holds %s", v)
				}
				// The moved fence does not hinder further writes.
				l.Put(ctx, []Write{{Key: "host/k/0", Value: "hosts", Tag: numberTag(2)}})
				<-l.Durable
			})
		})
	}
}
