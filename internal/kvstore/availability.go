package kvstore

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// outcome is whether the store has served a request.
type outcome int

const (
	served outcome = iota
	notServed
)

// availability tracks whether the store serves this controller, and logs when that changes.
type availability struct {
	outcomes chan outcome
	serving  atomic.Bool
	log      *slog.Logger
	// unavailableSince is zero while the store serves this controller. It belongs to the rate
	// limiter's goroutine.
	unavailableSince time.Time
}

func newAvailability(log *slog.Logger) *availability {
	a := &availability{outcomes: make(chan outcome, 64), log: log}
	a.serving.Store(true)
	return a
}

// record sends a request's outcome to the rate limiter's goroutine, which calls update. It does not
// block: while the buffer is full, the outcome is dropped.
func (a *availability) record(o outcome) {
	select {
	case a.outcomes <- o:
	default:
	}
}

// update applies an outcome, and logs the beginning and the end of an outage once each.
func (a *availability) update(o outcome, now time.Time) {
	a.serving.Store(o == served)
	switch {
	case o == notServed && a.unavailableSince.IsZero():
		a.unavailableSince = now
		a.log.Info("key-value store is unavailable to this controller")
	case o == served && !a.unavailableSince.IsZero():
		a.log.Info("key-value store is available to this controller again", "seconds", now.Sub(a.unavailableSince).Seconds())
		a.unavailableSince = time.Time{}
	}
}
