package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"leadproxy/internal/wire"
)

func (s *KVStore) handleGet(w http.ResponseWriter, r *http.Request) {
	var entry wire.Entry
	var found bool
	var revision uint64
	s.do(func() {
		entry, found = s.keys[r.PathValue("key")]
		revision = s.revision
	})
	if !found {
		writeJSON(w, http.StatusNotFound, wire.CompareAndSwapResponse{Revision: revision})
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

func (s *KVStore) handleList(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		limit = 1000
	}
	page := wire.EntryPage{Entries: []wire.Entry{}}
	s.do(func() { page = s.listPage(r.FormValue("under"), r.FormValue("from"), limit) })
	writeJSON(w, http.StatusOK, page)
}

// listPage returns the entries under a prefix whose keys come after a given key, in order of their
// keys, up to a limit.
func (s *KVStore) listPage(prefix, after string, limit int) wire.EntryPage {
	page := wire.EntryPage{Entries: []wire.Entry{}, Revision: s.revision}
	keys := s.orderedKeys()
	for i, _ := slices.BinarySearch(keys, max(prefix, after)); i < len(keys); i++ {
		key := keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key <= after {
			continue
		}
		if page.More = len(page.Entries) == limit; page.More {
			break
		}
		page.Entries = append(page.Entries, s.keys[key])
	}
	return page
}

func (s *KVStore) handleCompareAndSwap(w http.ResponseWriter, r *http.Request) {
	var request wire.CompareAndSwap
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	result := casResult{status: http.StatusOK}
	s.do(func() { result = s.compareAndSwap(&request) })
	writeJSON(w, result.status, result.body)
}

// casResult is the response to a compare-and-swap transaction.
type casResult struct {
	status int
	body   any
}

// compareAndSwap applies all changes of a transaction if all its conditions hold, otherwise none.
func (s *KVStore) compareAndSwap(transaction *wire.CompareAndSwap) casResult {
	if status := s.enforceLimits(transaction); status != 0 {
		return casResult{status, wire.ErrorResponse{Error: "beyond the limits"}}
	}
	for _, c := range transaction.Changes {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return casResult{http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"}}
		}
	}
	var failed []string
	for _, c := range transaction.Conditions {
		if s.keys[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return casResult{http.StatusConflict, wire.CompareAndSwapResponse{FailedKeys: failed, Revision: s.revision}}
	}
	if len(transaction.Changes) > 0 {
		s.apply(transaction.Changes)
	}
	return casResult{http.StatusOK, wire.CompareAndSwapResponse{Revision: s.revision}}
}

func (s *KVStore) handleLeaseGrant(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	var id uint64
	s.do(func() {
		s.revision++
		id = s.revision
		ttl := time.Duration(float64(request.TTLMS) * (1 - s.clockDrift) * float64(time.Millisecond))
		s.leases[id] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	})
	writeJSON(w, http.StatusOK, wire.LeaseResponse{Lease: id})
}

// handleLease calls f, on the actor, for the lease in a request's path. It responds 404 if there is
// no such lease.
func (s *KVStore) handleLease(w http.ResponseWriter, r *http.Request, f func(id uint64, l *lease)) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	found := false
	s.do(func() {
		s.expireLeases()
		if l := s.leases[id]; err == nil && l != nil {
			found = true
			f(id, l)
		}
	})
	if !found {
		writeJSON(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *KVStore) handleLeaseRenewal(w http.ResponseWriter, r *http.Request) {
	s.handleLease(w, r, func(_ uint64, l *lease) { l.expiresAt = time.Now().Add(l.ttl) })
}

func (s *KVStore) handleLeaseRevocation(w http.ResponseWriter, r *http.Request) {
	s.handleLease(w, r, func(id uint64, _ *lease) { s.expireLease(id) })
}
