// Package kvstore is the client of the consensus-backed key-value store (the protocol's state
// service): reads, compare-and-swap transactions, leases and watches. One rate limiter per
// process owns this controller's share of the store's rate and grants requests by priority.
package kvstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// The outcomes besides success that callers tell apart.
var (
	// ErrUnavailable: the request was not carried out (503, or no connection).
	ErrUnavailable = errors.New("state service refused the request")
	// ErrUnknownOutcome: no response; it may have been, or may yet be, carried out.
	ErrUnknownOutcome = errors.New("outcome of the state request is unknown")
	// ErrLeaseExpired: the lease has ended.
	ErrLeaseExpired = errors.New("no such lease")
	// ErrCompacted: the watch's revision is no longer kept.
	ErrCompacted = errors.New("revision is no longer kept")
	// ErrOverloaded: this node's share of the rate is used up and the queue is full.
	ErrOverloaded = errors.New("too many state requests are waiting")
	// ErrInvalidRequest: the service found the request malformed.
	ErrInvalidRequest = errors.New("state service rejected the request")
	// ErrLimitsLowered: the request was not carried out, since the service's limits have
	// fallen below it. Limits tells the new ones.
	ErrLimitsLowered = errors.New("the state service's limits have fallen")
)

// Limits are the bounds of a transaction that hold at the moment, as far as known.
type Limits struct {
	MaxChanges int
	ValueBytes int
	RPS        float64
	WriteRPS   float64
}

func limitsOf(l settings.StateLimits) *Limits {
	return &Limits{MaxChanges: l.TxnOps, ValueBytes: int(l.ValueKB * 1024), RPS: l.RPS, WriteRPS: l.WriteRPS}
}

// exceeds tells whether a transaction is more than the limits allow.
func (l *Limits) exceeds(t *wire.CompareAndSwap) bool {
	return len(t.Changes) > l.MaxChanges || slices.ContainsFunc(t.Changes, func(c wire.Change) bool { return len(c.Value) > l.ValueBytes })
}

// Priority ranks requests when the rate is short.
type Priority int

// The priorities, the most urgent first.
const (
	PriorityLease Priority = iota
	PriorityLeader
	PriorityAccept
	PriorityRead
	priorities
)

// Client speaks to the state service.
type Client struct {
	base  string
	http  *http.Client
	pacer *pacer
	// renewals is for Renew alone.
	renewals *transport.Conn
}

// timeout bounds one ordinary request, renewTimeout a renewal.
const (
	timeout      = 1500 * time.Millisecond
	renewTimeout = time.Second
)

// New makes a client whose pacer runs until ctx ends. Of the service's limits share
// is this node's at the start.
func New(ctx context.Context, n transport.Network, addr string, l settings.StateLimits, share float64, log *slog.Logger) *Client {
	c := &Client{
		base:     "http://" + addr,
		http:     transport.NewClient(n, 16),
		pacer:    newPacer(l, share, log),
		renewals: transport.NewConn(n, addr),
	}
	go c.pacer.run(ctx)
	return c
}

// SetRateShare changes this node's part of the service's rate.
func (c *Client) SetRateShare(share float64) { c.pacer.shares <- share }

// Limits are the service's limits as far as they have shown themselves.
func (c *Client) Limits() Limits { return *c.pacer.limits.Load() }

// Serving tells whether the service has served this node when it last answered,
// or not at all.
func (c *Client) Serving() bool { return c.pacer.serving.Load() }

func (c *Client) do(ctx context.Context, p Priority, writes int, limit time.Duration, method, path string, body any) (int, []byte, error) {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return 0, nil, fmt.Errorf("encode %s: %w", path, err)
		}
	}
	for {
		if err := c.pacer.wait(ctx, p, writes); err != nil {
			return 0, nil, err
		}
		status, answer, err := c.once(ctx, limit, method, path, payload)
		if err == nil && status == http.StatusTooManyRequests {
			// Another node uses more than its share at the moment: step back.
			c.pacer.penalise(writes)
			continue
		}
		refused := err == nil && status == http.StatusServiceUnavailable
		if err == nil || errors.Is(err, ErrUnavailable) {
			c.pacer.note(err == nil && !refused)
		} else if limit <= 2*timeout && !errors.Is(ctx.Err(), context.Canceled) {
			// A cut that swallows packets shows only as silence. A watch is
			// silent by its nature.
			c.pacer.note(false)
		}
		if refused {
			return status, nil, ErrUnavailable
		}
		return status, answer, err
	}
}

func (c *Client) once(ctx context.Context, limit time.Duration, method, path string, payload []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(payload))
	if err != nil {
		return 0, nil, fmt.Errorf("request %s: %w", path, err)
	}
	if payload != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if transport.NotSent(err) {
			return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return resp.StatusCode, answer, nil
}

func decode(answer []byte, into any) error {
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("%w: answer can't be read: %w", ErrUnknownOutcome, err)
	}
	return nil
}

func unexpected(status int, answer []byte) error {
	if len(answer) > 200 {
		answer = answer[:200]
	}
	return fmt.Errorf("%w: status %d: %s", ErrInvalidRequest, status, answer)
}

