package controller

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
	answers := pingAll(ctx, h.peers, 0)
	for range h.peers.Names() {
		if <-answers != noAnswer {
			return true
		}
	}
	return false
}

// noAnswer stands for the count of a node that does not answer.
const noAnswer = -1

// pingAll asks all other nodes at once. What each of them counts, or noAnswer,
// comes in the order of the answers.
func pingAll(ctx context.Context, peers pinger, within time.Duration) <-chan int {
	names := peers.Names()
	counts := make(chan int, len(names))
	for _, n := range names {
		go func() {
			reports, err := peers.Ping(ctx, n, within)
			if err != nil {
				reports = noAnswer
			}
			counts <- reports
		}()
	}
	return counts
}
