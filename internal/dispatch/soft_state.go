package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/softstate"
)

// SoftState returns the soft state of this leader that has changed since an earlier answer, whose
// UpTo is passed as since. 0 returns all of it.
func (d *Dispatcher) SoftState(ctx context.Context, since uint64) (softstate.Changes, error) {
	reply, err := askLeader[scheduler.SoftStateReply](ctx, d, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.SoftStateRequest{Since: since, ReplyTo: replyTo}
	})
	if err != nil {
		return softstate.Changes{}, err
	}
	return softstate.Changes{Term: reply.Term, Machines: reply.Machines, Estimates: reply.Estimates, UpTo: reply.UpTo, More: reply.More}, nil
}

// softStateTimeout bounds how long a new term waits for the soft state, which is read from this
// controller's memory.
const softStateTimeout = 100 * time.Millisecond

// loadSoftState returns the replicated soft state for a new term, or nil if this controller keeps
// none.
func (d *Dispatcher) loadSoftState(ctx context.Context, term uint64) *softstate.View {
	if d.config.SoftState == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, softStateTimeout)
	defer cancel()
	view := d.config.SoftState.View(ctx, term)
	d.log.Info("soft state of an earlier leader loaded", "leader_term", term, "earlier_term", view.Term, "machines", len(view.Machines))
	return &view
}
