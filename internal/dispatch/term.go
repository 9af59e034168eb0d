package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
)

// term is one term of leadership. The goroutine that executes lead owns its fields.
type term struct {
	*Dispatcher
	number uint64
	core   *scheduler.Core
	ledger *ledger.Ledger
	cloud  *autoscaler.Client
	// results are the results of the term's effects, except those of ledger and cloud. Commands are
	// numbered anew in each term, so no other term may receive them.
	results chan scheduler.Event
	ticker  *time.Ticker
	timings failoverTimings
	// coreValueLimit is the maximum size of a value, in bytes, that was last passed to the
	// core.
	coreValueLimit int
	// transfersEnabled is set once the core was notified that all controllers support
	// transfers.
	transfersEnabled bool
}

const (
	// tickInterval is the interval of the ticks by which the core observes that time passes.
	tickInterval = 250 * time.Millisecond
	// maxTransactionBytes keeps a ledger transaction below the store's limit of 64 KiB.
	maxTransactionBytes = 48 << 10
	// minTransactionChanges is the lower bound of the changes that a ledger transaction may
	// have, so that there is always space for one write and the fence.
	minTransactionChanges = 2
	// deferrableDivisor determines the rate of deferrable writes: the leader's write rate
	// divided by deferrableDivisor.
	deferrableDivisor = 4
	// leaderCloudShare is the leader's share of the request rate of the cloud's API. The rest
	// is for the reads of machine types by all controllers.
	leaderCloudShare = 0.85
	// ledgerRetryInterval is the delay before a failed read of the ledger is retried.
	ledgerRetryInterval = 200 * time.Millisecond
)

// lead runs one term of leadership. It restores the ledger, creates the core and runs it until ctx
// ends or until the ledger writer stops, which it does when another term has begun.
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
			// Without a ledger writer the term can't make decisions durable, even while
			// its lease is valid.
			d.log.Info("ledger writer stopped", "leader_term", number, "error", err)
			d.elector.Resign(number)
			cancel()
		}
	}()
	cloud := autoscaler.NewClient(d.config.Network, d.config.Platform.Services.Cloud, d.config.Platform.Facts.Cloud.RPS*leaderCloudShare)
	go cloud.Run(ctx)
	go d.watchJobs(ctx, number, snapshot.Revision)

	softState := d.loadSoftState(ctx, number)
	now, wall := d.readClocks()
	valueBytes := d.maxValueBytes()
	config := scheduler.Config{
		Term: number, Platform: d.config.Platform, Operator: d.config.Operator,
		MaxValueBytes: valueBytes, SoftState: softState,
	}
	t := &term{
		Dispatcher: d, number: number, ledger: ledgerWriter, cloud: cloud, timings: timings, coreValueLimit: valueBytes,
		core:    scheduler.NewCore(config, snapshot, now, wall, d.log),
		results: make(chan scheduler.Event, resultCapacity),
		ticker:  time.NewTicker(tickInterval),
	}
	defer t.ticker.Stop()
	defer d.expectedMachines.Store(0)
	defer d.observations.setUnknown(0, 0)
	d.log.Info("term began", "leader_term", number, "first_fencing_token", scheduler.FirstFencingToken(number), "revision", snapshot.Revision, "jobs", len(snapshot.Jobs))
	defer d.log.Info("term ended", "leader_term", number)
	t.executeEffects(ctx, t.core.InitialEffects())
	t.run(ctx)
}

// ledgerLimits returns the limits of the ledger's transactions, from the current limits of the
// key-value store.
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

// readLedger reads the whole ledger from the key-value store and retries until it succeeds. It
// returns false if ctx ended first.
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
