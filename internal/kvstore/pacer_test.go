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
	"leadproxy/internal/wire"
)

func startPacer(t *testing.T, rps, wps, share float64) *pacer {
	p := newPacer(settings.StateLimits{RPS: rps, WriteRPS: wps, TxnOps: 32, ValueKB: 16}, share, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go p.run(t.Context())
	return p
}

func TestRateIsKept(t *testing.T) {
	cases := []struct {
		name            string
		rps, wps, share float64
		writes          int
		most            int // granted in 10 s: what the share allows, and the first burst
	}{
		{"requests", 100, 1000, 0.5, 0, 500 + 50},
		{"writes", 1000, 40, 0.5, 1, 200 + 20},
		{"transactions larger than the burst", 1000, 40, 0.5, 30, 7 + 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startPacer(t, c.rps, c.wps, c.share)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				granted := 0
				for ctx.Err() == nil {
					if p.wait(ctx, PriorityLeader, c.writes) == nil {
						granted++
					}
				}
				if granted > c.most || granted < c.most*8/10 {
					t.Errorf("%d granted, want up to %d", granted, c.most)
				}
			})
		})
	}
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPacer(t, 10, 10, 1)
		for p.wait(t.Context(), PriorityRead, 0) == nil {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			err := p.wait(ctx, PriorityRead, 0)
			cancel()
			if err != nil {
				break // the budget is used up
			}
		}
		order := make(chan Priority, 3)
		for _, pr := range []Priority{PriorityRead, PriorityAccept, PriorityLeader} {
			go func() {
				if p.wait(t.Context(), pr, 0) == nil {
					order <- pr
				}
			}()
			synctest.Wait()
		}
		if a, b, c := <-order, <-order, <-order; a != PriorityLeader || b != PriorityAccept || c != PriorityRead {
			t.Errorf("granted in the order %v %v %v", a, b, c)
		}
		// A lease is renewed even when the budget is used up.
		before := time.Now()
		if err := p.wait(t.Context(), PriorityLease, 0); err != nil || time.Since(before) > 0 {
			t.Errorf("a renewal waited %v: %v", time.Since(before), err)
		}
	})
}

// TestQuestionsPassWhatWaitsForWrites: under a storm of submissions there is always
// one that waits for its turn to write. What only reads takes nothing of that; when
// it waited as well, nobody's question was answered for minutes.
func TestQuestionsPassWhatWaitsForWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPacer(t, 100, 1, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var written atomic.Int64
		for range 50 {
			go func() {
				if p.wait(ctx, PriorityAccept, 1) == nil {
					written.Add(1)
				}
			}()
		}
		synctest.Wait()
		for range 20 {
			before := time.Now()
			if err := p.wait(ctx, PriorityRead, 0); err != nil || time.Since(before) > 100*time.Millisecond {
				t.Errorf("a question waited %v: %v", time.Since(before), err)
			}
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if n := written.Load(); n < 8 || n > 11 {
			t.Errorf("%d written in ten seconds, one a second allowed", n)
		}
	})
}

// TestLimitsThatFall: writes that are refused for the rate again and again, or a
// transaction that is larger than what is announced, show that the limits have
// fallen. A refusal now and then does not, nor anything where nothing is announced.
func TestLimitsThatFall(t *testing.T) {
	next := &settings.StateLimits{RPS: 100, WriteRPS: 20, TxnOps: 5, ValueKB: 2}
	cases := []struct {
		name   string
		next   *settings.StateLimits
		writes int
		times  int
		every  time.Duration
		fallen bool
	}{
		{"writes in a row", next, 3, 5, time.Second, true},
		{"now and then", next, 3, 20, 4 * time.Second, false},
		{"what only reads", next, 0, 20, time.Second, false},
		{"nothing is announced", nil, 3, 20, time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPacer(settings.StateLimits{RPS: 100, WriteRPS: 40, TxnOps: 32, ValueKB: 16, Next: c.next}, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
				go p.run(t.Context())
				for range c.times {
					p.penalise(c.writes)
					time.Sleep(c.every)
				}
				synctest.Wait()
				if l := p.limits.Load(); p.fallen() != c.fallen || (l.MaxChanges == 5) != c.fallen {
					t.Errorf("fallen: %v, limits %+v", p.fallen(), l)
				}
				granted := 0
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				for ctx.Err() == nil {
					if p.wait(ctx, PriorityLeader, 1) == nil {
						granted++
					}
				}
				if (granted < 300) != c.fallen {
					t.Errorf("%d writes granted in ten seconds", granted)
				}
			})
		})
	}
	l := limitsOf(*next)
	for _, large := range []wire.CompareAndSwap{{Changes: make([]wire.Change, 6)}, {Changes: []wire.Change{{Set: "a", Value: make([]byte, 2049)}}}} {
		if !l.exceeds(&large) {
			t.Errorf("%d changes are within the limits", len(large.Changes))
		}
	}
	if l.exceeds(&wire.CompareAndSwap{Changes: make([]wire.Change, 5)}) {
		t.Error("five changes are beyond the limits")
	}
}

func TestFullQueueTurnsAwayAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPacer(t, 0.01, 1, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range maxWaiting {
			go func() { _ = p.wait(ctx, PriorityAccept, 0) }()
		}
		synctest.Wait()
		before := time.Now()
		if err := p.wait(ctx, PriorityAccept, 0); !errors.Is(err, ErrOverloaded) || time.Since(before) > 0 {
			t.Errorf("turned away after %v: %v", time.Since(before), err)
		}
	})
}
