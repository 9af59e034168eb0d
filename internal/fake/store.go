package fake

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// KVStore is a fake of the consensus-backed key-value store.
type KVStore struct {
	actor
	addr     string
	revision uint64
	keys     map[string]wire.Entry
	leases   map[uint64]*lease
	keyOrder []string // the keys in order; nil when a key was added or deleted since
	history  []wire.WatchEvent
	// compactedRevision is the revision up to which changes are no longer kept.
	compactedRevision uint64
	watchers          []chan struct{} // closed and cleared when something changes
	unavailable       bool            // for all hosts
	refusedHosts      map[string]bool
	delay             time.Duration        // added to each response
	clockDrift        float64              // the share by which its clock runs fast
	limits            settings.StoreLimits // zero: none
	writeBudget       float64              // tokens left in the bucket that limits the rate of writes
	budgetRefilledAt  time.Time
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewKVStore starts a key-value store that lives as long as the test.
func NewKVStore(t testing.TB, n transport.Network, addr string, inject FaultInjector) *KVStore {
	s := &KVStore{actor: newActor(t), keys: map[string]wire.Entry{}, leases: map[uint64]*lease{}, refusedHosts: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.handleGet)
	mux.HandleFunc("GET /store", s.handleList)
	mux.HandleFunc("POST /txn", s.handleCompareAndSwap)
	mux.HandleFunc("POST /leases", s.handleLeaseGrant)
	mux.HandleFunc("POST /leases/{id}/renew", s.handleLeaseRenewal)
	mux.HandleFunc("DELETE /leases/{id}", s.handleLeaseRevocation)
	mux.HandleFunc("GET /changes", s.handleWatch)
	s.addr, _ = startServer(t, n, addr, withFaults(t.Context(), s.withAvailability(mux), inject))
	go s.runExpiry(t.Context())
	return s
}

// runExpiry lets leases expire.
func (s *KVStore) runExpiry(ctx context.Context) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.do(s.expireLeases)
		case <-ctx.Done():
			return
		}
	}
}

// Addr is the address at which it listens.
func (s *KVStore) Addr() string { return s.addr }

// expireLeases ends the leases whose time has passed. In an outage none expires.
func (s *KVStore) expireLeases() {
	if s.unavailable {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.expireLease(id)
		}
	}
}

// expireLease ends a lease and deletes the keys that are bound to it.
func (s *KVStore) expireLease(id uint64) {
	delete(s.leases, id)
	var changes []wire.Change
	for k, e := range s.keys {
		if e.Lease == id {
			changes = append(changes, wire.Change{Delete: k})
		}
	}
	if len(changes) > 0 {
		s.apply(changes)
	}
}

// apply makes changes at a new revision.
func (s *KVStore) apply(changes []wire.Change) {
	s.revision++
	for _, c := range changes {
		if _, there := s.keys[c.Set+c.Delete]; there != (c.Set != "") {
			s.keyOrder = nil
		}
		if c.Set != "" {
			s.keys[c.Set] = wire.Entry{Key: c.Set, Value: c.Value, Version: s.revision, Lease: c.Lease}
			s.history = append(s.history, wire.WatchEvent{Set: c.Set, Value: c.Value, Version: s.revision})
		} else {
			delete(s.keys, c.Delete)
			s.history = append(s.history, wire.WatchEvent{Delete: c.Delete, Version: s.revision})
		}
	}
	s.wakeWatchers()
}

// orderedKeys lists the keys in order.
func (s *KVStore) orderedKeys() []string {
	if s.keyOrder == nil {
		s.keyOrder = slices.Sorted(maps.Keys(s.keys))
	}
	return s.keyOrder
}
