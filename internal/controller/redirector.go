package controller

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// Agents stay with the controller that responds to them. The leader is the busiest controller,
// since it alone makes scheduling decisions and sends commands to agents. It therefore redirects
// all but a few of the agents that connect to it to controllers that forward heartbeats to it.

// Rates and bounds of redirecting agents.
const (
	redirectInterval = 20 * time.Millisecond // at most one agent per interval
	redirectCooldown = 2 * time.Minute       // per agent: it may be unable to reach other controllers
	// A leader keeps a quarter of an equal share of the agents and leaderAllowance more, so that
	// it redirects none of the few agents of a small deployment, which are no burden.
	leaderShareDivisor = 4
	leaderAllowance    = 16
)

// redirector decides which agents the leader redirects, and to which controllers. Its state is
// owned by the goroutine that executes run.
type redirector struct {
	forwarderCount atomic.Int64 // number of controllers that forward heartbeats here
	connected      chan forwarder
	requests       chan redirectRequest
}

// forwarder is a controller that forwards heartbeats here until done is closed.
type forwarder struct {
	controller string
	done       <-chan struct{}
}

// redirectRequest asks which controller an agent should be redirected to.
type redirectRequest struct {
	machine string
	target  chan string // buffered, so that run never blocks on it
}

func newRedirector() *redirector {
	return &redirector{connected: make(chan forwarder), requests: make(chan redirectRequest)}
}

// addForwarder registers a controller that forwards heartbeats here until ctx ends.
func (r *redirector) addForwarder(ctx context.Context, controller string) {
	select {
	case r.connected <- forwarder{controller: controller, done: ctx.Done()}:
	case <-ctx.Done():
	}
}

// target returns the controller that an agent is to be redirected to, or "" if it is to stay. open
// is the number of inbound connections of this controller and machines the number of machines in
// the cell.
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

// run handles requests and tracks forwarders until ctx ends.
func (r *redirector) run(ctx context.Context) {
	forwarders := forwarderSet{streams: map[string]int{}}
	history := redirectHistory{redirectedAt: map[string]time.Time{}}
	disconnected := make(chan string)
	for {
		select {
		case peer := <-r.connected:
			forwarders.add(peer.controller)
			go func() {
				<-peer.done
				select {
				case disconnected <- peer.controller:
				case <-ctx.Done():
				}
			}()
		case controller := <-disconnected:
			forwarders.remove(controller)
		case request := <-r.requests:
			if len(forwarders.controllers) > 0 && history.allow(request.machine, time.Now()) {
				request.target <- forwarders.next()
			} else {
				request.target <- ""
			}
		case <-ctx.Done():
			return
		}
		r.forwarderCount.Store(int64(len(forwarders.controllers)))
	}
}

// forwarderSet holds the controllers that have a stream to this one, in the order in which they
// connected.
type forwarderSet struct {
	controllers []string
	streams     map[string]int // by controller: an old stream may end after the new one has begun
	roundRobin  int
}

func (f *forwarderSet) add(controller string) {
	if f.streams[controller]++; f.streams[controller] == 1 {
		f.controllers = append(f.controllers, controller)
	}
}

func (f *forwarderSet) remove(controller string) {
	if f.streams[controller]--; f.streams[controller] == 0 {
		delete(f.streams, controller)
		f.controllers = slices.DeleteFunc(f.controllers, func(other string) bool { return other == controller })
	}
}

// next returns the controllers in round-robin order. The set must not be empty.
func (f *forwarderSet) next() string {
	f.roundRobin++
	return f.controllers[f.roundRobin%len(f.controllers)]
}

// redirectHistory limits how often agents are redirected, in total and each.
type redirectHistory struct {
	// redirectedAt holds when each machine's agent was last redirected. Entries are kept for at
	// most twice redirectCooldown and added at most once per redirectInterval, so there are at
	// most 12,000.
	redirectedAt              map[string]time.Time
	lastRedirect, lastCleanup time.Time
}

// allow reports whether the agent of a machine may be redirected now, and records the redirect if
// so.
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
