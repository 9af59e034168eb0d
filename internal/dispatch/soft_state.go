package dispatch

import (
	"context"
	"leadproxy/internal/hints"
	"leadproxy/internal/scheduler"
	"time"
)

// Hints tells what this leader holds in memory alone and has changed since an earlier
// answer.
func (d *Dispatcher) Hints(ctx context.Context, since uint64) (hints.Changes, error) {
	answer, err := d.askLeader(ctx, func(to scheduler.Recipient) scheduler.Event { return scheduler.HintsAsked{Since: since, To: to} })
	if err != nil {
		return hints.Changes{}, err
	}
	g := answer.(scheduler.HintsGiven)
	return hints.Changes{Term: g.Term, Machines: g.Machines, Learned: g.Learned, Upto: g.Upto, More: g.More}, nil
}

// hintsLimit bounds how long a term waits for its hints, which this node has in memory.
const hintsLimit = 100 * time.Millisecond

// viewHints returns the hints for a term that begins, or nil.
func (d *Dispatcher) viewHints(ctx context.Context, term uint64) *hints.View {
	if d.HintView == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, hintsLimit)
	defer cancel()
	v := d.HintView.View(ctx, term)
	d.log.Info("hints of an earlier leader", "term", term, "of", v.Term, "machines", len(v.Machines))
	return &v
}
