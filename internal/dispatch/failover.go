package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
)

// MessageFailover is the log message of a new leader when its failover is complete. The failover
// report parses it.
const MessageFailover = "failover completed"

// failoverTimings records when the phases of a failover completed.
type failoverTimings struct {
	termWon       time.Time
	ledgerKnown   time.Time
	firstDecision time.Time // of the first effect, or when no host was unresolved any more
	fromStandby   bool      // whether the ledger comes from the standby's replica
	logged        bool
}

// restoreLedger loads the ledger at the start of a term, from the standby's replica if it is usable
// and otherwise from the key-value store. It returns false if ctx ended first.
func (d *Dispatcher) restoreLedger(ctx context.Context, ledgerWriter *ledger.Ledger, number uint64, timings *failoverTimings) (ledger.Snapshot, bool) {
	if d.config.Standby == nil {
		return d.readLedger(ctx, ledgerWriter, number)
	}
	view, err := d.config.Standby.Promote(ctx, number)
	if err != nil {
		d.log.Info("standby replica not usable; reading the ledger from the store", "leader_term", number, "reason", err)
		return d.readLedger(ctx, ledgerWriter, number)
	}
	timings.fromStandby = true
	snapshot := ledgerWriter.LoadEntries(view.Entries, view.Revision)
	gate := view.Gate
	d.log.Info("standby replica promoted", "leader_term", number, "jobs", len(snapshot.Jobs), "ended", gate.PreviousTermEnded.Reason, "complete", gate.ReplicaComplete.Reason,
		"complete_s", gate.ReplicaComplete.Elapsed.Seconds(), "fenced", gate.EarlierWritesFenced.Reason)
	return snapshot, true
}

// recordFailover logs once per term how long the phases of the failover took: until the ledger was
// known, until the first decision, and until every host on which an earlier leader may have started
// tasks was resolved.
func (t *term) recordFailover(effects []scheduler.Effect) {
	timings := &t.timings
	if timings.logged {
		return
	}
	now := time.Now()
	unresolvedHosts := t.core.UnresolvedHosts()
	if timings.firstDecision.IsZero() && (len(effects) > 0 || unresolvedHosts == 0) {
		timings.firstDecision = now
	}
	if unresolvedHosts > 0 {
		return
	}
	timings.logged = true
	sinceTermWon := func(moment time.Time) float64 { return moment.Sub(timings.termWon).Seconds() }
	t.log.Info(MessageFailover, "leader_term", t.number, "from_standby", timings.fromStandby,
		"ledger_known_s", sinceTermWon(timings.ledgerKnown), "first_decision_s", sinceTermWon(timings.firstDecision),
		"resolved_s", sinceTermWon(now), "jobs", t.core.JobCount(), "machines", t.core.MachineCount())
}
