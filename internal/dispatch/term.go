package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
)

// term is one term of leadership.
type term struct {
	*Dispatcher
	number     uint64
	core       *scheduler.Core
	ledger     *ledger.Ledger
	cloud      *autoscaler.Client
	tick       *time.Ticker
	valueBytes int
	// transfersAllowed: the core knows that transfers are.
	transfersAllowed bool
	takeover         takeover
}

// tickEvery is how often the core is told that time passes.
const tickEvery = 250 * time.Millisecond

// maxTxnBytes keeps a transaction of the ledger below the service's 64 KiB.
const maxTxnBytes = 48 << 10

// minTxnOps is what a transaction of the ledger must hold: a write, and the fence.
const minTxnOps = 2

// cloudShare is the part of the cloud's rate that the leader uses. The rest is for the
// nodes' questions about machine types.
const cloudShare = 0.85

// loadEvery is how long a ledger that could not be read rests.
const loadEvery = 200 * time.Millisecond

// lead leads for one term.
func (d *Dispatcher) lead(ctx context.Context, number uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	book := ledger.New(number, d.store, d.ledgerLimits, d.log)
	var times takeover
	times.began = time.Now()
	if d.Standby != nil {
		defer d.Standby.Release()
	}
	snapshot, ok := d.takeOver(ctx, book, number, &times)
	if !ok {
		return
	}
	times.viewed = time.Now()
	go func() {
		if err := book.Run(ctx); err != nil && ctx.Err() == nil {
			d.log.Info("ledger closed", "term", number, "error", err)
			cancel()
		}
	}()
	cloud := autoscaler.NewClient(d.net, d.platform.Services.Cloud, d.platform.Facts.Cloud.RPS*cloudShare)
	go cloud.Run(ctx)
	go d.watchJobs(ctx, snapshot.Revision)

	hinted := d.viewHints(ctx, number)
	now, wall := d.clocks()
	size := d.valueBytes()
	core := scheduler.NewCore(scheduler.Config{Term: number, Platform: d.platform, Operator: d.operator, ValueBytes: size, SoftState: hinted}, snapshot, now, wall, d.log)
	t := &term{Dispatcher: d, number: number, core: core, ledger: book, cloud: cloud, tick: time.NewTicker(tickEvery), valueBytes: size}
	defer t.tick.Stop()
	defer d.machines.Store(0)
	t.takeover = times
	t.carryOut(ctx, core.InitialEffects())
	t.run(ctx)
}

// ledgerLimits bounds the ledger's transactions by what the state service takes now.
func (d *Dispatcher) ledgerLimits() ledger.Limits {
	now := d.store.Limits()
	writes := now.WriteRPS * leaderShare(d.platform.Facts.Nodes)
	return ledger.Limits{MaxChanges: max(minTxnOps, min(now.MaxChanges, int(writes))), TransactionBytes: maxTxnBytes, ValueBytes: now.ValueBytes, DeferrableRate: writes / 4}
}

// loadLedger reads the ledger, again and again until it can be read or ctx ends.
func (d *Dispatcher) loadLedger(ctx context.Context, book *ledger.Ledger, number uint64) (ledger.Snapshot, bool) {
	for ctx.Err() == nil {
		snapshot, err := book.Load(ctx)
		if err == nil {
			d.log.Info("ledger read", "term", number, "jobs", len(snapshot.Jobs), "hires", len(snapshot.ScaleOuts), "revision", snapshot.Revision)
			return snapshot, true
		}
		d.log.Info("ledger not read yet", "term", number, "error", err)
		transport.Pause(ctx, loadEvery)
	}
	return ledger.Snapshot{}, false
}

// run steps the core until ctx ends.
func (t *term) run(ctx context.Context) {
	var pause pause
	for {
		event, ok := t.next(ctx, nil)
		if !ok {
			// Whoever asks from here on gets no answer from this term.
			return
		}
		t.adjustFormats()
		t.stepTogether(ctx, event, &pause)
		began := time.Now()
		effects := t.core.Settle()
		pause.after(began, time.Since(began))
		t.machines.Store(int64(t.core.ExpectedAgents()))
		t.carryOut(ctx, effects)
		t.noteTakeover(effects)
	}
}

// adjustFormats tells the core when values may be of another size than before, and when
// every controller knows transfers.
func (t *term) adjustFormats() {
	size := t.Dispatcher.valueBytes()
	now, wall := t.clocks()
	if size != t.valueBytes {
		t.valueBytes = size
		t.core.Step(scheduler.ValueLimitChanged{ValueBytes: size}, now, wall)
	}
	if !t.transfersAllowed && t.TransfersSupported() {
		t.transfersAllowed = true
		t.core.Step(scheduler.TransfersEnabled{}, now, wall)
	}
}

// stepTogether steps the core with an event. What waits already, or comes before the
// next placement is due, is taken along: under load many events share one placement, and
// one answer carries all that follows from them.
func (t *term) stepTogether(ctx context.Context, event scheduler.Event, pause *pause) {
	var enough <-chan time.Time
	for n, ok := 1, true; ok; n++ {
		t.step(event)
		if n == maxEventsAtOnce {
			return
		}
		if event, ok = t.waiting(); !ok && t.core.NeedsPlacement() {
			if enough == nil {
				enough = pause.over()
			}
			event, ok = t.next(ctx, enough)
		}
	}
}

