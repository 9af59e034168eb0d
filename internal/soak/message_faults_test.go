package soak

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"leadproxy/internal/fake"
)

// messageFaults injects the active fault into the requests that match.
type messageFaults struct {
	matches func(r *http.Request) bool
	active  atomic.Pointer[messageFault] // nil: none
	random  chan *rand.Rand              // holds the one generator while it is not in use
}

// messageFault is a fault that is injected into a share of the requests.
type messageFault struct {
	kind               fake.FaultKind
	share              float64
	minDelay, maxDelay time.Duration
}

func newMessageFaults(matches func(r *http.Request) bool, seed uint64) *messageFaults {
	m := &messageFaults{matches: matches, random: make(chan *rand.Rand, 1)}
	m.random <- rand.New(rand.NewPCG(seed, 2))
	return m
}

// isPost returns a function that reports whether a request is a POST request to a path; "" is any.
func isPost(path string) func(r *http.Request) bool {
	return func(r *http.Request) bool { return r.Method == http.MethodPost && (path == "" || r.URL.Path == path) }
}

// isWatch reports whether a request is a watch of any keys.
func isWatch(r *http.Request) bool { return fake.IsWatch(r, r.FormValue("under")) }

// inject decides which fault is injected into a request.
func (m *messageFaults) inject(_ string, request *http.Request) fake.InjectedFault {
	f := m.active.Load()
	if f == nil || !m.matches(request) {
		return fake.InjectedFault{}
	}
	random := <-m.random
	defer func() { m.random <- random }()
	if random.Float64() >= f.share {
		return fake.InjectedFault{}
	}
	return fake.InjectedFault{Kind: f.kind, Delay: f.minDelay + time.Duration(random.Float64()*float64(f.maxDelay-f.minDelay))}
}

// begin makes a fault the active one until end is called or another fault begins.
func (m *messageFaults) begin(f messageFault) (end func()) {
	m.active.Store(&f)
	return func() { m.active.CompareAndSwap(&f, nil) }
}

// The bounds of the random delays of messages.
const (
	minMessageDelay = 2 * time.Second
	maxMessageDelay = 14 * time.Second
	maxReadDelay    = 3 * time.Second
)
