package ledger

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "leadproxy/internal/property" // fixes the seed
)

// ledgerStateMachine drives a ledger's steps by hand over a store that loses transactions, loses
// their responses, or carries them out late, and keeps what every key must hold in the end.
type ledgerStateMachine struct {
	ledger  *Ledger
	store   *fakeStore
	want    map[string]string // the last value of each key; missing: deleted
	tags    int               // handed out so far
	durable map[Tag]int       // how often each was handed back
}

func newLedgerStateMachine(t *rapid.T) *ledgerStateMachine {
	limits := Limits{MaxChanges: rapid.IntRange(2, 6).Draw(t, "ops"), TransactionBytes: rapid.IntRange(400, 4000).Draw(t, "bytes")}
	store := newFakeStore(testTerm)
	return &ledgerStateMachine{newTestLedger(store, limits), store, map[string]string{}, 0, map[Tag]int{}}
}

// enqueue writes or deletes a key.
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

// commit carries one transaction out, or whatever else its fate is.
func (m *ledgerStateMachine) commit(t *rapid.T, fate string) {
	if len(m.ledger.queue.pending) == 0 {
		return
	}
	next := m.ledger.nextTransaction()
	m.checkTransaction(t, next)
	m.store.outcomes = fate
	o := m.ledger.committer.commitOnce(context.Background(), next)
	m.store.outcomes = ""
	settled, err := m.ledger.applyOutcome(context.Background(), o)
	if err != nil || len(settled.rejected) > 0 {
		t.Fatalf("settled with %v, rejected: %v", err, settled.rejected)
	}
	for _, tag := range settled.durable {
		m.durable[tag]++
	}
}

// checkTransaction checks that a transaction has each key once and keeps to the limits.
func (m *ledgerStateMachine) checkTransaction(t *rapid.T, next transaction) {
	t.Helper()
	keys, changes, limits := keysOf(next.writes), next.request.Changes, m.ledger.limits
	distinct := slices.Compact(slices.Sorted(slices.Values(keys)))
	if len(distinct) != len(keys) || len(changes) > limits.MaxChanges || len(keys) == 0 {
		t.Fatalf("a transaction of %v with %d changes, of %d", keys, len(changes), limits.MaxChanges)
	}
	size := 0
	for _, c := range changes {
		size += len(c.Value)
	}
	if len(keys) > 1 && size > limits.TransactionBytes {
		t.Fatalf("a transaction of %d keys has %d bytes", len(keys), size)
	}
}

// applyDelayed carries out a transaction that was held back.
func (m *ledgerStateMachine) applyDelayed(t *rapid.T) {
	if len(m.store.delayedTransactions) == 0 {
		return
	}
	k := rapid.IntRange(0, len(m.store.delayedTransactions)-1).Draw(t, "held")
	m.store.apply(m.store.delayedTransactions[k])
	if rapid.Bool().Draw(t, "once") {
		m.store.delayedTransactions = slices.Delete(m.store.delayedTransactions, k, k+1)
	}
}

// finish commits what is left and compares.
func (m *ledgerStateMachine) finish(t *rapid.T) {
	for range 100 {
		m.commit(t, "c")
	}
	m.store.applyDelayed()
	for n := range m.tags {
		if times := m.durable[numberTag(n+1)]; times != 1 {
			t.Fatalf("tag %d was handed back %d times", n+1, times)
		}
	}
	for n := range 6 {
		key := fmt.Sprintf("host/%d", n)
		if got := m.store.values[key]; got != m.want[key] {
			t.Fatalf("%s holds %s, want %s", key, got, m.want[key])
		}
	}
}

// TestBatchingKeepsLastWriteOfEachKey: whatever happens to the transactions and whenever
// late ones arrive, each key ends with its last write, each tag is handed back once, and no
// transaction exceeds its limits.
func TestBatchingKeepsLastWriteOfEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": m.enqueue,
			"commit":  func(t *rapid.T) { m.commit(t, rapid.SampledFrom([]string{"c", "c", "l", "r", "h"}).Draw(t, "fate")) },
			"release": m.applyDelayed,
		})
		m.finish(t)
	})
}
