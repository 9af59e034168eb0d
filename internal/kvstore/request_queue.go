package kvstore

import (
	"context"
	"time"
)

// Priority ranks requests when the rate is short.
type Priority int

// The priorities, the most urgent first.
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

// add appends a request. It turns the request away when the queue of its priority is full.
func (q *requestQueues) add(r *waitingRequest) {
	if len(q[r.priority]) >= maxWaiting {
		r.granted <- ErrOverloaded
		return
	}
	q[r.priority] = append(q[r.priority], r)
}

// grant lets those requests go that a function admits. It asks for each, the most urgent first, and
// drops those whose caller has given up.
func (q *requestQueues) grant(admits func(*waitingRequest) bool) {
	for priority, queue := range q {
		kept := queue[:0]
		for _, r := range queue {
			switch {
			case r.ctx.Err() != nil:
			case admits(r):
				r.granted <- nil
			default:
				kept = append(kept, r)
			}
		}
		clear(queue[len(kept):])
		q[priority] = kept
	}
}

// grantRound decides once which of the waiting requests the budget allows.
//
// A request that waits for write tokens holds up all later ones that write, but none that only
// reads: those take nothing that it waits for, and with many submissions waiting no query would be
// answered otherwise.
type grantRound struct {
	budget        *budget
	rates         rates
	writesBlocked bool
	// retryAfter is how long until the next request could be admitted; zero: none waits for
	// tokens.
	retryAfter time.Duration
}

// admits decides on one request and uses its tokens.
func (g *grantRound) admits(r *waitingRequest) bool {
	// A transaction larger than the bucket waits for a full one and then leaves it in debt.
	writes := min(float64(r.writes), g.rates.writes)
	// Lease traffic may borrow: a lost lease costs more than a refusal for the rate.
	if r.priority != PriorityLease {
		if writes > 0 && g.writesBlocked {
			return false
		}
		if wait := g.untilAvailable(writes); wait > 0 {
			g.writesBlocked = g.writesBlocked || writes > 0
			g.retryIn(wait)
			return false
		}
	}
	g.budget.take(r.writes)
	return true
}

// untilAvailable is how long until the budget has the tokens of a request; zero: it has them.
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

// retryIn has the next round begin after a while at the latest.
func (g *grantRound) retryIn(wait time.Duration) {
	if g.retryAfter == 0 || wait < g.retryAfter {
		g.retryAfter = wait
	}
}
