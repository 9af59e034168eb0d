package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// The times of health checks. Being taken out by the load balancer costs at least some
// seconds, so a moment in which nothing can be reached is no reason.
const (
	healthInterval     = 500 * time.Millisecond
	isolationTolerance = 2 * time.Second
	pingTimeout        = 800 * time.Millisecond
)

// healthMonitor checks whether this controller can serve users: with the key-value store,
// or by forwarding their requests to a controller that responds. A controller that has lost
// both, while users and workers still reach it, must not attract users.
type healthMonitor struct {
	storeServing func() bool // whether the key-value store serves this controller
	peers        pinger
	log          *slog.Logger
	isolated     atomic.Bool
}

// pinger checks whether other controllers respond.
type pinger interface {
	Names() []string
	Ping(ctx context.Context, node string, within time.Duration) (heartbeats int, err error)
}

// Healthy reports whether this controller can serve users.
func (h *healthMonitor) Healthy() bool { return !h.isolated.Load() }

// run checks until ctx ends.
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

// anyPeerResponds reports whether some other controller responds.
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

// noResponse stands for the count of a controller that does not respond.
const noResponse = -1

// pingAll pings all other controllers at once. The numbers of heartbeats that they have got
// within a time, or noResponse, come in the order of the responses.
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
