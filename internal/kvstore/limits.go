package kvstore

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// Limits holds the store's present limits on transactions, and on requests and writes per second, as
// far as they are known.
type Limits struct {
	MaxChanges    int
	MaxValueBytes int
	RPS           float64
	WriteRPS      float64
}

func limitsFromSettings(storeLimits settings.StoreLimits) *Limits {
	return &Limits{MaxChanges: storeLimits.TxnOps, MaxValueBytes: int(storeLimits.ValueKB * 1024), RPS: storeLimits.RPS, WriteRPS: storeLimits.WriteRPS}
}

// exceededBy reports whether a transaction is larger than the limits allow.
func (l *Limits) exceededBy(txn *wire.CompareAndSwap) bool {
	return len(txn.Changes) > l.MaxChanges || slices.ContainsFunc(txn.Changes, func(change wire.Change) bool { return len(change.Value) > l.MaxValueBytes })
}

// The store occasionally refuses a write because of its rate limit although all controllers keep to
// their shares, for example when the leader changes. refusalsUntilLowered refusals within
// refusalWindow show that the rate limit was lowered.
const (
	refusalsUntilLowered = 5
	refusalWindow        = 10 * time.Second
)

// limitTracker tracks the store's limits. The settings may announce lower ones, which come into
// force at an unknown time; the store's refusals show when they have.
type limitTracker struct {
	current   atomic.Pointer[Limits]
	announced *Limits // nil: none are announced; immutable
	log       *slog.Logger
	// refusals are the times of recent writes that were refused because of the rate limit. The
	// field belongs to the rate limiter's goroutine.
	refusals []time.Time
}

func newLimitTracker(storeLimits settings.StoreLimits, log *slog.Logger) *limitTracker {
	t := &limitTracker{log: log}
	t.current.Store(limitsFromSettings(storeLimits))
	if storeLimits.Next != nil {
		t.announced = limitsFromSettings(*storeLimits.Next)
	}
	return t
}

// lowered reports whether the announced limits are in force.
func (t *limitTracker) lowered() bool {
	return t.announced != nil && t.current.Load() == t.announced
}

// lower puts the announced limits, if any, into force.
func (t *limitTracker) lower(reason string) {
	if t.announced == nil || t.current.Swap(t.announced) == t.announced {
		return
	}
	t.log.Info("key-value store limits lowered as announced", "reason", reason,
		"value_bytes", t.announced.MaxValueBytes, "ops", t.announced.MaxChanges, "write_rps", t.announced.WriteRPS)
}

// recordRejected processes a transaction that the store has rejected as invalid. It reports whether
// the cause is that the announced limits have come into force: the store does not say which limit a
// transaction exceeds, nor when limits are lowered.
func (t *limitTracker) recordRejected(txn *wire.CompareAndSwap) bool {
	if t.announced == nil || !t.announced.exceededBy(txn) {
		return false
	}
	t.lower("a transaction was too large")
	return true
}

// recordRateRefusal records a write that was refused because of the rate limit, and puts the
// announced limits into force after refusalsUntilLowered of them within refusalWindow.
func (t *limitTracker) recordRateRefusal(now time.Time) {
	if t.lowered() {
		return
	}
	t.refusals = append(t.refusals, now)
	for now.Sub(t.refusals[0]) > refusalWindow {
		t.refusals = t.refusals[1:]
	}
	if len(t.refusals) >= refusalsUntilLowered {
		t.lower("writes were refused for the rate")
		t.refusals = nil
	}
}
