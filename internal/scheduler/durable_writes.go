package scheduler

import (
	"time"

	"leadproxy/internal/ledger"
)

// durableWrites counts the writes to the ledger whose durability something waits for. It alone
// writes its fields.
type durableWrites struct {
	clock   *clock
	effects *effects

	// pending is how many tagged writes are not durable yet, and lastDurableAt when one
	// last became so, or none was pending.
	pending       int
	lastDurableAt time.Duration
}

func newDurableWrites(c *Core) durableWrites {
	return durableWrites{clock: &c.clock, effects: &c.effects}
}

// put writes to the ledger. A write with a tag is answered with WritesDurable or
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

// markDurable notes that tagged writes have become durable.
func (d *durableWrites) markDurable(count int) {
	d.pending -= count
	d.lastDurableAt = d.clock.now
}

// markRejected notes that tagged writes were not carried out.
func (d *durableWrites) markRejected(count int) { d.pending -= count }

// stalled tells whether writes are pending and none has become durable for a time.
func (d *durableWrites) stalled(since time.Duration) bool {
	return d.pending > 0 && d.clock.now-d.lastDurableAt > since
}
