package settings

import "time"

// MaxClockDrift is the protocol's bound on the relative difference between the rates of two
// monotonic clocks.
const MaxClockDrift = 0.0005

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WithDriftMargin returns d plus a margin for clock drift: a process that measures d on its own
// clock has finished by the time this process has measured the result, if both start at the same
// moment.
func WithDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*MaxClockDrift)
}
