// Package autoscaler is the client of the cloud and the planner of scale-out. The client's
// goroutine owns the cloud's rate budget; Plan, which decides what to rent, is pure.
package autoscaler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// Call is one request to the cloud; one of its fields is set.
type Call struct {
	ScaleOut *wire.ScaleOutRequest
	Delete   []string
	List     bool
	Types    bool
}

// Result is the outcome of a call.
type Result struct {
	Call     Call
	Err      error // nil, ErrNoCapacity, ErrRefused or ErrUnknown
	Machines []string
	List     []wire.ListedMachine
	Types    []wire.MachineType
}

// The outcomes besides success.
var (
	ErrNoCapacity     = errors.New("the cloud has no capacity for this")
	ErrNotExecuted    = errors.New("the cloud did not carry out the call")
	ErrUnknownOutcome = errors.New("outcome of the cloud call is unknown")
)

// The protocol's bounds on one call.
const (
	MaxScaleOut = 50
	MaxDelete   = 100
	maxList     = 500
)

const timeout = 5 * time.Second

// Client is the actor that makes the calls, in order of urgency: deletions,
// hires, then reading.
type Client struct {
	base    string
	http    *http.Client
	rate    float64
	calls   chan Call
	Results chan Result
}

// NewClient makes a client with a share of the cloud's rate; Run starts it.
func NewClient(n transport.Network, addr string, rate float64) *Client {
	return &Client{
		base:  "http://" + addr,
		http:  transport.NewClient(n, 8),
		rate:  rate,
		calls: make(chan Call, 256), Results: make(chan Result, 64),
	}
}

// Submit hands a call over; it gives up only with ctx.
func (c *Client) Submit(ctx context.Context, call Call) {
	select {
	case c.calls <- call:
	case <-ctx.Done():
	}
}

func urgency(call Call) int {
	switch {
	case call.Delete != nil:
		return 0
	case call.ScaleOut != nil:
		return 1
	}
	return 2
}

// Run makes the calls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	gap := time.Duration(float64(time.Second) / c.rate)
	var queues [3][]Call
	next := time.Now()
	timer := time.NewTimer(0)
	for {
		select {
		case call := <-c.calls:
			u := urgency(call)
			queues[u] = append(queues[u], call)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		for u := 0; u < len(queues) && !now.Before(next); {
			if len(queues[u]) == 0 {
				u++
				continue
			}
			call := queues[u][0]
			queues[u] = queues[u][1:]
			next = now.Add(gap)
			go c.carryOut(ctx, call)
		}
		if len(queues[0])+len(queues[1])+len(queues[2]) > 0 {
			timer.Reset(max(time.Until(next), time.Millisecond))
		}
	}
}

func (c *Client) carryOut(ctx context.Context, call Call) {
	r := Result{Call: call}
	switch {
	case call.ScaleOut != nil:
		var a wire.MachineNames
		r.Err = c.do(ctx, http.MethodPost, "/machines", call.ScaleOut, &a)
		r.Machines = a.Names
	case call.Delete != nil:
		r.Err = c.do(ctx, http.MethodPost, "/machines/delete", wire.MachineNames{Names: call.Delete}, nil)
	case call.Types:
		var a wire.MachineTypes
		r.Err = c.do(ctx, http.MethodGet, "/flavors", nil, &a)
		r.Types = a.Types
	case call.List:
		r.List, r.Err = c.list(ctx)
	}
	select {
	case c.Results <- r:
	case <-ctx.Done():
	}
}

func (c *Client) list(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	after := ""
	for {
		q := url.Values{"limit": {fmt.Sprint(maxList)}}
		if after != "" {
			q.Set("from", after)
		}
		var page wire.MachineList
		if err := c.do(ctx, http.MethodGet, "/machines?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
		// Further pages count against the rate as well.
		transport.Pause(ctx, time.Duration(float64(time.Second)/c.rate))
	}
}

// Types reads the machine types once, outside of the queue.
func (c *Client) Types(ctx context.Context) ([]wire.MachineType, error) {
	var a wire.MachineTypes
	err := c.do(ctx, http.MethodGet, "/flavors", nil, &a)
	return a.Types, err
}

func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(payload))
	if err != nil {
		return fmt.Errorf("request %s: %w", path, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if transport.NotSent(err) {
			return fmt.Errorf("%w: %w", ErrNotExecuted, err)
		}
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusServiceUnavailable && bytes.Contains(answer, []byte("no capacity")):
		return ErrNoCapacity
	default:
		return fmt.Errorf("%w: status %d: %.100s", ErrNotExecuted, resp.StatusCode, answer)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("%w: answer can't be read: %w", ErrUnknownOutcome, err)
	}
	return nil
}
