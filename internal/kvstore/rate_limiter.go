package kvstore

import (
	"context"
	"time"
)

// rateLimiter grants requests within this controller's share of the store's rates, the most urgent
// first. One goroutine owns its budget and queues, and receives everything else through channels.
type rateLimiter struct {
	arrivals     chan *waitingRequest
	shares       chan float64
	refusals     chan int      // number of writes of each request refused because of the rate limit
	ungranted    chan struct{} // requests that were sent without a grant
	limits       *limitTracker
	availability *availability
	budget       budget
	queues       requestQueues
}

func newRateLimiter(limits *limitTracker, a *availability, share float64) *rateLimiter {
	return &rateLimiter{
		arrivals:     make(chan *waitingRequest),
		shares:       make(chan float64),
		refusals:     make(chan int),
		ungranted:    make(chan struct{}, 8),
		limits:       limits,
		availability: a,
		budget:       budget{limits: limits, share: share},
	}
}

// wait blocks until a request with a number of writes may be sent. It returns ErrOverloaded if the
// queue is full or ctx ends first.
func (l *rateLimiter) wait(ctx context.Context, p Priority, writes int) error {
	waiting := &waitingRequest{priority: p, writes: writes, granted: make(chan error, 1), ctx: ctx}
	select {
	case l.arrivals <- waiting:
	case <-ctx.Done():
		return ErrOverloaded
	}
	select {
	case err := <-waiting.granted:
		return err
	case <-ctx.Done():
		return ErrOverloaded
	}
}

// recordRefusal records that the store has refused a request with a number of writes because of its
// rate limit.
func (l *rateLimiter) recordRefusal(writes int) { l.refusals <- writes }

// recordUngranted subtracts a request that was sent without a grant from the budget. It does not
// block: while the buffer is full, the request is not counted.
func (l *rateLimiter) recordUngranted() {
	select {
	case l.ungranted <- struct{}{}:
	default:
	}
}

// run grants requests until ctx ends.
func (l *rateLimiter) run(ctx context.Context) {
	l.budget.start(time.Now())
	timer := time.NewTimer(time.Hour)
	for {
		select {
		case waiting := <-l.arrivals:
			l.queues.add(waiting)
		case share := <-l.shares:
			l.budget.share = share
		case <-l.ungranted:
			l.budget.requests.tokens--
		case writes := <-l.refusals:
			l.handleRefusal(writes, time.Now())
		case o := <-l.availability.outcomes:
			l.availability.update(o, time.Now())
			continue
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		l.budget.refill(time.Now())
		if retryAfter := l.grantWaiting(); retryAfter > 0 {
			timer.Reset(retryAfter)
		}
	}
}

// handleRefusal processes the refusal, because of the rate limit, of a request with a number of
// writes.
func (l *rateLimiter) handleRefusal(writes int, now time.Time) {
	l.budget.empty(now)
	if writes > 0 {
		l.limits.recordRateRefusal(now)
	}
}

// grantWaiting grants the waiting requests that the budget allows and returns how long until the
// next could be granted; zero: none waits for tokens.
func (l *rateLimiter) grantWaiting() time.Duration {
	round := &grantRound{budget: &l.budget, rates: l.budget.rates()}
	l.queues.grant(round.admits)
	return round.retryAfter
}
