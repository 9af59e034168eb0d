package autoscaler

import (
	"context"
	"net/http"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// The sizes of the client's channels, and its connections to the cloud.
const (
	callBuffer     = 256
	resultBuffer   = 64
	maxConnections = 8
)

// Client is the actor that makes the calls, in order of urgency: deletions,
// scale-outs, then reads.
type Client struct {
	baseURL        string
	http           *http.Client
	callsPerSecond float64 // calls a second
	calls          chan Call
	Results        chan Result
}

// NewClient makes a client with a share of the cloud's rate; Run starts it.
func NewClient(n transport.Network, addr string, rate float64) *Client {
	return &Client{
		baseURL:        "http://" + addr,
		http:           transport.NewClient(n, maxConnections),
		callsPerSecond: rate,
		calls:          make(chan Call, callBuffer),
		Results:        make(chan Result, resultBuffer),
	}
}

// interval is the time from one call to the next.
func (c *Client) interval() time.Duration {
	return time.Duration(float64(time.Second) / c.callsPerSecond)
}

// Submit hands a call over; it gives up only with ctx.
func (c *Client) Submit(ctx context.Context, call Call) {
	select {
	case c.calls <- call:
	case <-ctx.Done():
	}
}

// callQueue holds calls that wait for the rate, by priority.
type callQueue [priorityCount][]Call

// push appends a call to those of its priority.
func (q *callQueue) push(call Call) {
	priority := call.priority()
	q[priority] = append(q[priority], call)
}

// isEmpty tells whether no call waits.
func (q *callQueue) isEmpty() bool {
	for _, calls := range q {
		if len(calls) > 0 {
			return false
		}
	}
	return true
}

// pop removes the most urgent call of a queue that is not empty.
func (q *callQueue) pop() Call {
	for priority, calls := range q {
		if len(calls) > 0 {
			q[priority] = calls[1:]
			return calls[0]
		}
	}
	return Call{}
}

// Run makes the calls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var queue callQueue
	next := time.Now()
	timer := time.NewTimer(0)
	for {
		select {
		case call := <-c.calls:
			queue.push(call)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		for !queue.isEmpty() && !now.Before(next) {
			next = now.Add(c.interval())
			go c.execute(ctx, queue.pop())
		}
		if !queue.isEmpty() {
			timer.Reset(max(time.Until(next), time.Millisecond))
		}
	}
}

// execute makes one call and hands its result over.
func (c *Client) execute(ctx context.Context, call Call) {
	result := Result{Call: call}
	switch {
	case call.withheld():
		result.Err = ErrNotExecuted
	case call.ScaleOut != nil:
		result.Machines, result.Err = c.scaleOut(ctx, call.ScaleOut)
	case call.Delete != nil:
		result.Err = c.do(ctx, http.MethodPost, "/machines/delete", wire.MachineNames{Names: call.Delete}, nil)
	case call.Types:
		result.Types, result.Err = c.Types(ctx)
	case call.List:
		result.List, result.Err = c.list(ctx)
	}
	select {
	case c.Results <- result:
	case <-ctx.Done():
	}
}
