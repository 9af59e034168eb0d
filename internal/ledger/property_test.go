package ledger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"leadproxy/internal/election"
	_ "leadproxy/internal/property" // fixes the seed
)

// ledgerMachine drives a ledger's steps by hand over a state service that loses
// transactions, loses their answers, or carries them out late, and keeps what every key
// must hold in the end.
type ledgerMachine struct {
	ledger  *Ledger
	store   *fakeStore
	want    map[string]string // the last value of each key; missing: deleted
	tags    int               // handed out so far
	durable map[Tag]int       // how often each was told
}

func newLedgerMachine(t *rapid.T) *ledgerMachine {
	limits := Limits{MaxChanges: rapid.IntRange(2, 6).Draw(t, "ops"), TransactionBytes: rapid.IntRange(400, 4000).Draw(t, "bytes")}
	store := &fakeStore{revision: 9, keys: map[string]uint64{election.LeaderKey: 5}, values: map[string]string{}}
	l := New(5, store, fixed(limits), slog.New(slog.NewTextHandler(io.Discard, nil)))
	return &ledgerMachine{l, store, map[string]string{}, 0, map[Tag]int{}}
}

// enqueue writes or deletes a key.
func (m *ledgerMachine) enqueue(t *rapid.T) {
	key := fmt.Sprintf("host/%d", rapid.IntRange(0, 5).Draw(t, "key"))
	m.tags++
	w := Write{Key: key, Urgent: rapid.Bool().Draw(t, "urgent"), Tag: numberTag(m.tags)}
	delete(m.want, key)
	if rapid.IntRange(0, 3).Draw(t, "deletes") > 0 {
		text := fmt.Sprintf("%0*d", rapid.IntRange(1, 300).Draw(t, "length"), m.tags)
		w.Value, m.want[key] = text, fmt.Sprintf("%q", text)
	}
	if err := m.ledger.enqueue(w); err != nil {
		t.Fatal(err)
	}
}

// commit carries one transaction out, with whatever befalls it.
func (m *ledgerMachine) commit(t *rapid.T, fate string) {
	if len(m.ledger.pending) == 0 {
		return
	}
	fenced := m.ledger.doubt
	keys, writes, txn := m.ledger.batch()
	m.checkBatch(t, keys, len(txn.Changes))
	size := 0
	for _, c := range txn.Changes {
		size += len(c.Value)
	}
	if len(keys) > 1 && size > m.ledger.limits.TransactionBytes {
		t.Fatalf("a batch of %d keys has %d bytes", len(keys), size)
	}
	m.store.steps = fate
	o := m.ledger.transact(context.Background(), txn)
	m.store.steps = ""
	o.keys, o.writes, o.fenced = keys, writes, fenced
	durable, tooLarge, err := m.ledger.settle(o)
	if err != nil || len(tooLarge) > 0 {
		t.Fatalf("settled with %v, too large: %v", err, tooLarge)
	}
	for _, tag := range durable {
		m.durable[tag]++
	}
}

func (m *ledgerMachine) checkBatch(t *rapid.T, keys []string, changes int) {
	once := slices.Compact(slices.Sorted(slices.Values(keys)))
	if len(once) != len(keys) || changes > m.ledger.limits.MaxChanges || len(keys) == 0 {
		t.Fatalf("a batch of %v with %d changes, of %d", keys, changes, m.ledger.limits.MaxChanges)
	}
}

// release carries out a transaction that was held up.
func (m *ledgerMachine) release(t *rapid.T) {
	if len(m.store.held) == 0 {
		return
	}
	k := rapid.IntRange(0, len(m.store.held)-1).Draw(t, "held")
	m.store.apply(m.store.held[k])
	if rapid.Bool().Draw(t, "once") {
		m.store.held = slices.Delete(m.store.held, k, k+1)
	}
}

// finish commits what is left and compares.
func (m *ledgerMachine) finish(t *rapid.T) {
	for range 100 {
		m.commit(t, "c")
	}
	for _, txn := range m.store.held {
		m.store.apply(txn)
	}
	for n := range m.tags {
		if told := m.durable[numberTag(n+1)]; told != 1 {
			t.Fatalf("the write with tag %d was told durable %d times", n+1, told)
		}
	}
	for n := range 6 {
		key := fmt.Sprintf("host/%d", n)
		if got := m.store.values[key]; got != m.want[key] {
			t.Fatalf("%s holds %s, want %s", key, got, m.want[key])
		}
	}
}

// TestBatchingKeepsEveryLastWrite: whatever becomes of the transactions and whenever
// late ones arrive, each key ends with its last write, each tag is told once, and no
// batch exceeds its limits.
func TestBatchingKeepsEveryLastWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": m.enqueue,
			"commit":  func(t *rapid.T) { m.commit(t, rapid.SampledFrom([]string{"c", "c", "l", "r", "h"}).Draw(t, "fate")) },
			"release": m.release,
		})
		m.finish(t)
	})
}
