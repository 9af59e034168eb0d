package autoscaler

import (
	"context"
	"net/http"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// The sizes of the client's channels and of its connection pool.
const (
	callBuffer     = 256
	resultBuffer   = 64
	maxConnections = 8
)

// Client makes the calls to the cloud within a rate limit, in order of urgency: deletions,
// scale-outs, then reads. Results arrive on Results.
type Client struct {
	baseURL        string
	http           *http.Client
	callsPerSecond float64
	calls          chan Call
	Results        chan Result
}

// NewClient returns a client of the cloud at addr. rate is this controller's share of the cloud's
// rate limit, in calls per second. The client makes calls only while Run runs.
func NewClient(network transport.Network, addr string, rate float64) *Client {
	return &Client{
		baseURL:        "http://" + addr,
		http:           transport.NewClient(network, maxConnections),
		callsPerSecond: rate,
		calls:          make(chan Call, callBuffer),
		Results:        make(chan Result, resultBuffer),
	}
}

// interval returns the minimum time between the starts of two calls.
func (c *Client) interval() time.Duration {
	return time.Duration(float64(time.Second) / c.callsPerSecond)
}

// Submit queues a call. It blocks while the channel is full, until ctx ends.
func (c *Client) Submit(ctx context.Context, call Call) {
	select {
	case c.calls <- call:
	case <-ctx.Done():
	}
}

// callQueue holds the calls that wait for the rate limit, by priority.
type callQueue [priorityCount][]Call

// push appends a call to the calls of its priority.
func (q *callQueue) push(call Call) {
	priority := call.priority()
	q[priority] = append(q[priority], call)
}

// isEmpty reports whether no call waits.
func (q *callQueue) isEmpty() bool {
	for _, calls := range q {
		if len(calls) > 0 {
			return false
		}
	}
	return true
}

// pop removes and returns the oldest of the most urgent calls. The queue must not be empty.
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

// execute makes one call and sends its result to Results.
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
