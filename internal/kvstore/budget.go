package kvstore

import "time"

// tokenBucket holds at most the tokens of one second. Its balance may be negative.
type tokenBucket struct {
	tokens float64
}

func (b *tokenBucket) refill(rate float64, d time.Duration) {
	b.tokens = min(b.tokens+rate*d.Seconds(), rate)
}

// rates holds numbers of requests and of writes per second.
type rates struct {
	requests float64
	writes   float64
}

// budget is this controller's share of the store's rates of requests and of writes, as a token
// bucket each.
type budget struct {
	limits     *limitTracker
	share      float64
	requests   tokenBucket
	writes     tokenBucket
	refilledAt time.Time
}

// start fills the buckets with the tokens of only a quarter of a second: a controller that was just
// restarted does not know what its earlier incarnation used just before.
func (b *budget) start(now time.Time) {
	r := b.rates()
	b.requests.tokens, b.writes.tokens = r.requests/4, r.writes/4
	b.refilledAt = now
}

// rates returns this controller's share of the store's rates.
func (b *budget) rates() rates {
	l := b.limits.current.Load()
	return rates{requests: l.RPS * b.share, writes: l.WriteRPS * b.share}
}

func (b *budget) refill(now time.Time) {
	r, elapsed := b.rates(), now.Sub(b.refilledAt)
	b.requests.refill(r.requests, elapsed)
	b.writes.refill(r.writes, elapsed)
	b.refilledAt = now
}

// empty discards all tokens after the store has refused a request because of its rate limit.
func (b *budget) empty(now time.Time) {
	b.requests.tokens, b.writes.tokens = 0, 0
	b.refilledAt = now
}

// take uses the tokens of one request with a number of writes.
func (b *budget) take(writes int) {
	b.requests.tokens--
	b.writes.tokens -= float64(writes)
}
