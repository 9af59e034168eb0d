package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/scheduler"
)

// maxBatchEvents bounds the events that share one placement.
const maxBatchEvents = 256

// run applies events to the core and executes the effects until ctx ends. Callers whose
// requests wait then get no reply from this term.
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
		t.executeEffects(ctx, effects)
		t.recordFailover(effects)
	}
}

// applyBatch applies an event to the core, and with it those that wait already or come
// before the next placement is due: under load many events share one placement, and one
// heartbeat response carries all that follows from them.
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

// applyEvent applies one event to the core. While the leadership is suspended, another leader may
// have begun: actions that follow from passing time alone, such as writing off unreachable
// machines, must not be taken then.
func (t *term) applyEvent(event scheduler.Event) {
	if _, isTick := event.(scheduler.Tick); isTick && !t.elector.IsLeader(t.number) {
		return
	}
	now, wall := t.readClocks()
	t.core.Step(event, now, wall)
}

// updateCapabilities passes a change of the largest size of a value to the core, and that all
// controllers know transfers between cells.
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

// maxValueBytes is how many bytes a value of the ledger may have. What an older version
// can't read, such as finished tasks in parts, is written only if the value has no
// place otherwise, or if no controller of that version can run any more; then there is
// nothing to be rewritten when the limits fall.
func (d *Dispatcher) maxValueBytes() int {
	size := d.store.Limits().MaxValueBytes
	if d.config.PipelinesSupported() {
		size = min(size, d.config.Platform.Facts.Store.LeastValueBytes())
	}
	// The store may count a value as it keeps it, with more between its parts than
	// this controller writes.
	return size - size/8
}
