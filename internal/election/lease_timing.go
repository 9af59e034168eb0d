package election

import (
	"time"

	"leadproxy/internal/settings"
)

// leaseTiming is how long the leader's lease lasts, and how much earlier than the store's count of
// it the leader stops acting.
type leaseTiming struct {
	duration time.Duration
	margin   time.Duration
}

// expiry is the end of a lease whose renewal was sent at a moment.
func (l leaseTiming) expiry(sent time.Time) time.Time {
	return conservativeExpiry(sent, l.duration, l.margin)
}

// extensionExpiry is the end of an extension that was requested at a moment.
func (l leaseTiming) extensionExpiry(requested time.Time) time.Time {
	return conservativeExpiry(requested, extensionDuration, l.margin)
}

// conservativeExpiry is when a grant for a duration ends at the latest on this controller's clock,
// less a margin. Both clocks may drift, and the granting side's may run faster than this one.
func conservativeExpiry(sent time.Time, duration, margin time.Duration) time.Time {
	drift := time.Duration(float64(duration) * 2 * settings.MaxClockDrift)
	return sent.Add(duration - drift - margin)
}
