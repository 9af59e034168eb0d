package kvstore

import (
	"context"
	"time"
)

// Priority ranks requests that wait for the budget.
type Priority int

// The priorities, from the most to the least urgent.
const (
	PriorityLease Priority = iota
	PriorityLeader
	PrioritySubmission
	PriorityRead
	priorityCount
)

// maxWaiting bounds the requests of one priority that wait until they may be sent.
const maxWaiting = 400

// waitingRequest is one request that waits until it may be sent.
type waitingRequest struct {
	priority Priority
	writes   int
	granted  chan error // receives one value: nil, or why the request won't be sent
	ctx      context.Context
}

// requestQueues are the waiting requests by priority, each in the order of arrival.
type requestQueues [priorityCount][]*waitingRequest

// add appends a request, or rejects it with ErrOverloaded if the queue of its priority is full.
func (q *requestQueues) add(waiting *waitingRequest) {
	if len(q[waiting.priority]) >= maxWaiting {
		waiting.granted <- ErrOverloaded
		return
	}
	q[waiting.priority] = append(q[waiting.priority], waiting)
}

// grant grants the requests for which admits returns true. It calls admits for each request, the most
// urgent first, and drops requests whose context has ended.
func (q *requestQueues) grant(admits func(*waitingRequest) bool) {
	for priority, queue := range q {
		kept := queue[:0]
		for _, waiting := range queue {
			switch {
			case waiting.ctx.Err() != nil:
			case admits(waiting):
				waiting.granted <- nil
			default:
				kept = append(kept, waiting)
			}
		}
		clear(queue[len(kept):])
		q[priority] = kept
	}
}

// grantRound is one pass over the waiting requests that grants those which the budget allows.
//
// A request that waits for write tokens blocks all later ones that write, but none that only reads:
// reads use no write tokens, and with many submissions waiting no query would be answered otherwise.
type grantRound struct {
	budget        *budget
	rates         rates
	writesBlocked bool
	// retryAfter is how long until the next request could be admitted; zero: none waits for
	// tokens.
	retryAfter time.Duration
}

// admits reports whether the budget allows a request, and takes its tokens if it does.
func (g *grantRound) admits(waiting *waitingRequest) bool {
	// A transaction larger than the bucket waits for a full bucket and then overdraws it.
	writes := min(float64(waiting.writes), g.rates.writes)
	// Lease requests may overdraw the budget: a lost lease costs more than a refusal by the store.
	if waiting.priority != PriorityLease {
		if writes > 0 && g.writesBlocked {
			return false
		}
		if wait := g.untilAvailable(writes); wait > 0 {
			g.writesBlocked = g.writesBlocked || writes > 0
			g.retryIn(wait)
			return false
		}
	}
	g.budget.take(waiting.writes)
	return true
}

// untilAvailable returns how long it takes until the budget has the tokens of a request with a number
// of writes; zero: it has them.
func (g *grantRound) untilAvailable(writes float64) time.Duration {
	seconds := (1 - g.budget.requests.tokens) / g.rates.requests
	if writes > 0 {
		seconds = max(seconds, (writes-g.budget.writes.tokens)/g.rates.writes)
	}
	if seconds <= 0 {
		return 0
	}
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}

// retryIn makes the next round begin after wait at the latest.
func (g *grantRound) retryIn(wait time.Duration) {
	if g.retryAfter == 0 || wait < g.retryAfter {
		g.retryAfter = wait
	}
}
