package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the state service. Each controller has a front of its own, so that one of
// them can be refused alone.
type store struct {
	mu       sync.Mutex
	epoch    uint64
	keys     map[string]*storeKey
	leases   map[uint64]*storeLease
	lastHold uint64
	news     []storeNews
	changed  chan struct{} // closed at each change
	outage   bool
	limits   siteLimits
	requests bucket
	writes   bucket
}

type storeKey struct {
	data  json.RawMessage
	stamp uint64
	hold  uint64
}

type storeLease struct {
	life    time.Duration
	expires time.Time
}

type storeNews struct {
	Set    string          `json:"set,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// siteLimits are the limits of the state service.
type siteLimits struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

// bucket is a token bucket of one second's worth.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(rate, amount float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < amount {
		return false
	}
	b.tokens -= amount
	return true
}

func newStore(limits siteLimits) *store {
	s := &store{keys: map[string]*storeKey{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), limits: limits}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return
	}
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the keys attached to it.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for name, key := range s.keys {
		if key.hold == id {
			s.epoch++
			delete(s.keys, name)
			s.note(storeNews{Delete: name, Stamp: s.epoch})
		}
	}
}

func (s *store) note(news storeNews) {
	s.news = append(s.news, news)
	if len(s.news) > 10000 {
		s.news = s.news[len(s.news)-10000:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOutage begins or ends an outage. At its end every lease has its full time again.
func (s *store) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	if !on {
		for _, lease := range s.leases {
			lease.expires = time.Now().Add(lease.life)
		}
	}
}

// value returns the value of a key, or nil.
func (s *store) value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.keys[key]; k != nil {
		return k.data
	}
	return nil
}

// storeFront is where one controller reaches the state service.
type storeFront struct {
	store   *store
	mu      sync.Mutex
	refused bool
	addr    string
	// fault, unless nil, chooses a fault for a transaction: "lost" (carried out, no response), "late"
	// (carried out after a while, no response), "twice" (carried out again after a while).
	fault func() string
}

func newStoreFront(s *store) *storeFront {
	f := &storeFront{store: s}
	listener := listen()
	f.addr = listener.Addr().String()
	go serve(listener, http.HandlerFunc(f.serve))
	return f
}

// refuse has this controller alone get 503, or ends that.
func (f *storeFront) refuse(on bool) {
	f.mu.Lock()
	f.refused = on
	f.mu.Unlock()
}

func (f *storeFront) isRefused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

func (f *storeFront) down() bool {
	if f.isRefused() {
		return true
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.outage
}

func (f *storeFront) serve(w http.ResponseWriter, r *http.Request) {
	if f.down() {
		reply(w, 503, map[string]string{"error": "unavailable"})
		return
	}
	s := f.store
	s.mu.Lock()
	allowed := s.requests.take(s.limits.rps, 1)
	s.mu.Unlock()
	if !allowed {
		reply(w, 429, map[string]string{"error": "too many requests"})
		return
	}
	switch {
	case r.URL.Path == "/changes":
		f.watch(w, r)
	case r.URL.Path == "/store":
		s.list(w, r)
	case strings.HasPrefix(r.URL.Path, "/store/"):
		s.get(w, strings.TrimPrefix(r.URL.Path, "/store/"))
	case r.URL.Path == "/txn":
		f.txn(w, r)
	case strings.HasPrefix(r.URL.Path, "/leases"):
		s.lease(w, r)
	default:
		reply(w, 400, map[string]string{"error": "unknown path"})
	}
}

func (s *store) get(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.keys[name]
	if k == nil {
		reply(w, 404, map[string]any{"epoch": s.epoch})
		return
	}
	reply(w, 200, map[string]any{"path": name, "data": k.data, "stamp": k.stamp, "hold": k.hold})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	under, from := r.FormValue("under"), r.FormValue("from")
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	if limit < 1 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.keys {
		if strings.HasPrefix(name, under) && name > from {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	entries, bytes := []any{}, 0
	for _, name := range names {
		k := s.keys[name]
		if len(entries) == limit || bytes+len(k.data) > 500<<10 {
			break
		}
		bytes += len(k.data) + len(name) + 60
		entries = append(entries, map[string]any{"path": name, "data": k.data, "stamp": k.stamp, "hold": k.hold})
	}
	reply(w, 200, map[string]any{"entries": entries, "has_next": len(entries) < len(names), "epoch": s.epoch})
}

type storeTxn struct {
	When []struct {
		Path  string `json:"path"`
		Stamp uint64 `json:"stamp"`
	} `json:"when"`
	Apply []struct {
		Set    string          `json:"set"`
		Data   json.RawMessage `json:"data"`
		Hold   uint64          `json:"hold"`
		Delete string          `json:"delete"`
	} `json:"apply"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t storeTxn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.Apply) > s.limits.txnOps || len(t.When) > 4*s.limits.txnOps {
		reply(w, 400, map[string]string{"error": "too large"})
		return
	}
	if len(t.Apply) > 0 && !s.writes.take(s.limits.writeRPS, float64(len(t.Apply))) {
		reply(w, 429, map[string]string{"error": "too many writes"})
		return
	}
	for _, a := range t.Apply {
		if float64(len(a.Data)) > s.limits.valueKB*1024 {
			reply(w, 400, map[string]string{"error": "value too large"})
			return
		}
		if a.Set != "" && a.Hold != 0 && s.leases[a.Hold] == nil {
			reply(w, 400, map[string]string{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, c := range t.When {
		stamp := uint64(0)
		if k := s.keys[c.Path]; k != nil {
			stamp = k.stamp
		}
		if stamp != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	s.apply(&t)
	reply(w, 200, map[string]any{"epoch": s.epoch})
}

func (s *store) apply(t *storeTxn) {
	if len(t.Apply) == 0 {
		return
	}
	s.epoch++
	for _, a := range t.Apply {
		if a.Delete != "" {
			if s.keys[a.Delete] != nil {
				delete(s.keys, a.Delete)
				s.note(storeNews{Delete: a.Delete, Stamp: s.epoch})
			}
			continue
		}
		s.keys[a.Set] = &storeKey{data: a.Data, stamp: s.epoch, hold: a.Hold}
		s.note(storeNews{Set: a.Set, Data: a.Data, Stamp: s.epoch})
	}
}

func (s *store) lease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var request struct {
			LifeMS int64 `json:"life_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&request) != nil || request.LifeMS < 100 || request.LifeMS > 600000 {
			reply(w, 400, map[string]string{"error": "malformed"})
			return
		}
		s.lastHold++
		life := time.Duration(request.LifeMS) * time.Millisecond
		s.leases[s.lastHold] = &storeLease{life: life, expires: time.Now().Add(life)}
		reply(w, 200, map[string]any{"hold": s.lastHold})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	lease := s.leases[id]
	if lease == nil {
		reply(w, 404, map[string]any{})
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		lease.expires = time.Now().Add(lease.life)
	}
	reply(w, 200, map[string]any{"hold": id})
}

func (f *storeFront) watch(w http.ResponseWriter, r *http.Request) {
	s := f.store
	under := r.FormValue("under")
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	waitMS, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, epoch := s.changed, s.epoch
		if len(s.news) == 10000 && s.news[0].Stamp > from+1 {
			s.mu.Unlock()
			reply(w, 410, map[string]any{"epoch": epoch})
			return
		}
		news := s.newsAfter(from, under)
		s.mu.Unlock()
		if f.down() {
			select { // an open watch waits in an outage
			case <-time.After(50 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			continue
		}
		if len(news) > 0 || !time.Now().Before(deadline) {
			reply(w, 200, map[string]any{"epoch": epoch, "news": news})
			return
		}
		select {
		case <-changed:
		case <-time.After(min(time.Until(deadline), 100*time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newsAfter(from uint64, under string) []storeNews {
	first := sort.Search(len(s.news), func(i int) bool { return s.news[i].Stamp > from })
	news := []storeNews{}
	for _, n := range s.news[first:] {
		if strings.HasPrefix(n.Set+n.Delete, under) {
			news = append(news, n)
		}
	}
	return news
}

// reply sends a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	text, err := json.Marshal(body)
	if err != nil {
		status = 500
	}
	w.WriteHeader(status)
	w.Write(text)
}

// listen opens a free loopback port.
func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	return listener
}

func serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	server.Serve(listener)
}

// txn carries out a transaction, with a fault if one is set.
func (f *storeFront) txn(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.mu.Lock()
	fault := ""
	if f.fault != nil {
		fault = f.fault()
	}
	f.mu.Unlock()
	again := func() {
		copied, _ := http.NewRequest(http.MethodPost, "/txn", bytes.NewReader(body))
		f.store.txn(httptest.NewRecorder(), copied)
	}
	switch fault {
	case "lost":
		again()
		<-r.Context().Done()
		return
	case "late":
		time.AfterFunc(time.Duration(2000+rand.IntN(12000))*time.Millisecond, again)
		<-r.Context().Done()
		return
	case "twice":
		defer time.AfterFunc(time.Duration(500+rand.IntN(12000))*time.Millisecond, again)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	f.store.txn(w, r)
}
