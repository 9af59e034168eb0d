// Package state is the client of the state service. One pacer per process owns
// the node's share of the service's rate limits and grants requests by
// priority; the rest is plain requests and their outcomes.
package state

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

	"leadproxy/internal/outbound"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// The outcomes besides success that callers tell apart.
var (
	// ErrRefused: the request was not carried out (503, or no connection).
	ErrRefused = errors.New("state service refused the request")
	// ErrUnknown: no response; it may have been, or may yet be, carried out.
	ErrUnknown = errors.New("outcome of the state request is unknown")
	// ErrNoLease: the lease has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrTooOld: the watch's revision is no longer kept.
	ErrTooOld = errors.New("revision is no longer kept")
	// ErrBusy: this node's share of the rate is used up and the queue is full.
	ErrBusy = errors.New("too many state requests are waiting")
	// ErrBad: the service found the request malformed.
	ErrBad = errors.New("state service rejected the request")
	// ErrLimits: the request was not carried out, since the service's limits have
	// fallen below it. Limits tells the new ones.
	ErrLimits = errors.New("the state service's limits have fallen")
)

// Limits are the bounds of a transaction that hold at the moment, as far as known.
type Limits struct {
	Ops        int
	ValueBytes int
	RPS        float64
	WriteRPS   float64
}

func limitsOf(l settings.StateLimits) *Limits {
	return &Limits{Ops: l.TxnOps, ValueBytes: int(l.ValueKB * 1024), RPS: l.RPS, WriteRPS: l.WriteRPS}
}

// exceeds tells whether a transaction is more than the limits allow.
func (l *Limits) exceeds(t *wire.Txn) bool {
	return len(t.Then) > l.Ops || slices.ContainsFunc(t.Then, func(c wire.Change) bool { return len(c.Value) > l.ValueBytes })
}

// Priority ranks requests when the rate is short.
type Priority int

// The priorities, the most urgent first.
const (
	Lease Priority = iota
	Leader
	Accept
	Read
	priorities
)

// Client speaks to the state service.
type Client struct {
	base  string
	http  *http.Client
	pacer *pacer
	// renewals is for Renew alone.
	renewals *outbound.Conn
}

// timeout bounds one ordinary request, renewTimeout a renewal.
const (
	timeout      = 1500 * time.Millisecond
	renewTimeout = time.Second
)

// New makes a client whose pacer runs until ctx ends. Of the service's limits share
// is this node's at the start.
func New(ctx context.Context, n outbound.Network, addr string, l settings.StateLimits, share float64, log *slog.Logger) *Client {
	c := &Client{
		base:     "http://" + addr,
		http:     outbound.NewClient(n, 16),
		pacer:    newPacer(l, share, log),
		renewals: outbound.NewConn(n, addr),
	}
	go c.pacer.run(ctx)
	return c
}

// SetShare changes this node's part of the service's rate.
func (c *Client) SetShare(share float64) { c.pacer.shares <- share }

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
		if err == nil || errors.Is(err, ErrRefused) {
			c.pacer.note(err == nil && !refused)
		} else if limit <= 2*timeout && !errors.Is(ctx.Err(), context.Canceled) {
			// A cut that swallows packets shows only as silence. A watch is
			// silent by its nature.
			c.pacer.note(false)
		}
		if refused {
			return status, nil, ErrRefused
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
		if outbound.NeverSent(err) {
			return 0, nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return resp.StatusCode, answer, nil
}

func decode(answer []byte, into any) error {
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("%w: answer can't be read: %w", ErrUnknown, err)
	}
	return nil
}

func unexpected(status int, answer []byte) error {
	if len(answer) > 200 {
		answer = answer[:200]
	}
	return fmt.Errorf("%w: status %d: %s", ErrBad, status, answer)
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
func (c *Client) List(ctx context.Context, p Priority, under, after string, limit int) (page wire.Entries, err error) {
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
	List(ctx context.Context, p Priority, under, after string, limit int) (wire.Entries, error)
}

// Listing is all keys under a prefix. They were read in pages, the first at one revision
// of the service and the last at another.
type Listing struct {
	Entries      []wire.Entry
	Began, Ended uint64
}

// ListAll reads all keys under a prefix, page by page.
func ListAll(ctx context.Context, l Lister, p Priority, under string) (Listing, error) {
	var all Listing
	for after := ""; ; {
		page, err := l.List(ctx, p, under, after, 1000)
		if err != nil {
			return Listing{}, err
		}
		if all.Began == 0 {
			all.Began = page.Revision
		}
		all.Entries, all.Ended = append(all.Entries, page.Items...), page.Revision
		if !page.More || len(page.Items) == 0 {
			return all, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Txn carries out a transaction. ok is false when a condition failed.
func (c *Client) Txn(ctx context.Context, p Priority, t wire.Txn) (ok bool, a wire.TxnAnswer, err error) {
	if t.Then == nil {
		t.Then = []wire.Change{}
	}
	status, answer, err := c.do(ctx, p, len(t.Then), timeout, http.MethodPost, "/txn", t)
	if err != nil {
		return false, a, err
	}
	switch status {
	case http.StatusOK, http.StatusConflict:
		err = decode(answer, &a)
		return err == nil && status == http.StatusOK, a, err
	}
	if bytes.Contains(answer, []byte("no such lease")) {
		return false, a, ErrNoLease
	}
	// The service does not say which limit it is, nor when they fall.
	if next := c.pacer.next; status == http.StatusBadRequest && next != nil && next.exceeds(&t) {
		c.pacer.fall("a transaction was too large")
		return false, a, ErrLimits
	}
	return false, a, unexpected(status, answer)
}

// NewLease obtains a lease.
func (c *Client) NewLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	status, answer, err := c.do(ctx, Lease, 0, timeout, http.MethodPost, "/leases", wire.LeaseTerms{TTLMS: ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, unexpected(status, answer)
	}
	var a wire.LeaseAnswer
	return a.Lease, decode(answer, &a)
}

// Renew renews a lease. It waits for no grant and on no other goroutine of ours.
// One goroutine at a time may call it.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	path := "/leases/" + strconv.FormatUint(lease, 10) + "/renew"
	if err := c.renewals.Open(ctx, renewTimeout); err != nil {
		c.pacer.note(false)
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	c.pacer.spend()
	status, answer, err := c.renewals.Do(time.Now().Add(renewTimeout), http.MethodPost, path, []byte("{}"))
	served := err == nil && status != http.StatusServiceUnavailable
	c.pacer.note(served)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	case !served || status == http.StatusTooManyRequests:
		return ErrRefused
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNoLease
	}
	return unexpected(status, answer)
}

// EndLease ends a lease at once, with the keys attached to it.
func (c *Client) EndLease(ctx context.Context, lease uint64) error {
	status, answer, err := c.do(ctx, Lease, 0, timeout, http.MethodDelete, "/leases/"+strconv.FormatUint(lease, 10), nil)
	if err != nil {
		return err
	}
	if status/100 != 2 && status != http.StatusNotFound {
		return unexpected(status, answer)
	}
	return nil
}

// Watch waits until a key under the prefix has changed after a revision.
func (c *Client) Watch(ctx context.Context, under string, after uint64, wait time.Duration) (n wire.News, err error) {
	q := url.Values{"under": {under}, "from": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	status, answer, err := c.do(ctx, Leader, 0, wait+2*time.Second, http.MethodGet, "/changes?"+q.Encode(), nil)
	if err != nil {
		return n, err
	}
	switch status {
	case http.StatusOK:
		return n, decode(answer, &n)
	case http.StatusGone:
		return n, ErrTooOld
	}
	return n, unexpected(status, answer)
}
