package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

func leasePath(lease uint64) string { return "/leases/" + strconv.FormatUint(lease, 10) }

// GrantLease obtains a lease with a time to live, and returns its number.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	resp, err := c.send(ctx, request{
		method: http.MethodPost, path: "/leases", body: wire.LeaseRequest{TTLMS: ttl.Milliseconds()},
		priority: PriorityLease, timeout: requestTimeout,
	})
	if err != nil {
		return 0, err
	}
	if resp.status != http.StatusOK {
		return 0, resp.rejectionError()
	}
	var granted wire.LeaseResponse
	err = resp.decode(&granted)
	return granted.Lease, err
}

// RenewLease renews a lease. It waits neither for the rate limiter nor for any other goroutine. Only
// one goroutine at a time may call it.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	r := request{method: http.MethodPost, path: leasePath(lease) + "/renew", timeout: renewTimeout}
	if err := c.renewals.Open(ctx, r.timeout); err != nil {
		c.availability.record(notServed)
		return r.wrapError(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	c.limiter.recordUngranted()
	received, err := c.renewals.Do(time.Now().Add(r.timeout), transport.Request{Method: r.method, Path: r.path, Body: []byte("{}")})
	if err != nil {
		c.availability.record(notServed)
		return r.wrapError(fmt.Errorf("%w: %w", ErrUnknownOutcome, err))
	}
	if received.Status == http.StatusServiceUnavailable {
		c.availability.record(notServed)
		return r.wrapError(ErrUnavailable)
	}
	c.availability.record(served)
	switch received.Status {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return r.wrapError(ErrUnavailable)
	case http.StatusNotFound:
		return r.wrapError(ErrLeaseExpired)
	}
	return response{request: r, status: received.Status, body: received.Body}.rejectionError()
}

// RevokeLease ends a lease at once and deletes the keys attached to it. It returns nil for a lease
// that has already ended.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	resp, err := c.send(ctx, request{method: http.MethodDelete, path: leasePath(lease), priority: PriorityLease, timeout: requestTimeout})
	if err != nil {
		return err
	}
	if resp.status/100 != 2 && resp.status != http.StatusNotFound {
		return resp.rejectionError()
	}
	return nil
}
