package ledger

import "time"

// Limits bounds the size of one transaction and the rate of deferrable writes.
type Limits struct {
	MaxChanges       int // maximum number of changed keys
	TransactionBytes int // maximum size of a transaction with several writes, in bytes
	ValueBytes       int // maximum size of one value; 0 means unlimited
	// DeferrableRate is the maximum number of deferrable writes per second; 0 means
	// unlimited. Under load there is always another finished task to record, and without a
	// limit these writes would use up the store's rate, leaving none for urgent writes and
	// submissions. Delayed writes are batched with later ones.
	DeferrableRate float64
}

// burst returns the capacity of the token bucket: how many deferrable writes may be sent at once.
func (l Limits) burst() float64 { return max(1, min(l.DeferrableRate/2, float64(l.MaxChanges))) }

// deferrableBudget is a token bucket that limits the rate of deferrable writes.
type deferrableBudget struct {
	tokens   float64
	refilled time.Time
}

// refill adds the tokens accrued since the last call. The first call fills the bucket.
func (b *deferrableBudget) refill(limits Limits, now time.Time) {
	b.tokens = min(limits.burst(), b.tokens+limits.DeferrableRate*now.Sub(b.refilled).Seconds())
	b.refilled = now
}

// available returns how many writes the tokens allow now.
func (b *deferrableBudget) available() int { return int(b.tokens) }

// spend removes one token per write.
func (b *deferrableBudget) spend(writes int) { b.tokens -= float64(writes) }

// delay returns the time until there are enough tokens for the given number of writes, or for a
// burst if that is fewer; 0 if there are enough now.
func (b *deferrableBudget) delay(limits Limits, writes int) time.Duration {
	needed := min(limits.burst(), float64(writes))
	if needed == 0 || b.tokens >= needed {
		return 0
	}
	return time.Duration((needed-b.tokens)/limits.DeferrableRate*float64(time.Second)) + time.Millisecond
}
