package ledger

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "leadproxy/internal/property" // sets the default seed of rapid
)

// ledgerStateMachine runs the steps of a ledger one by one against a store that loses requests and
// responses and delays transactions. It tracks the value that each key must have in the end.
type ledgerStateMachine struct {
	ledger  *Ledger
	store   *fakeStore
	want    map[string]string // last value of each key; no entry if deleted
	tags    int               // number of tags assigned so far
	durable map[Tag]int       // how often each tag was reported durable
}

func newLedgerStateMachine(t *rapid.T) *ledgerStateMachine {
	limits := Limits{MaxChanges: rapid.IntRange(2, 6).Draw(t, "ops"), TransactionBytes: rapid.IntRange(400, 4000).Draw(t, "bytes")}
	store := newFakeStore(testTerm)
	return &ledgerStateMachine{newTestLedger(store, limits), store, map[string]string{}, 0, map[Tag]int{}}
}

// enqueue enqueues a write or a deletion of a random key.
func (m *ledgerStateMachine) enqueue(t *rapid.T) {
	key := fmt.Sprintf("host/%d", rapid.IntRange(0, 5).Draw(t, "key"))
	m.tags++
	w := Write{Key: key, Urgent: rapid.Bool().Draw(t, "urgent"), Tag: numberTag(m.tags)}
	delete(m.want, key)
	if rapid.IntRange(0, 3).Draw(t, "deletes") > 0 {
		text := fmt.Sprintf("%0*d", rapid.IntRange(1, 300).Draw(t, "length"), m.tags)
		w.Value, m.want[key] = text, fmt.Sprintf("%q", text)
	}
	if err := m.ledger.enqueue([]Write{w}); err != nil {
		t.Fatal(err)
	}
}

// commit sends the next transaction, which has the given outcome.
func (m *ledgerStateMachine) commit(t *rapid.T, outcome string) {
	if len(m.ledger.queue.pending) == 0 {
		return
	}
	next := m.ledger.nextTransaction()
	m.checkTransaction(t, next)
	m.store.outcomes = outcome
	o := m.ledger.committer.commitOnce(context.Background(), next)
	m.store.outcomes = ""
	settled, err := m.ledger.applyOutcome(context.Background(), o)
	if err != nil || len(settled.rejected) > 0 {
		t.Fatalf("applying the outcome: error %v, rejected tags %v, want neither", err, settled.rejected)
	}
	for _, tag := range settled.durable {
		m.durable[tag]++
	}
}

// checkTransaction checks that a transaction has at least one write, at most one per key, and
// respects the limits.
func (m *ledgerStateMachine) checkTransaction(t *rapid.T, next transaction) {
	t.Helper()
	keys, changes, limits := keysOf(next.writes), next.request.Changes, m.ledger.limits
	distinct := slices.Compact(slices.Sorted(slices.Values(keys)))
	if len(distinct) != len(keys) || len(changes) > limits.MaxChanges || len(keys) == 0 {
		t.Fatalf("transaction of keys %v with %d changes, want distinct keys, at least one, and at most %d changes", keys, len(changes), limits.MaxChanges)
	}
	size := 0
	for _, c := range changes {
		size += len(c.Value)
	}
	if len(keys) > 1 && size > limits.TransactionBytes {
		t.Fatalf("transaction of %d keys has %d bytes, more than the limit", len(keys), size)
	}
}

// applyDelayed applies a delayed transaction. It may stay in the list and be applied again later.
func (m *ledgerStateMachine) applyDelayed(t *rapid.T) {
	if len(m.store.delayedTransactions) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.store.delayedTransactions)-1).Draw(t, "delayed")
	m.store.apply(m.store.delayedTransactions[i])
	if rapid.Bool().Draw(t, "applied only once") {
		m.store.delayedTransactions = slices.Delete(m.store.delayedTransactions, i, i+1)
	}
}

// finish commits all pending writes, applies all delayed transactions, and checks the tags and the
// stored values.
func (m *ledgerStateMachine) finish(t *rapid.T) {
	for range 100 {
		m.commit(t, "c")
	}
	m.store.applyDelayed()
	for n := range m.tags {
		if times := m.durable[numberTag(n+1)]; times != 1 {
			t.Fatalf("tag %d was reported durable %d times, want once", n+1, times)
		}
	}
	for n := range 6 {
		key := fmt.Sprintf("host/%d", n)
		if got := m.store.values[key]; got != m.want[key] {
			t.Fatalf("%s holds %s, want %s", key, got, m.want[key])
		}
	}
}

// TestBatchingKeepsLastWriteOfEachKey checks, for any sequence of lost, delayed and repeated
// transactions, that each key ends with its last write, each tag is reported durable exactly once,
// and no transaction exceeds its limits.
func TestBatchingKeepsLastWriteOfEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": m.enqueue,
			"commit":  func(t *rapid.T) { m.commit(t, rapid.SampledFrom([]string{"c", "c", "l", "r", "h"}).Draw(t, "outcome")) },
			"release": m.applyDelayed,
		})
		m.finish(t)
	})
}
