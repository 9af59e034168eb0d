package kvstore

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// newTestClient returns a client of a store that answers every request with the same status and body.
func newTestClient(t *testing.T, status int, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	limits := limitsWithRates(1000, 1000)
	limits.Next = announcedLimits
	addr := strings.TrimPrefix(server.URL, "http://")
	return New(t.Context(), transport.TCP{}, addr, limits, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// TestFailedRequests checks that a failure wraps the right one of the package's errors and names the
// request.
func TestFailedRequests(t *testing.T) {
	compareAndSwap := func(changes int) func(context.Context, *Client) error {
		return func(ctx context.Context, c *Client) error {
			_, _, err := c.CompareAndSwap(ctx, PriorityLeader, wire.CompareAndSwap{Changes: make([]wire.Change, changes)})
			return err
		}
	}
	get := func(ctx context.Context, c *Client) error {
		_, _, err := c.Get(ctx, PriorityRead, "job/a")
		return err
	}
	renew := func(ctx context.Context, c *Client) error { return c.RenewLease(ctx, 7) }
	watch := func(ctx context.Context, c *Client) error {
		_, err := c.Watch(ctx, "job/", 5, 0)
		return err
	}
	cases := []struct {
		name   string
		status int
		body   string
		send   func(context.Context, *Client) error
		want   error
		method string
		path   string
	}{
		{"unavailable", 503, "", get, ErrUnavailable, "GET", "/store/job/a"},
		{"invalid request", 400, `{"error":"bad"}`, get, ErrInvalidRequest, "GET", "/store/job/a"},
		{"undecodable response", 200, "[", get, ErrUnknownOutcome, "GET", "/store/job/a"},
		{"transaction with an expired lease", 400, `{"error":"no such lease"}`, compareAndSwap(1), ErrLeaseExpired, "POST", "/txn"},
		{"transaction within the announced limits", 400, `{"error":"bad"}`, compareAndSwap(1), ErrInvalidRequest, "POST", "/txn"},
		{"transaction beyond the announced limits", 400, `{"error":"bad"}`, compareAndSwap(6), ErrLimitsLowered, "POST", "/txn"},
		{"renewal of an expired lease", 404, "", renew, ErrLeaseExpired, "POST", "/leases/7/renew"},
		{"renewal while unavailable", 503, "", renew, ErrUnavailable, "POST", "/leases/7/renew"},
		{"renewal refused for the rate", 429, "", renew, ErrUnavailable, "POST", "/leases/7/renew"},
		{"watch after a compacted revision", 410, "", watch, ErrCompacted, "GET", "/changes?from=5&under=job%2F&wait_ms=0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.send(t.Context(), newTestClient(t, c.status, c.body))
			if !errors.Is(err, c.want) {
				t.Fatalf("failed with %v, want %v", err, c.want)
			}
			var failed *RequestError
			if !errors.As(err, &failed) || failed.Method != c.method || failed.Path != c.path {
				t.Errorf("the error %q does not name %s %s", err, c.method, c.path)
			}
		})
	}
}
