package election

import (
	"time"

	"leadproxy/internal/settings"
)

// leaseTiming holds the duration of the leader's lease, and the margin: how long before the lease can
// expire at the store the leader stops acting.
type leaseTiming struct {
	duration time.Duration
	margin   time.Duration
}

// expiry returns when a lease expires whose renewal was sent at the given time.
func (l leaseTiming) expiry(sent time.Time) time.Time {
	return conservativeExpiry(sent, l.duration, l.margin)
}

// extensionExpiry returns when an extension ends that was requested at the given time.
func (l leaseTiming) extensionExpiry(requested time.Time) time.Time {
	return conservativeExpiry(requested, extensionDuration, l.margin)
}

// conservativeExpiry returns the earliest time on this controller's clock at which a grant for a
// duration can end that was requested at sent, less a margin. Both clocks may drift, and the granting
// side's may run faster than this one.
func conservativeExpiry(sent time.Time, duration, margin time.Duration) time.Time {
	drift := time.Duration(float64(duration) * 2 * settings.MaxClockDrift)
	return sent.Add(duration - drift - margin)
}