// step steps the core with one event. Suspended, another leader may have begun: what
// time alone would bring, such as giving up silent machines, is not ours to do then.
func (t *term) step(event scheduler.Event) {
	if _, isTick := event.(scheduler.Tick); isTick && !t.elector.IsLeader(t.number) {
		return
	}
	now, wall := t.clocks()
	t.core.Step(event, now, wall)
}

// valueBytes is how many bytes a value of the ledger may have. What an older version
// can't read, such as finished tasks in parts, is written only if the value has no
// place otherwise, or if no node of that version can be up any more; then there is
// nothing to be rewritten when the limits fall.
func (d *Dispatcher) valueBytes() int {
	size := d.store.Limits().ValueBytes
	if d.AllUpgraded() {
		size = min(size, d.platform.Facts.State.LeastValueBytes())
	}
	// The service may count a value as it keeps it, with more between its parts than
	// we write.
	return size - size/8
}

// maxEventsAtOnce bounds the events that share a placement.
const maxEventsAtOnce = 256

// pause keeps placing tasks from taking more than a quarter of the time: on a
// full site with much that waits, placing after each event by itself took more
// than the processor has, and reports went unanswered.
type pause struct{ until time.Time }

// longestPause bounds how long an answer waits for a placement.
const longestPause = 100 * time.Millisecond

func (p *pause) after(began time.Time, took time.Duration) {
	p.until = began.Add(took + min(3*took, longestPause))
}

// over tells when the next placement is due.
func (p *pause) over() <-chan time.Time {
	if wait := time.Until(p.until); wait > 0 {
		return time.After(wait)
	}
	return passed
}

// passed is a time that has come already.
var passed = func() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}()

// waiting takes an event that is there already, by rank.
func (t *term) waiting() (scheduler.Event, bool) {
	select {
	case a := <-t.reports:
		return a.event, true
	default:
	}
	select {
	case a := <-t.reports:
		return a.event, true
	case tags := <-t.ledger.Durable:
		return scheduler.WritesDurable{Tags: tags}, true
	case tags := <-t.ledger.Rejected:
		return scheduler.WritesRejected{Tags: tags}, true
	case r := <-t.cloud.Results:
		return scheduler.CloudResult{Result: r}, true
	case e := <-t.inner:
		return e, true
	case <-t.tick.C:
		return scheduler.Tick{}, true
	default:
	}
	select {
	case a := <-t.users:
		return a.event, true
	default:
	}
	return nil, false
}

// next takes the next event, by rank. It gives up with ctx, or when enough
// tells.
func (t *term) next(ctx context.Context, enough <-chan time.Time) (scheduler.Event, bool) {
	if ctx.Err() != nil {
		return nil, false
	}
	if event, ok := t.waiting(); ok {
		return event, true
	}
	select {
	case a := <-t.reports:
		return a.event, true
	case tags := <-t.ledger.Durable:
		return scheduler.WritesDurable{Tags: tags}, true
	case tags := <-t.ledger.Rejected:
		return scheduler.WritesRejected{Tags: tags}, true
	case r := <-t.cloud.Results:
		return scheduler.CloudResult{Result: r}, true
	case e := <-t.inner:
		return e, true
	case <-t.tick.C:
		return scheduler.Tick{}, true
	case a := <-t.users:
		return a.event, true
	case <-enough:
		return nil, false
	case <-ctx.Done():
		return nil, false
	}
}

// carryOut turns effects into deeds.
func (t *term) carryOut(ctx context.Context, effects []scheduler.Effect) {
	var writes []ledger.Write
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.HeartbeatReply:
			e.ReplyTo.Deliver(e)
		case scheduler.UserReply:
			e.ReplyTo.Deliver(e)
		case scheduler.WriteLedger:
			writes = append(writes, e.Writes...)
		case scheduler.CallCloud:
			t.callCloud(ctx, e.Call)
		case scheduler.SendCommands:
			go t.direct(ctx, t.number, e)
		case scheduler.InspectWorker:
			go t.inspect(ctx, e)
		case scheduler.ResignLeadership:
			t.elector.Resign(t.number)
		case scheduler.SoftStateReply:
			e.ReplyTo.Deliver(e)
		case scheduler.PlanReply:
			e.ReplyTo.Deliver(e)
		case scheduler.PlanListReply:
			e.ReplyTo.Deliver(e)
		default:
			t.carryOutTransfer(ctx, e)
		}
	}
	if len(writes) > 0 {
		t.ledger.Put(ctx, writes)
	}
}

// carryOutTransfer turns the effects of transfers into deeds.
func (t *term) carryOutTransfer(ctx context.Context, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.SendTransfers:
		go t.sendTransfers(ctx, e)
	case scheduler.AskCapacity:
		go t.askRoom(ctx, e)
	case scheduler.WriteForeign:
		go t.putGuest(ctx, e)
	case scheduler.TransferReply:
		e.ReplyTo.Deliver(e)
	case scheduler.CapacityReply:
		e.ReplyTo.Deliver(e)
	case scheduler.TransferListReply:
		e.ReplyTo.Deliver(e)
	case scheduler.TraceTransfer:
		t.TraceTransfer(e.Step)
	}
}

// callCloud makes a call to the cloud if the term holds. A suspended leader that deletes
// machines takes them from the next one; the core tries again later.
func (t *term) callCloud(ctx context.Context, call autoscaler.Call) {
	if !t.mayAct(t.number, "cloud call") {
		go t.decide(ctx, scheduler.CloudResult{Result: autoscaler.Result{Call: call, Err: autoscaler.ErrNotExecuted}})
		return
	}
	t.cloud.Submit(ctx, call)
}
