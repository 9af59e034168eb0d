package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
)

// MessageFailover is the log message of a new leader once its failover is complete. The
// failover report reads it.
const MessageFailover = "failover completed"

// failoverTimings is when the phases of a failover were complete.
type failoverTimings struct {
	termWon       time.Time
	ledgerKnown   time.Time
	firstDecision time.Time // the first effect, or as there was nothing in doubt any more
	fromStandby   bool      // the ledger is the standby's copy
	logged        bool
}

// restoreLedger learns the ledger at the start of a term: from the standby if its copy is
// complete, or else by reading it whole.
func (d *Dispatcher) restoreLedger(ctx context.Context, ledgerWriter *ledger.Ledger, number uint64, timings *failoverTimings) (ledger.Snapshot, bool) {
	if d.config.Standby == nil {
		return d.readLedger(ctx, ledgerWriter, number)
	}
	view, err := d.config.Standby.Promote(ctx, number)
	if err != nil {
		d.log.Info("standby copy not usable, reading the ledger", "leader_term", number, "reason", err)
		return d.readLedger(ctx, ledgerWriter, number)
	}
	timings.fromStandby = true
	snapshot := ledgerWriter.LoadEntries(view.Entries, view.Revision)
	gate := view.Gate
	d.log.Info("standby copy promoted", "leader_term", number, "jobs", len(snapshot.Jobs), "ended", gate.PreviousTermEnded.Reason, "complete", gate.ReplicaComplete.Reason,
		"complete_s", gate.ReplicaComplete.Elapsed.Seconds(), "fenced", gate.EarlierWritesFenced.Reason)
	return snapshot, true
}

// recordFailover logs, once, how long the phases of this term's failover took: until the
// ledger was known, until the first decision, and until no host that an earlier leader may
// have started tasks on was in doubt.
func (t *term) recordFailover(effects []scheduler.Effect) {
	timings := &t.timings
	if timings.logged {
		return
	}
	now := time.Now()
	inDoubt := t.core.UnresolvedHosts()
	if timings.firstDecision.IsZero() && (len(effects) > 0 || inDoubt == 0) {
		timings.firstDecision = now
	}
	if inDoubt > 0 {
		return
	}
	timings.logged = true
	sinceTermWon := func(at time.Time) float64 { return at.Sub(timings.termWon).Seconds() }
	t.log.Info(MessageFailover, "leader_term", t.number, "from_standby", timings.fromStandby,
		"ledger_known_s", sinceTermWon(timings.ledgerKnown), "first_decision_s", sinceTermWon(timings.firstDecision),
		"resolved_s", sinceTermWon(now), "jobs", t.core.JobCount(), "machines", t.core.MachineCount())
}
