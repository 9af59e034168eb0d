package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
)

// takeover is when the phases of a takeover were over.
type takeover struct {
	began   time.Time // the term was won
	viewed  time.Time // the ledger was known
	decided time.Time // the first start was decided, or there was none to decide
	warm    bool      // the view was the standby's
	settled bool      // all is logged
}

// takeOver learns the ledger at the start of a term: from the standby, if its view is
// complete, or else by reading everything.
func (d *Dispatcher) takeOver(ctx context.Context, book *ledger.Ledger, number uint64, times *takeover) (ledger.Snapshot, bool) {
	if d.Standby == nil {
		return d.loadLedger(ctx, book, number)
	}
	view, err := d.Standby.Promote(ctx, number)
	if err != nil {
		d.log.Info("the standby's view is not decided on: reading the ledger", "term", number, "why", err)
		return d.loadLedger(ctx, book, number)
	}
	times.warm = true
	snapshot := book.Adopt(view.Entries, view.Revision)
	g := view.Gate
	d.log.Info("the standby's view is complete", "term", number, "jobs", len(snapshot.Jobs), "ended", g.PreviousTermEnded.Reason, "complete", g.ReplicaComplete.Reason,
		"complete_s", g.ReplicaComplete.Elapsed.Seconds(), "fenced", g.EarlierWritesFenced.Reason)
	return snapshot, true
}

// noteTakeover logs, once, how long the phases of this term's beginning took: to a
// complete view, to the first decision, and until nothing that an earlier leader may have
// started was in doubt.
func (t *term) noteTakeover(effects []scheduler.Effect) {
	times := &t.takeover
	if times.settled {
		return
	}
	now := time.Now()
	unsettled := t.core.UnresolvedHosts()
	if times.decided.IsZero() && (len(effects) > 0 || unsettled == 0) {
		times.decided = now
	}
	if unsettled > 0 {
		return
	}
	times.settled = true
	t.log.Info("takeover", "term", t.number, "warm", times.warm, "view_s", times.viewed.Sub(times.began).Seconds(),
		"decided_s", times.decided.Sub(times.began).Seconds(), "settled_s", now.Sub(times.began).Seconds(), "jobs", t.core.Jobs(), "machines", t.core.Machines())
}
