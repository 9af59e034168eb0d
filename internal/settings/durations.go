package settings

import (
	"math"
	"time"
)

// MaxClockDrift is the protocol's bound on the relative difference between the rates of two
// monotonic clocks.
const MaxClockDrift = 0.0005

// maxDuration bounds the durations that Seconds returns, so that sums of a few do not overflow.
const maxDuration = math.MaxInt64 / 4 * time.Nanosecond

// Seconds converts a number of seconds to a duration. Numbers beyond maxDuration, some 73 years, count
// as that.
func Seconds(s float64) time.Duration {
	limit := maxDuration.Seconds()
	return time.Duration(min(max(s, -limit), limit) * float64(time.Second))
}

// WithDriftMargin returns d plus a margin for clock drift: a process that measures d on its own
// clock has finished by the time this process has measured the result, if both start at the same
// moment.
func WithDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*MaxClockDrift)
}
