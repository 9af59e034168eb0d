package scheduler

import (
	"time"

	"leadproxy/internal/ledger"
)

// durableWrites writes to the ledger, and counts the tagged writes that are not durable yet.
type durableWrites struct {
	clock   *clock
	effects *effects

	// pending is the number of tagged writes that are not durable yet. lastDurableAt is when one
	// last became durable, or when the first was written after none was pending.
	pending       int
	lastDurableAt time.Duration
}

func newDurableWrites(c *Core) durableWrites {
	return durableWrites{clock: &c.clock, effects: &c.effects}
}

// put writes to the ledger. The outcome of a write with a tag arrives as WritesDurable or
// WritesRejected.
func (d *durableWrites) put(w ledger.Write) {
	if w.Tag != nil {
		if d.pending == 0 {
			d.lastDurableAt = d.clock.now
		}
		d.pending++
	}
	d.effects.emit(WriteLedger{Writes: []ledger.Write{w}})
}

// markDurable records that a number of tagged writes have become durable.
func (d *durableWrites) markDurable(count int) {
	d.pending -= count
	d.lastDurableAt = d.clock.now
}

// markRejected records that a number of tagged writes were not carried out.
func (d *durableWrites) markRejected(count int) { d.pending -= count }

// stalled reports whether writes are pending and none has become durable for longer than timeout.
func (d *durableWrites) stalled(timeout time.Duration) bool {
	return d.pending > 0 && d.clock.now-d.lastDurableAt > timeout
}
