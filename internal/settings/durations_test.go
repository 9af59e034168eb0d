package settings

import (
	"math"
	"testing"
	"time"
)

// TestSecondsDoNotOverflow guards against a huge number of seconds that becomes a negative duration: the
// fetch of an image of 1e9 GB counted as done at once.
func TestSecondsDoNotOverflow(t *testing.T) {
	for _, test := range []struct {
		seconds float64
		want    time.Duration
	}{
		{0, 0},
		{1.5, 1500 * time.Millisecond},
		{-2, -2 * time.Second},
		{5e-324, 0},
		{1e9, 1e9 * time.Second},
		{1e12, maxDuration},
		{math.Inf(1), maxDuration},
		{-1e12, -maxDuration},
	} {
		if got := Seconds(test.seconds); (got - test.want).Abs() > time.Microsecond {
			t.Errorf("Seconds(%v) is %v, want %v", test.seconds, got, test.want)
		}
	}
}
