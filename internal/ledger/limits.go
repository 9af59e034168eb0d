package ledger

import "time"

// Limits bounds one transaction, and the rate of those writes that can wait.
type Limits struct {
	MaxChanges       int
	TransactionBytes int
	ValueBytes       int // most bytes of one value
	// DeferrableRate is how many deferrable writes a second there may be; 0 means no
	// bound. Under load there is always another finished task to write down, and
	// together they would leave nothing of the store's rate for urgent writes and for
	// submissions. What waits for its turn is written together with what comes after
	// it.
	DeferrableRate float64
}

// burst is how many deferrable writes may go at once.
func (l Limits) burst() float64 { return max(1, min(l.DeferrableRate/2, float64(l.MaxChanges))) }

// deferrableBudget is a token bucket that limits the rate of deferrable writes.
type deferrableBudget struct {
	tokens   float64
	refilled time.Time
}

// refill adds the tokens of the time since it was last called. A new budget begins full.
func (b *deferrableBudget) refill(limits Limits, now time.Time) {
	b.tokens = min(limits.burst(), b.tokens+limits.DeferrableRate*now.Sub(b.refilled).Seconds())
	b.refilled = now
}

// available is how many writes the tokens pay for.
func (b *deferrableBudget) available() int { return int(b.tokens) }

// spend takes the tokens of some writes.
func (b *deferrableBudget) spend(writes int) { b.tokens -= float64(writes) }

// delay is how long it takes until the tokens pay for some writes, or for a burst if that is
// less; 0 if they do now.
func (b *deferrableBudget) delay(limits Limits, writes int) time.Duration {
	needed := min(limits.burst(), float64(writes))
	if needed == 0 || b.tokens >= needed {
		return 0
	}
	return time.Duration((needed-b.tokens)/limits.DeferrableRate*float64(time.Second)) + time.Millisecond
}
