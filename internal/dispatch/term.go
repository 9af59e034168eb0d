package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
)

// term is one term of leadership. Its fields belong to the goroutine that executes lead.
type term struct {
	*Dispatcher
	number  uint64
	core    *scheduler.Core
	ledger  *ledger.Ledger
	cloud   *autoscaler.Client
	ticker  *time.Ticker
	timings failoverTimings
	// coreValueLimit is the largest size of a value that the core knows.
	coreValueLimit int
	// transfersEnabled: the core knows that all controllers support transfers.
	transfersEnabled bool
}

const (
	// tickInterval is how often the core gets a tick, by which it learns that time passes.
	tickInterval = 250 * time.Millisecond
	// maxTransactionBytes keeps a transaction of the ledger below the store's 64 KiB.
	maxTransactionBytes = 48 << 10
	// minTransactionChanges is what a transaction of the ledger must hold: a write, and
	// the fence.
	minTransactionChanges = 2
	// deferrableDivisor is the part of the leader's writes, as a divisor, for those that can wait.
	deferrableDivisor = 4
	// leaderCloudShare is the share of the cloud's request rate that the leader uses. The
	// rest is for the controllers' reads of machine types.
	leaderCloudShare = 0.85
	// ledgerRetryInterval is how long to wait after the ledger could not be read.
	ledgerRetryInterval = 200 * time.Millisecond
)

// lead leads for one term: it learns the ledger, builds the core and steps it until ctx ends or the
// ledger's writer stops, which it does when another term has begun.
func (d *Dispatcher) lead(ctx context.Context, number uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ledgerWriter := ledger.New(number, d.store, d.ledgerLimits, d.log)
	timings := failoverTimings{termWon: time.Now()}
	if d.config.Standby != nil {
		defer d.config.Standby.Release()
	}
	snapshot, ok := d.restoreLedger(ctx, ledgerWriter, number, &timings)
	if !ok {
		return
	}
	timings.ledgerKnown = time.Now()
	go func() {
		if err := ledgerWriter.Run(ctx); err != nil && ctx.Err() == nil {
			// Without its ledger the term can decide nothing, whatever becomes of its lease.
			d.log.Info("ledger writer stopped", "leader_term", number, "error", err)
			d.elector.Resign(number)
			cancel()
		}
	}()
	cloud := autoscaler.NewClient(d.config.Network, d.config.Platform.Services.Cloud, d.config.Platform.Facts.Cloud.RPS*leaderCloudShare)
	go cloud.Run(ctx)
	go d.watchJobs(ctx, snapshot.Revision)

	softState := d.loadSoftState(ctx, number)
	now, wall := d.readClocks()
	valueBytes := d.maxValueBytes()
	config := scheduler.Config{
		Term: number, Platform: d.config.Platform, Operator: d.config.Operator,
		MaxValueBytes: valueBytes, SoftState: softState,
	}
	t := &term{
		Dispatcher: d, number: number, ledger: ledgerWriter, cloud: cloud, timings: timings, coreValueLimit: valueBytes,
		core:   scheduler.NewCore(config, snapshot, now, wall, d.log),
		ticker: time.NewTicker(tickInterval),
	}
	defer t.ticker.Stop()
	defer d.expectedMachines.Store(0)
	t.executeEffects(ctx, t.core.InitialEffects())
	t.run(ctx)
}

// ledgerLimits bounds the ledger's transactions by what the key-value store accepts now.
func (d *Dispatcher) ledgerLimits() ledger.Limits {
	store := d.store.Limits()
	writesPerSecond := store.WriteRPS * leaderShare(d.config.Platform.Facts.ControllerCount)
	return ledger.Limits{
		MaxChanges:       max(minTransactionChanges, min(store.MaxChanges, int(writesPerSecond))),
		TransactionBytes: maxTransactionBytes,
		ValueBytes:       store.MaxValueBytes,
		DeferrableRate:   writesPerSecond / deferrableDivisor,
	}
}

// readLedger reads the whole ledger, again and again until it succeeds or ctx ends.
func (d *Dispatcher) readLedger(ctx context.Context, ledgerWriter *ledger.Ledger, number uint64) (ledger.Snapshot, bool) {
	for ctx.Err() == nil {
		snapshot, err := ledgerWriter.Load(ctx)
		if err == nil {
			d.log.Info("ledger read", "leader_term", number, "jobs", len(snapshot.Jobs), "scale_outs", len(snapshot.ScaleOuts), "revision", snapshot.Revision)
			return snapshot, true
		}
		d.log.Info("ledger read failed, retrying", "leader_term", number, "error", err)
		transport.Pause(ctx, ledgerRetryInterval)
	}
	return ledger.Snapshot{}, false
}
