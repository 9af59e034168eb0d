package fake

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// State stands in for the state service.
type State struct {
	actor
	addr     string
	revision uint64
	keys     map[string]wire.Entry
	leases   map[uint64]*lease
	sorted   []string // the keys in order, while none has come or gone since
	history  []wire.WatchEvent
	// forgotten is up to where changes are no longer kept.
	forgotten uint64
	waiters   []chan struct{}
	out       bool            // for everybody
	refused   map[string]bool // hosts that are refused alone
	slow      time.Duration
	drift     float64              // how much faster than others' its clock runs
	limits    settings.StateLimits // none where 0
	level     float64              // writes that are left of the rate
	filled    time.Time
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// NewState starts a state service that lives as long as the test.
func NewState(t testing.TB, n transport.Network, addr string, trouble Troubles) *State {
	s := &State{actor: newActor(t), keys: map[string]wire.Entry{}, leases: map[uint64]*lease{}, refused: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.get)
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /leases", s.newLease)
	mux.HandleFunc("POST /leases/{id}/renew", s.renew)
	mux.HandleFunc("DELETE /leases/{id}", s.endLease)
	mux.HandleFunc("GET /changes", s.changes)
	s.addr, _ = serve(t, n, addr, troubled(t.Context(), s.gate(mux), trouble))
	go func() {
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				s.do(s.expire)
			case <-t.Context().Done():
				return
			}
		}
	}()
	return s
}

// Addr is where it listens.
func (s *State) Addr() string { return s.addr }

// Outage has the service refuse everybody, or ends that: then every lease has its
// full time again.
func (s *State) Outage(on bool) {
	s.do(func() {
		s.out = on
		if !on {
			for _, l := range s.leases {
				l.end = time.Now().Add(l.ttl)
			}
			s.wake()
		}
	})
}

// Refuse has the service refuse one host, or ends that. Its leases run out.
func (s *State) Refuse(host string, on bool) {
	s.do(func() { s.refused[host] = on; s.wake() })
}

// RunFast has its clock run faster than others' by a share, so that leases end early.
func (s *State) RunFast(share float64) { s.do(func() { s.drift = share }) }

// Slow has every answer take so long.
func (s *State) Slow(d time.Duration) { s.do(func() { s.slow = d }) }

// Limit has the service refuse larger values and transactions, and writes beyond the
// rate, from now on. What is stored stays readable.
func (s *State) Limit(l settings.StateLimits) {
	s.do(func() { s.limits, s.level, s.filled = l, l.WriteRPS, time.Now() })
}

// tooMuch tells how a transaction is refused for the limits; 0: it is not.
func (s *State) tooMuch(t *wire.CompareAndSwap) int {
	if s.limits.TxnOps == 0 {
		return 0
	}
	now := time.Now()
	s.level = min(s.level+s.limits.WriteRPS*now.Sub(s.filled).Seconds(), s.limits.WriteRPS)
	s.filled = now
	if len(t.Changes) > s.limits.TxnOps || slices.ContainsFunc(t.Changes, func(c wire.Change) bool { return len(c.Value) > int(s.limits.ValueKB*1024) }) {
		return http.StatusBadRequest
	}
	if s.level < float64(len(t.Changes)) {
		return http.StatusTooManyRequests
	}
	s.level -= float64(len(t.Changes))
	return 0
}

// refuses tells whether a host is refused.
func (s *State) refuses(host string) bool { return s.out || s.refused[host] }

// gate refuses whom it should. Watches that are open stay open.
func (s *State) gate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var refused bool
		var slow time.Duration
		s.do(func() { refused, slow = s.refuses(r.RemoteAddr), s.slow })
		transport.Pause(r.Context(), stateTakes+slow)
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// stateTakes is how long each request takes.
const stateTakes = 2 * time.Millisecond

// Value reads a key as the service has it.
func (s *State) Value(key string) (value json.RawMessage) {
	s.do(func() { value = s.keys[key].Value })
	return value
}

// Count is how many keys there are under a prefix.
func (s *State) Count(prefix string) (n int) {
	s.do(func() {
		for k := range s.keys {
			if strings.HasPrefix(k, prefix) {
				n++
			}
		}
	})
	return n
}

// Entries lists all keys with their values, in order.
func (s *State) Entries() (entries []wire.Entry) {
	s.do(func() {
		for _, key := range s.inOrder() {
			entries = append(entries, s.keys[key])
		}
	})
	return entries
}

// Largest is the size of the largest value under a prefix.
func (s *State) Largest(prefix string) (bytes int) {
	s.do(func() {
		for k, e := range s.keys {
			if strings.HasPrefix(k, prefix) {
				bytes = max(bytes, len(e.Value))
			}
		}
	})
	return bytes
}

// Put writes a key as if a controller had, long ago.
func (s *State) Put(key, value string) {
	s.do(func() { s.apply([]wire.Change{{Set: key, Value: json.RawMessage(value)}}) })
}

// Remove deletes a key as an operator would.
func (s *State) Remove(key string) {
	s.do(func() { s.apply([]wire.Change{{Delete: key}}) })
}

// Changes lists all changes so far, in order.
func (s *State) Changes() (changes []wire.WatchEvent) {
	s.do(func() { changes = slices.Clone(s.history) })
	return changes
}

// Revision is the service's.
func (s *State) Revision() (revision uint64) {
	s.do(func() { revision = s.revision })
	return revision
}

// Forget has the service keep no changes so far: a watch from before gets 410.
func (s *State) Forget() {
	s.do(func() {
		s.revision++
		s.forgotten, s.history = s.revision, nil
		s.wake()
	})
}

// Version is a key's version; 0: there is none.
func (s *State) Version(key string) (version uint64) {
	s.do(func() { version = s.keys[key].Version })
	return version
}