// Get reads a key; found is false when it does not exist.
func (c *Client) Get(ctx context.Context, p Priority, key string) (e wire.Entry, found bool, err error) {
	status, answer, err := c.do(ctx, p, 0, timeout, http.MethodGet, "/store/"+key, nil)
	if err != nil {
		return e, false, err
	}
	switch status {
	case http.StatusOK:
		err = decode(answer, &e)
		return e, err == nil, err
	case http.StatusNotFound:
		return e, false, nil
	}
	return e, false, unexpected(status, answer)
}

// List reads one page of the keys under a prefix, and the service's revision.
func (c *Client) List(ctx context.Context, p Priority, under, after string, limit int) (page wire.EntryPage, err error) {
	q := url.Values{"under": {under}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("from", after)
	}
	status, answer, err := c.do(ctx, p, 0, 2*timeout, http.MethodGet, "/store?"+q.Encode(), nil)
	if err != nil {
		return page, err
	}
	if status != http.StatusOK {
		return page, unexpected(status, answer)
	}
	return page, decode(answer, &page)
}

// Lister reads pages of keys.
type Lister interface {
	List(ctx context.Context, p Priority, under, after string, limit int) (wire.EntryPage, error)
}

// Listing is all keys under a prefix. They were read in pages, the first at one revision
// of the service and the last at another.
type Listing struct {
	Entries                     []wire.Entry
	FirstRevision, LastRevision uint64
}

// ListAll reads all keys under a prefix, page by page.
func ListAll(ctx context.Context, l Lister, p Priority, under string) (Listing, error) {
	var all Listing
	for after := ""; ; {
		page, err := l.List(ctx, p, under, after, 1000)
		if err != nil {
			return Listing{}, err
		}
		if all.FirstRevision == 0 {
			all.FirstRevision = page.Revision
		}
		all.Entries, all.LastRevision = append(all.Entries, page.Entries...), page.Revision
		if !page.More || len(page.Entries) == 0 {
			return all, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// CompareAndSwap carries out a transaction. ok is false when a condition failed.
func (c *Client) CompareAndSwap(ctx context.Context, p Priority, t wire.CompareAndSwap) (ok bool, a wire.CompareAndSwapResponse, err error) {
	if t.Changes == nil {
		t.Changes = []wire.Change{}
	}
	status, answer, err := c.do(ctx, p, len(t.Changes), timeout, http.MethodPost, "/txn", t)
	if err != nil {
		return false, a, err
	}
	switch status {
	case http.StatusOK, http.StatusConflict:
		err = decode(answer, &a)
		return err == nil && status == http.StatusOK, a, err
	}
	if bytes.Contains(answer, []byte("no such lease")) {
		return false, a, ErrLeaseExpired
	}
	// The service does not say which limit it is, nor when they fall.
	if next := c.pacer.next; status == http.StatusBadRequest && next != nil && next.exceeds(&t) {
		c.pacer.fall("a transaction was too large")
		return false, a, ErrLimitsLowered
	}
	return false, a, unexpected(status, answer)
}

// GrantLease obtains a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	status, answer, err := c.do(ctx, PriorityLease, 0, timeout, http.MethodPost, "/leases", wire.LeaseRequest{TTLMS: ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, unexpected(status, answer)
	}
	var a wire.LeaseResponse
	return a.Lease, decode(answer, &a)
}

// RenewLease renews a lease. It waits for no grant and on no other goroutine of ours.
// One goroutine at a time may call it.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	path := "/leases/" + strconv.FormatUint(lease, 10) + "/renew"
	if err := c.renewals.Open(ctx, renewTimeout); err != nil {
		c.pacer.note(false)
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.pacer.spend()
	response, err := c.renewals.Do(time.Now().Add(renewTimeout), transport.Request{Method: http.MethodPost, Path: path, Body: []byte("{}")})
	status, answer := response.Status, response.Body
	served := err == nil && status != http.StatusServiceUnavailable
	c.pacer.note(served)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	case !served || status == http.StatusTooManyRequests:
		return ErrUnavailable
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrLeaseExpired
	}
	return unexpected(status, answer)
}

// RevokeLease ends a lease at once, with the keys attached to it.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	status, answer, err := c.do(ctx, PriorityLease, 0, timeout, http.MethodDelete, "/leases/"+strconv.FormatUint(lease, 10), nil)
	if err != nil {
		return err
	}
	if status/100 != 2 && status != http.StatusNotFound {
		return unexpected(status, answer)
	}
	return nil
}

// Watch waits until a key under the prefix has changed after a revision.
func (c *Client) Watch(ctx context.Context, under string, after uint64, wait time.Duration) (n wire.WatchResponse, err error) {
	q := url.Values{"under": {under}, "from": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	status, answer, err := c.do(ctx, PriorityLeader, 0, wait+2*time.Second, http.MethodGet, "/changes?"+q.Encode(), nil)
	if err != nil {
		return n, err
	}
	switch status {
	case http.StatusOK:
		return n, decode(answer, &n)
	case http.StatusGone:
		return n, ErrCompacted
	}
	return n, unexpected(status, answer)
}
