package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// Timing of health checks. When the load balancer removes a controller, it stays removed for at
// least a few seconds, so brief isolation must not make the controller unhealthy.
const (
	healthInterval     = 500 * time.Millisecond
	isolationTolerance = 2 * time.Second // isolation for up to this long is tolerated
	pingTimeout        = 800 * time.Millisecond
)

// healthMonitor checks whether this controller can serve users, either through the key-value
// store or by forwarding their requests to a controller that responds. A controller that has lost
// both, but is still reachable for users and agents, must not receive users' requests.
type healthMonitor struct {
	storeServing func() bool // reports whether the key-value store serves this controller
	peers        pinger
	log          *slog.Logger
	isolated     atomic.Bool
}

// pinger checks whether other controllers respond.
type pinger interface {
	Names() []string
	// Ping returns how many heartbeats agents have sent directly to a controller within a time
	// window, or an error if the controller does not respond.
	Ping(ctx context.Context, controller string, within time.Duration) (heartbeats int, err error)
}

// Healthy reports whether this controller can serve users.
func (h *healthMonitor) Healthy() bool { return !h.isolated.Load() }

// run checks periodically until ctx ends.
func (h *healthMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	lastReached := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if h.storeServing() || h.anyPeerResponds(ctx) {
			lastReached = time.Now()
		}
		isolated := time.Since(lastReached) > isolationTolerance
		if h.isolated.Swap(isolated) != isolated {
			h.log.Info("isolation from the key-value store and all controllers changed", "isolated", isolated)
		}
	}
}

// anyPeerResponds reports whether at least one other controller responds within pingTimeout.
func (h *healthMonitor) anyPeerResponds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	counts := pingAll(ctx, h.peers, 0)
	for range h.peers.Names() {
		if <-counts != noResponse {
			return true
		}
	}
	return false
}

// noResponse replaces the count of a controller that does not respond.
const noResponse = -1

// pingAll pings all other controllers concurrently. The returned channel delivers one value for
// each of them, in the order of their responses: the number of heartbeats that agents have sent
// directly to it within the time window, or noResponse.
func pingAll(ctx context.Context, peers pinger, within time.Duration) <-chan int {
	names := peers.Names()
	counts := make(chan int, len(names))
	for _, name := range names {
		go func() {
			heartbeats, err := peers.Ping(ctx, name, within)
			if err != nil {
				heartbeats = noResponse
			}
			counts <- heartbeats
		}()
	}
	return counts
}
