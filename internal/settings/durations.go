package settings

import "time"

// MaxClockDrift bounds how much the rates of two monotonic clocks differ, by the protocol.
const MaxClockDrift = 0.0005

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WithDriftMargin lengthens d by the drift bound: whoever measures d from the same moment by its own
// clock has finished when the stretched duration ends by ours.
func WithDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*MaxClockDrift)
}
