package election

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// fakeStore is a key-value store with the leader key only and with leases, on the test's fake clock.
type fakeStore struct {
	mu            sync.Mutex // guards the other fields
	revision      uint64
	entry         *wire.Entry
	leaseExpiries map[uint64]time.Time
	leaseDuration time.Duration
	unavailable   bool
	revoked       []uint64
	candidacies   int // transactions that have set the key
	reads         int
	keptRevisions uint64 // number of past revisions from which a watch may start; 0: all
}

func newFakeStore() *fakeStore {
	return &fakeStore{leaseExpiries: map[uint64]time.Time{}}
}

// withLock calls change while it holds mu.
func (f *fakeStore) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) setUnavailable(unavailable bool) {
	f.withLock(func() { f.unavailable = unavailable })
}

// setHolder replaces the leader key by an entry and grants its lease. The caller holds mu.
func (f *fakeStore) setHolder(entry *wire.Entry, leaseDuration time.Duration) {
	f.entry = entry
	f.leaseExpiries[entry.Lease] = time.Now().Add(leaseDuration)
}

// expireLease deletes the leader key if its lease has expired. No lease expires while the store is
// unavailable. The caller holds mu.
func (f *fakeStore) expireLease() {
	if f.entry != nil && !f.unavailable && time.Now().After(f.leaseExpiries[f.entry.Lease]) {
		f.entry = nil
		f.revision++
	}
}

func (f *fakeStore) List(context.Context, kvstore.Priority, string, string, int) (wire.EntryPage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLease()
	f.reads++
	if f.unavailable {
		return wire.EntryPage{}, kvstore.ErrUnavailable
	}
	page := wire.EntryPage{Revision: f.revision}
	if f.entry != nil {
		page.Entries = []wire.Entry{*f.entry}
	}
	return page, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, _ kvstore.Priority, txn wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLease()
	if f.unavailable {
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnavailable
	}
	if f.entry != nil {
		return false, wire.CompareAndSwapResponse{FailedKeys: []string{LeaderKey}}, nil
	}
	f.revision++
	f.candidacies++
	f.entry = &wire.Entry{Key: LeaderKey, Value: txn.Changes[0].Value, Version: f.revision, Lease: txn.Changes[0].Lease}
	return true, wire.CompareAndSwapResponse{Revision: f.revision}, nil
}

func (f *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return 0, kvstore.ErrUnavailable
	}
	lease := uint64(len(f.leaseExpiries) + 1)
	f.leaseDuration = ttl
	f.leaseExpiries[lease] = time.Now().Add(ttl)
	return lease, nil
}

func (f *fakeStore) RenewLease(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLease()
	if f.unavailable {
		return kvstore.ErrUnavailable
	}
	if f.entry == nil || f.entry.Lease != lease {
		return kvstore.ErrLeaseExpired
	}
	f.leaseExpiries[lease] = time.Now().Add(f.leaseDuration)
	return nil
}

func (f *fakeStore) RevokeLease(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revoked = append(f.revoked, lease)
	if f.entry != nil && f.entry.Lease == lease {
		f.entry = nil
	}
	return nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (wire.WatchResponse, error) {
	compacted := false
	f.withLock(func() { compacted = f.keptRevisions > 0 && after+f.keptRevisions < f.revision })
	if compacted {
		return wire.WatchResponse{}, kvstore.ErrCompacted
	}
	transport.Pause(ctx, 100*time.Millisecond)
	return wire.WatchResponse{}, ctx.Err()
}

// longLease and shortLease are the operator settings of the tests.
var (
	longLease  = settings.Operator{LeaderLease: 6 * time.Second, LeaseMargin: 200 * time.Millisecond}
	shortLease = settings.Operator{LeaderLease: 3 * time.Second, LeaseMargin: 150 * time.Millisecond}
)

// newElector returns an elector for controller n1. The caller runs it.
func newElector(f *fakeStore, operator settings.Operator) *Elector {
	return New("n1", operator, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// startElector runs an elector for controller n1 until the test ends.
func startElector(t *testing.T, f *fakeStore) *Elector {
	t.Helper()
	e := newElector(f, longLease)
	go e.Run(t.Context())
	return e
}

// advance advances the fake clock and waits until all goroutines of the test are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// leaderEntry returns the leader key as written by another controller, or by an earlier incarnation
// of this one.
func leaderEntry(t *testing.T, controller string, lease uint64) *wire.Entry {
	t.Helper()
	value, err := json.Marshal(leaderRecord{Controller: controller, Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	return &wire.Entry{Key: LeaderKey, Value: value, Version: 3, Lease: lease}
}
