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

// KVStore is a fake of the consensus-backed key-value store, with the HTTP API of the real one.
type KVStore struct {
	actor
	addr     string
	revision uint64
	keys     map[string]wire.Entry
	leases   map[uint64]*lease
	keyOrder []string // sorted keys; nil if keys were added or deleted since they were sorted
	history  []wire.WatchEvent
	// compactedRevision is the revision up to which the history of changes has been discarded.
	compactedRevision uint64
	watchers          []chan struct{} // waiting watches; their channels are closed on each change
	unavailable       bool            // requests of all hosts are refused
	refusedHosts      map[string]bool
	delay             time.Duration        // added to each response
	clockDrift        float64              // fraction by which the store's clock runs fast
	limits            settings.StoreLimits // zero: unlimited
	writeBudget       float64              // tokens in the token bucket that limits writes per second
	budgetRefilledAt  time.Time
}

// lease is a lease to which keys can be bound.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewKVStore starts a key-value store at an address. It runs until the test ends. inject, unless
// nil, injects faults into requests.
func NewKVStore(t testing.TB, network transport.Network, addr string, inject FaultInjector) *KVStore {
	s := &KVStore{actor: newActor(t), keys: map[string]wire.Entry{}, leases: map[uint64]*lease{}, refusedHosts: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.handleGet)
	mux.HandleFunc("GET /store", s.handleList)
	mux.HandleFunc("POST /txn", s.handleCompareAndSwap)
	mux.HandleFunc("POST /leases", s.handleLeaseGrant)
	mux.HandleFunc("POST /leases/{id}/renew", s.handleLeaseRenewal)
	mux.HandleFunc("DELETE /leases/{id}", s.handleLeaseRevocation)
	mux.HandleFunc("GET /changes", s.handleWatch)
	s.addr, _ = startServer(t, network, addr, withFaults(t.Context(), s.withAvailability(mux), inject))
	go s.runExpiry(t.Context())
	return s
}

// runExpiry expires leases until ctx ends.
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

// Addr returns the address on which the store listens.
func (s *KVStore) Addr() string { return s.addr }

// expireLeases expires the leases whose TTL has passed. During an outage no lease expires.
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

// expireLease removes a lease and deletes the keys that are bound to it.
func (s *KVStore) expireLease(id uint64) {
	delete(s.leases, id)
	var changes []wire.Change
	for key, entry := range s.keys {
		if entry.Lease == id {
			changes = append(changes, wire.Change{Delete: key})
		}
	}
	if len(changes) > 0 {
		s.apply(changes)
	}
}

// apply applies changes at a new revision, which they share.
func (s *KVStore) apply(changes []wire.Change) {
	s.revision++
	for _, c := range changes {
		if _, exists := s.keys[c.Set+c.Delete]; exists != (c.Set != "") {
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

// orderedKeys returns the sorted keys, which the caller must not modify.
func (s *KVStore) orderedKeys() []string {
	if s.keyOrder == nil {
		s.keyOrder = slices.Sorted(maps.Keys(s.keys))
	}
	return s.keyOrder
}
