package soak

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"leadproxy/internal/fake"
)

// messageFaults injects the active fault into POST requests.
type messageFaults struct {
	path   string                       // of the affected requests; "": all
	active atomic.Pointer[messageFault] // nil: none
	random chan *rand.Rand              // holds the one generator while it is not in use
}

// messageFault is a fault that is injected into a share of the requests.
type messageFault struct {
	kind               fake.FaultKind
	share              float64
	minDelay, maxDelay time.Duration
}

func newMessageFaults(path string, seed uint64) *messageFaults {
	m := &messageFaults{path: path, random: make(chan *rand.Rand, 1)}
	m.random <- rand.New(rand.NewPCG(seed, 2))
	return m
}

// inject decides which fault is injected into a request.
func (m *messageFaults) inject(_ string, request *http.Request) fake.InjectedFault {
	f := m.active.Load()
	if f == nil || request.Method != http.MethodPost || m.path != "" && request.URL.Path != m.path {
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
)
