package dispatch

import (
	"context"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/softstate"
	"time"
)

// SoftState tells what this leader holds in memory alone and has changed since an earlier
// answer.
func (d *Dispatcher) SoftState(ctx context.Context, since uint64) (softstate.Changes, error) {
	answer, err := d.askLeader(ctx, func(to scheduler.Recipient) scheduler.Event {
		return scheduler.SoftStateRequest{Since: since, ReplyTo: to}
	})
	if err != nil {
		return softstate.Changes{}, err
	}
	g := answer.(scheduler.SoftStateReply)
	return softstate.Changes{Term: g.Term, Machines: g.Machines, Estimates: g.Estimates, UpTo: g.UpTo, More: g.More}, nil
}

// hintsLimit bounds how long a term waits for its hints, which this node has in memory.
const hintsLimit = 100 * time.Millisecond

// viewHints returns the hints for a term that begins, or nil.
func (d *Dispatcher) viewHints(ctx context.Context, term uint64) *softstate.View {
	if d.SoftStateView == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, hintsLimit)
	defer cancel()
	v := d.SoftStateView.View(ctx, term)
	d.log.Info("hints of an earlier leader", "term", term, "of", v.Term, "machines", len(v.Machines))
	return &v
}
