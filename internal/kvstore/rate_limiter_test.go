package kvstore

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/settings"
)

// startRateLimiter runs a rate limiter until the test ends.
func startRateLimiter(t *testing.T, storeLimits settings.StoreLimits, share float64) *rateLimiter {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	limiter := newRateLimiter(newLimitTracker(storeLimits, log), newAvailability(log), share)
	go limiter.run(t.Context())
	return limiter
}

// limitsWithRates returns limits with the given rates.
func limitsWithRates(rps, writeRPS float64) settings.StoreLimits {
	return settings.StoreLimits{RPS: rps, WriteRPS: writeRPS, TxnOps: 32, ValueKB: 16}
}

func TestRateIsKept(t *testing.T) {
	cases := []struct {
		name       string
		rps        float64
		writeRPS   float64
		share      float64
		writes     int
		maxGranted int // in 10 s: the share of the rate and the initial burst
	}{
		{"requests", 100, 1000, 0.5, 0, 500 + 50},
		{"writes", 1000, 40, 0.5, 1, 200 + 20},
		{"transactions larger than the burst", 1000, 40, 0.5, 30, 7 + 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter := startRateLimiter(t, limitsWithRates(c.rps, c.writeRPS), c.share)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				granted := 0
				for ctx.Err() == nil {
					if limiter.wait(ctx, PriorityLeader, c.writes) == nil {
						granted++
					}
				}
				if granted > c.maxGranted || granted < c.maxGranted*8/10 {
					t.Errorf("%d granted, want up to %d and at least 80%% of that", granted, c.maxGranted)
				}
			})
		})
	}
}

// useUpBudget requests grants for reads until the budget is empty.
func useUpBudget(t *testing.T, limiter *rateLimiter) {
	t.Helper()
	for limiter.wait(t.Context(), PriorityRead, 0) == nil {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		err := limiter.wait(ctx, PriorityRead, 0)
		cancel()
		if err != nil {
			return
		}
	}
}

func TestUrgentRequestsAreGrantedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := startRateLimiter(t, limitsWithRates(10, 10), 1)
		useUpBudget(t, limiter)
		order := make(chan Priority, 3)
		for _, p := range []Priority{PriorityRead, PrioritySubmission, PriorityLeader} {
			go func() {
				if limiter.wait(t.Context(), p, 0) == nil {
					order <- p
				}
			}()
			synctest.Wait()
		}
		if a, b, c := <-order, <-order, <-order; a != PriorityLeader || b != PrioritySubmission || c != PriorityRead {
			t.Errorf("granted in the order %v %v %v, want the most urgent first", a, b, c)
		}
		// A lease request is granted even when the budget is used up.
		before := time.Now()
		if err := limiter.wait(t.Context(), PriorityLease, 0); err != nil || time.Since(before) > 0 {
			t.Errorf("a lease request waited %v, want none: %v", time.Since(before), err)
		}
	})
}

// TestReadsDoNotWaitForWrites guards against reads that are blocked by writes: with many submissions
// there is always one that waits for write tokens, which reads don't need. When reads waited behind
// it, no query was answered for minutes.
func TestReadsDoNotWaitForWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := startRateLimiter(t, limitsWithRates(100, 1), 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var written atomic.Int64
		for range 50 {
			go func() {
				if limiter.wait(ctx, PrioritySubmission, 1) == nil {
					written.Add(1)
				}
			}()
		}
		synctest.Wait()
		for range 20 {
			before := time.Now()
			if err := limiter.wait(ctx, PriorityRead, 0); err != nil || time.Since(before) > 100*time.Millisecond {
				t.Errorf("a read waited %v, want at most 100ms: %v", time.Since(before), err)
			}
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if n := written.Load(); n < 8 || n > 11 {
			t.Errorf("%d writes granted in ten seconds, want about one per second", n)
		}
	})
}

func TestFullQueueRejectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := startRateLimiter(t, limitsWithRates(0.01, 1), 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range maxWaiting {
			go func() { _ = limiter.wait(ctx, PrioritySubmission, 0) }()
		}
		synctest.Wait()
		before := time.Now()
		if err := limiter.wait(ctx, PrioritySubmission, 0); !errors.Is(err, ErrOverloaded) || time.Since(before) > 0 {
			t.Errorf("error after %v: %v, want ErrOverloaded at once", time.Since(before), err)
		}
	})
}
