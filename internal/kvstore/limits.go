package kvstore

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// Limits are the store's limits on transactions and rates that hold at the moment, as far as
// known.
type Limits struct {
	MaxChanges    int
	MaxValueBytes int
	RPS           float64
	WriteRPS      float64
}

func limitsFromSettings(l settings.StoreLimits) *Limits {
	return &Limits{MaxChanges: l.TxnOps, MaxValueBytes: int(l.ValueKB * 1024), RPS: l.RPS, WriteRPS: l.WriteRPS}
}

// exceededBy reports whether a transaction is larger than the limits allow.
func (l *Limits) exceededBy(t *wire.CompareAndSwap) bool {
	return len(t.Changes) > l.MaxChanges || slices.ContainsFunc(t.Changes, func(c wire.Change) bool { return len(c.Value) > l.MaxValueBytes })
}

// A write is occasionally refused for the rate though all controllers keep to their shares, as
// when the leader changes. This many refusals within this time show that the rate was lowered.
const (
	refusalsUntilLowered = 5
	refusalWindow        = 10 * time.Second
)

// limitTracker knows the store's limits. The settings may announce lower ones, which come into
// force at an unknown time; the store's refusals show when they have.
type limitTracker struct {
	current   atomic.Pointer[Limits]
	announced *Limits // nil: none are announced; never changed
	log       *slog.Logger
	// refusals are the times of recent writes that were refused for the rate. They belong to the
	// rate limiter's goroutine.
	refusals []time.Time
}

func newLimitTracker(l settings.StoreLimits, log *slog.Logger) *limitTracker {
	t := &limitTracker{log: log}
	t.current.Store(limitsFromSettings(l))
	if l.Next != nil {
		t.announced = limitsFromSettings(*l.Next)
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

// recordRejected takes a transaction that the store has rejected as invalid. It reports whether the
// cause is that the announced limits have come into force: the store does not say which limit a
// transaction exceeds, nor when limits are lowered.
func (t *limitTracker) recordRejected(txn *wire.CompareAndSwap) bool {
	if t.announced == nil || !t.announced.exceededBy(txn) {
		return false
	}
	t.lower("a transaction was too large")
	return true
}

// recordRateRefusal takes the time when a write was refused for the rate.
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