func (s *State) expire() {
	if s.out {
		return // no lease ends in an outage
	}
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.dropLease(id)
		}
	}
}

func (s *State) dropLease(id uint64) {
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

func (s *State) apply(changes []wire.Change) {
	s.revision++
	for _, c := range changes {
		if _, there := s.keys[c.Set+c.Delete]; there != (c.Set != "") {
			s.sorted = nil
		}
		if c.Set != "" {
			s.keys[c.Set] = wire.Entry{Key: c.Set, Value: c.Value, Version: s.revision, Lease: c.Lease}
			s.history = append(s.history, wire.WatchEvent{Set: c.Set, Value: c.Value, Version: s.revision})
		} else {
			delete(s.keys, c.Delete)
			s.history = append(s.history, wire.WatchEvent{Delete: c.Delete, Version: s.revision})
		}
	}
	s.wake()
}

// wake has all watches look again.
func (s *State) wake() {
	for _, w := range s.waiters {
		close(w)
	}
	s.waiters = nil
}

func (s *State) get(w http.ResponseWriter, r *http.Request) {
	var e wire.Entry
	var found bool
	var rev uint64
	s.do(func() { e, found = s.keys[r.PathValue("key")]; rev = s.revision })
	if !found {
		answer(w, http.StatusNotFound, wire.CompareAndSwapResponse{Revision: rev})
		return
	}
	answer(w, http.StatusOK, e)
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		limit = 1000
	}
	page := wire.EntryPage{Entries: []wire.Entry{}}
	s.do(func() {
		page.Revision = s.revision
		keys := s.inOrder()
		under := r.FormValue("under")
		for at, _ := slices.BinarySearch(keys, max(under, r.FormValue("from"))); at < len(keys); at++ {
			k := keys[at]
			if !strings.HasPrefix(k, under) {
				break
			}
			if k <= r.FormValue("from") {
				continue
			}
			if page.More = len(page.Entries) == limit; page.More {
				break
			}
			page.Entries = append(page.Entries, s.keys[k])
		}
	})
	answer(w, http.StatusOK, page)
}

// inOrder lists the keys in order.
func (s *State) inOrder() []string {
	if s.sorted == nil {
		s.sorted = slices.Sorted(maps.Keys(s.keys))
	}
	return s.sorted
}

func (s *State) txn(w http.ResponseWriter, r *http.Request) {
	var t wire.CompareAndSwap
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	status, body := http.StatusOK, any(nil)
	s.do(func() {
		if refused := s.tooMuch(&t); refused != 0 {
			status, body = refused, wire.ErrorResponse{Error: "beyond the limits"}
			return
		}
		for _, c := range t.Changes {
			if c.Lease != 0 && s.leases[c.Lease] == nil {
				status, body = http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"}
				return
			}
		}
		var failed []string
		for _, c := range t.Conditions {
			if s.keys[c.Key].Version != c.Version {
				failed = append(failed, c.Key)
			}
		}
		if failed != nil {
			status, body = http.StatusConflict, wire.CompareAndSwapResponse{FailedKeys: failed, Revision: s.revision}
			return
		}
		if len(t.Changes) > 0 {
			s.apply(t.Changes)
		}
		body = wire.CompareAndSwapResponse{Revision: s.revision}
	})
	answer(w, status, body)
}

func (s *State) newLease(w http.ResponseWriter, r *http.Request) {
	var terms wire.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&terms); err != nil {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	var id uint64
	s.do(func() {
		s.revision++
		id = s.revision
		ttl := time.Duration(float64(terms.TTLMS) * (1 - s.drift) * float64(time.Millisecond))
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	})
	answer(w, http.StatusOK, wire.LeaseResponse{Lease: id})
}

// onLease runs f on a lease, or answers 404.
func (s *State) onLease(w http.ResponseWriter, r *http.Request, f func(id uint64, l *lease)) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	found := false
	s.do(func() {
		s.expire()
		if l := s.leases[id]; err == nil && l != nil {
			found = true
			f(id, l)
		}
	})
	if !found {
		answer(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *State) renew(w http.ResponseWriter, r *http.Request) {
	s.onLease(w, r, func(_ uint64, l *lease) { l.end = time.Now().Add(l.ttl) })
}

func (s *State) endLease(w http.ResponseWriter, r *http.Request) {
	s.onLease(w, r, func(id uint64, _ *lease) { s.dropLease(id) })
}

func (s *State) changes(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "from and wait_ms must be numbers"})
		return
	}
	gone := false
	s.do(func() { gone = from < s.forgotten })
	if gone {
		answer(w, http.StatusGone, wire.ErrorResponse{Error: "no longer kept"})
		return
	}
	over := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer over.Stop()
	for {
		news := wire.WatchResponse{Events: []wire.WatchEvent{}}
		changed := make(chan struct{})
		s.do(func() {
			if s.refuses(r.RemoteAddr) {
				s.waiters = append(s.waiters, changed)
				return
			}
			news.Revision = s.revision
			for _, e := range s.history {
				if e.Version > from && strings.HasPrefix(e.Set+e.Delete, r.FormValue("under")) {
					news.Events = append(news.Events, e)
				}
			}
			if len(news.Events) == 0 {
				s.waiters = append(s.waiters, changed)
			}
		})
		if len(news.Events) > 0 {
			answer(w, http.StatusOK, news)
			return
		}
		select {
		case <-changed:
		case <-over.C:
			refused := false
			s.do(func() { refused = s.refuses(r.RemoteAddr) })
			if refused {
				continue // it stays open until the trouble is over
			}
			answer(w, http.StatusOK, news)
			return
		case <-r.Context().Done():
			return
		}
	}
}
