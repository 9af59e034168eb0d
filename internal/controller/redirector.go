package controller

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// Workers stay with the controller that responds to them. The leader's time is the
// shortest: it has all the commands to workers, and the decisions. So of the workers that
// come to it, it redirects all but a few to controllers that forward heartbeats to it.

// The times and bounds of redirecting workers.
const (
	redirectInterval = 20 * time.Millisecond // one worker at a time
	redirectCooldown = 2 * time.Minute       // the same one: it may not reach the others
	// A leader keeps a quarter of what would be an equal share, and so many more:
	// the few of a small deployment are no burden.
	leaderShareDivisor = 4
	leaderAllowance    = 16
)

// redirector decides which workers a leader redirects to which controllers. Its state is
// owned by the goroutine that executes run.
type redirector struct {
	forwarderCount atomic.Int64 // controllers that forward heartbeats here
	connected      chan forwarder
	requests       chan redirectRequest
}

// forwarder is a controller that forwards heartbeats here until done is closed.
type forwarder struct {
	node string
	done <-chan struct{}
}

// redirectRequest asks for the controller that a worker is redirected to.
type redirectRequest struct {
	machine string
	target  chan string // has room for one
}

func newRedirector() *redirector {
	return &redirector{connected: make(chan forwarder), requests: make(chan redirectRequest)}
}

// addForwarder adds a controller that forwards heartbeats here until ctx ends.
func (r *redirector) addForwarder(ctx context.Context, node string) {
	select {
	case r.connected <- forwarder{node: node, done: ctx.Done()}:
	case <-ctx.Done():
	}
}

// target names the controller that a worker is redirected to, or "" when it is to stay: with
// so many connections open here and so many machines in all.
func (r *redirector) target(ctx context.Context, machine string, open, machines int) string {
	forwarders := int(r.forwarderCount.Load())
	if forwarders == 0 || open <= machines/(forwarders+1)/leaderShareDivisor+leaderAllowance {
		return ""
	}
	request := redirectRequest{machine: machine, target: make(chan string, 1)}
	select {
	case r.requests <- request:
		return <-request.target
	case <-ctx.Done():
		return ""
	}
}

// run decides until ctx ends.
func (r *redirector) run(ctx context.Context) {
	forwarders := forwarderSet{streams: map[string]int{}}
	history := redirectHistory{redirectedAt: map[string]time.Time{}}
	disconnected := make(chan string)
	for {
		select {
		case peer := <-r.connected:
			forwarders.add(peer.node)
			go func() {
				<-peer.done
				select {
				case disconnected <- peer.node:
				case <-ctx.Done():
				}
			}()
		case node := <-disconnected:
			forwarders.remove(node)
		case request := <-r.requests:
			if len(forwarders.nodes) > 0 && history.allow(request.machine, time.Now()) {
				request.target <- forwarders.next()
			} else {
				request.target <- ""
			}
		case <-ctx.Done():
			return
		}
		r.forwarderCount.Store(int64(len(forwarders.nodes)))
	}
}

// forwarderSet holds the controllers that have a stream to here, in the order of connecting.
type forwarderSet struct {
	nodes      []string
	streams    map[string]int // by node: an old stream may end after the new one has begun
	roundRobin int
}

func (f *forwarderSet) add(node string) {
	if f.streams[node]++; f.streams[node] == 1 {
		f.nodes = append(f.nodes, node)
	}
}

func (f *forwarderSet) remove(node string) {
	if f.streams[node]--; f.streams[node] == 0 {
		delete(f.streams, node)
		f.nodes = slices.DeleteFunc(f.nodes, func(n string) bool { return n == node })
	}
}

// next returns the controllers one after the other.
func (f *forwarderSet) next() string {
	f.roundRobin++
	return f.nodes[f.roundRobin%len(f.nodes)]
}

// redirectHistory limits how often workers are redirected.
type redirectHistory struct {
	// redirectedAt is when each worker was redirected, as long as that counts: one in
	// redirectInterval, for up to twice redirectCooldown, which are 12,000.
	redirectedAt              map[string]time.Time
	lastRedirect, lastCleanup time.Time
}

// allow reports whether a worker may be redirected now, and notes it if so.
func (h *redirectHistory) allow(machine string, now time.Time) bool {
	if now.Sub(h.lastRedirect) < redirectInterval || now.Sub(h.redirectedAt[machine]) < redirectCooldown {
		return false
	}
	if now.Sub(h.lastCleanup) >= redirectCooldown {
		maps.DeleteFunc(h.redirectedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= redirectCooldown })
		h.lastCleanup = now
	}
	h.redirectedAt[machine], h.lastRedirect = now, now
	return true
}
