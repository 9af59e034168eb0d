package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/scheduler"
)

// maxBatchEvents is the maximum number of events that share one placement.
const maxBatchEvents = 256

// run applies events to the core and executes its effects until ctx ends. Requests that are still
// pending then get no reply from this term.
func (t *term) run(ctx context.Context) {
	var throttle placementThrottle
	for {
		event, ok := t.waitForEvent(ctx, nil)
		if !ok {
			return
		}
		t.updateCapabilities()
		t.applyBatch(ctx, event, &throttle)
		began := time.Now()
		effects := t.core.Flush()
		throttle.recordPlacement(began, time.Since(began))
		t.expectedMachines.Store(int64(t.core.ExpectedAgents()))
		t.observations.setUnknown(t.core.UnknownPredecessors())
		t.executeEffects(ctx, effects)
		t.recordFailover(effects)
	}
}

// applyBatch applies an event to the core, followed by those that are already queued or that arrive
// before the next placement is due. Under load many events thus share one placement, and one
// heartbeat response carries all commands that result from them.
func (t *term) applyBatch(ctx context.Context, event scheduler.Event, throttle *placementThrottle) {
	var placementDue <-chan time.Time
	for n, ok := 1, true; ok; n++ {
		t.applyEvent(event)
		if n == maxBatchEvents {
			return
		}
		if event, ok = t.pollEvent(); !ok && t.core.NeedsPlacement() {
			if placementDue == nil {
				placementDue = throttle.nextPlacement()
			}
			event, ok = t.waitForEvent(ctx, placementDue)
		}
	}
}

// applyEvent applies one event to the core. Ticks are dropped while this controller is not certain
// to be the leader: another leader may have been elected, so actions that depend on time alone,
// such as declaring unreachable machines lost, must not be taken.
func (t *term) applyEvent(event scheduler.Event) {
	if _, isTick := event.(scheduler.Tick); isTick && !t.elector.IsLeader(t.number) {
		return
	}
	now, wall := t.readClocks()
	t.core.Step(event, now, wall)
}

// updateCapabilities notifies the core when the maximum size of a value changes, and once when all
// controllers support transfers between cells.
func (t *term) updateCapabilities() {
	size := t.maxValueBytes()
	now, wall := t.readClocks()
	if size != t.coreValueLimit {
		t.coreValueLimit = size
		t.core.Step(scheduler.ValueLimitChanged{MaxValueBytes: size}, now, wall)
	}
	if !t.transfersEnabled && t.config.TransfersSupported() {
		t.transfersEnabled = true
		t.core.Step(scheduler.TransfersEnabled{}, now, wall)
	}
}

// maxValueBytes returns the maximum size of a ledger value in bytes. Formats that an older version
// can't read, such as finished tasks in parts, are written only if a value does not fit otherwise,
// or when no controller of that version can be running any more. From then on the announced lower
// limits apply as well, so that nothing has to be rewritten when the limits are lowered.
func (d *Dispatcher) maxValueBytes() int {
	size := d.store.Limits().MaxValueBytes
	if d.config.PipelinesSupported() {
		size = min(size, d.config.Platform.Facts.Store.MaxValueBytes())
	}
	// The store may measure a value in its own encoding, with more separators between the
	// elements than this controller writes, so an eighth is kept in reserve.
	return size - size/8
}
