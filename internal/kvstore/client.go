// Package kvstore is the client of the consensus-backed key-value store (the protocol's state
// service): reads, compare-and-swap transactions, leases and watches. One rate limiter per
// process owns this controller's share of the store's rate and grants requests by priority.
//
// It does not know what the keys mean.
package kvstore

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// maxIdleConns is how many idle connections to the store a client keeps.
const maxIdleConns = 16

// Client sends requests to the key-value store.
type Client struct {
	baseURL      string
	http         *http.Client
	limits       *limitTracker
	availability *availability
	limiter      *rateLimiter
	// renewals is the connection that only RenewLease uses.
	renewals *transport.Conn
	// revision is the highest revision in a response.
	revision atomic.Uint64
}

// New returns a client of the store at an address, whose rate limiter runs until ctx ends. share is
// this controller's initial share of the store's rates, from 0 to 1.
func New(ctx context.Context, network transport.Network, addr string, storeLimits settings.StoreLimits, share float64, log *slog.Logger) *Client {
	limits, availability := newLimitTracker(storeLimits, log), newAvailability(log)
	c := &Client{
		baseURL:      "http://" + addr,
		http:         transport.NewClient(network, maxIdleConns),
		limits:       limits,
		availability: availability,
		limiter:      newRateLimiter(limits, availability, share),
		renewals:     transport.NewConn(network, addr),
	}
	go c.limiter.run(ctx)
	return c
}

// SetRateShare changes this controller's share of the store's rates.
func (c *Client) SetRateShare(share float64) { c.limiter.shares <- share }

// Limits returns the store's limits as far as they are known.
func (c *Client) Limits() Limits { return *c.limits.current.Load() }

// Serving reports whether the store served this controller's last request. It returns true before
// the first request.
func (c *Client) Serving() bool { return c.availability.serving.Load() }

// Revision returns the highest revision of the store that a response has named, 0 before the first.
func (c *Client) Revision() uint64 { return c.revision.Load() }

// observeRevision records the revision that a response names.
func (c *Client) observeRevision(revision uint64) {
	for known := c.revision.Load(); revision > known; known = c.revision.Load() {
		if c.revision.CompareAndSwap(known, revision) {
			return
		}
	}
}
