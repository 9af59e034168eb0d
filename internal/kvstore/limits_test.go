package kvstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// announcedLimits are lower limits that the settings announce.
var announcedLimits = &settings.StoreLimits{RPS: 100, WriteRPS: 20, TxnOps: 5, ValueKB: 2}

// TestRepeatedRateRefusalsLowerLimits checks that repeated refusals of writes because of the rate
// limit put the announced limits into force, and that occasional refusals, refusals of reads, and
// refusals without announced limits don't.
func TestRepeatedRateRefusalsLowerLimits(t *testing.T) {
	cases := []struct {
		name      string
		announced *settings.StoreLimits
		writes    int
		times     int
		interval  time.Duration
		lowered   bool
	}{
		{"writes in a row", announcedLimits, 3, 5, time.Second, true},
		{"occasional writes", announcedLimits, 3, 20, 4 * time.Second, false},
		{"reads", announcedLimits, 0, 20, time.Second, false},
		{"no limits are announced", nil, 3, 20, time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := limitsWithRates(100, 40)
				limits.Next = c.announced
				limiter := startRateLimiter(t, limits, 1)
				for range c.times {
					limiter.recordRefusal(c.writes)
					time.Sleep(c.interval)
				}
				synctest.Wait()
				tracker := limiter.limits
				if l := tracker.current.Load(); tracker.lowered() != c.lowered || (l.MaxChanges == 5) != c.lowered {
					t.Errorf("limits in force are the announced ones: %v, limits %+v", tracker.lowered(), l)
				}
				granted := 0
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				for ctx.Err() == nil {
					if limiter.wait(ctx, PriorityLeader, 1) == nil {
						granted++
					}
				}
				if (granted < 300) != c.lowered {
					t.Errorf("%d writes granted in ten seconds, want fewer than 300 only with lowered limits", granted)
				}
			})
		})
	}
}

// TestLimitsExceededByTransaction checks that a rejected transaction that is larger than the announced
// limits allow shows that these are in force.
func TestLimitsExceededByTransaction(t *testing.T) {
	cases := []struct {
		name    string
		changes []wire.Change
		exceeds bool
	}{
		{"too many changes", make([]wire.Change, 6), true},
		{"a value that is too large", []wire.Change{{Set: "a", Value: make([]byte, 2049)}}, true},
		{"as many changes as allowed", make([]wire.Change, 5), false},
	}
	limits := limitsFromSettings(*announcedLimits)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := limits.exceededBy(&wire.CompareAndSwap{Changes: c.changes}); got != c.exceeds {
				t.Errorf("%d changes exceed the limits: %v, want %v", len(c.changes), got, c.exceeds)
			}
		})
	}
}
