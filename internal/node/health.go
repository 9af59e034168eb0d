package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// The times of judging a node's health. Being taken out by the load balancer
// costs at least some seconds, so a moment without anybody to ask is no reason.
const (
	healthEvery = 500 * time.Millisecond
	aloneFor    = 2 * time.Second
	pingLimit   = 800 * time.Millisecond
)

// health tells whether this node can serve users: with the state service, or
// by passing them on to a node that answers. A node that has lost both, while
// users and workers still reach it, must not draw users.
type health struct {
	serving func() bool // whether the state service serves this node
	peers   pinger
	log     *slog.Logger
	alone   atomic.Bool
}

// pinger asks other nodes whether they answer.
type pinger interface {
	Names() []string
	Ping(ctx context.Context, node string, within time.Duration) (reports int, err error)
}

// OK tells whether the node can serve.
func (h *health) OK() bool { return !h.alone.Load() }

// run judges until ctx ends.
func (h *health) run(ctx context.Context) {
	tick := time.NewTicker(healthEvery)
	defer tick.Stop()
	reached := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if h.serving() || h.anyPeer(ctx) {
			reached = time.Now()
		}
		alone := time.Since(reached) > aloneFor
		if h.alone.Swap(alone) != alone {
			h.log.Info("neither the state service nor another node can be reached", "alone", alone)
		}
	}
}

// anyPeer tells whether some other node answers.
func (h *health) anyPeer(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pingLimit)
	defer cancel()
	names := h.peers.Names()
	answers := make(chan bool, len(names))
	for _, n := range names {
		go func() {
			_, err := h.peers.Ping(ctx, n, 0)
			answers <- err == nil
		}()
	}
	for range names {
		if <-answers {
			return true
		}
	}
	return false
}
