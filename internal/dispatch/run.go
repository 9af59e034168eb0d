package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/election"
	"leadproxy/internal/fleet"
	"leadproxy/internal/ledger"
	"leadproxy/internal/outbound"
	"leadproxy/internal/settings"
	"leadproxy/internal/state"
	"leadproxy/internal/wire"
)

// ErrNotLeading means that this node does not run a term.
var ErrNotLeading = errors.New("this node does not lead")

// ErrDeciding means that whether a job is over is known to the state service alone.
var ErrDeciding = errors.New("the job's end is being written")

// Dispatcher is where the rest of a node speaks to its dispatcher. It runs one core
// for each term that this node leads and refuses everything in between.
type Dispatcher struct {
	net      outbound.Network
	platform *settings.Platform
	operator settings.Operator
	elector  *election.Elector
	store    *state.Client
	log      *slog.Logger
	started  time.Time
	workers  *callers
	// Upgraded tells whether all nodes run a version that knows what this one
	// writes.
	Upgraded func() bool
	// machines is how many should be reporting to this leader; unanswered is how
	// many direct commands in a row no worker has answered.
	machines   atomic.Int64
	unanswered atomic.Int64

	// The mailboxes, by rank: reports of workers first, then what decisions
	// need, then users. Each is bounded; who finds one full is turned away.
	reports chan ask
	inner   chan Event
	users   chan ask
}

// ask is an event with who wants to be told of its outcome: an effect, or an
// error.
type ask struct {
	event Event
	reply answerTo
}

// answerTo takes the one outcome of an ask, an answer or an error. It does not wait.
type answerTo func(answer Effect, err error)

// Deliver takes the answer.
func (to answerTo) Deliver(answer Effect) { to(answer, nil) }

// NewDispatcher makes a dispatcher; Run starts it.
func NewDispatcher(n outbound.Network, p *settings.Platform, op settings.Operator, e *election.Elector, store *state.Client, lines ConnLimits, log *slog.Logger) *Dispatcher {
	return &Dispatcher{
		net: n, platform: p, operator: op, elector: e, store: store, log: log, started: time.Now(),
		workers: newCallers(n, lines), Upgraded: func() bool { return false },
		reports: make(chan ask, 256), inner: make(chan Event, 512), users: make(chan ask, 128),
	}
}

// clocks reads the steady time and the time of day at one moment. Leases are
// reckoned from the one to the other: a process that stood still between two
// readings would find them over too soon.
func (d *Dispatcher) clocks() (now time.Duration, wall int64) {
	t := time.Now()
	return t.Sub(d.started), t.UnixMilli()
}

// HangUp closes the connections to workers that are kept between two commands.
func (d *Dispatcher) HangUp() { d.workers.hangUp() }

// Unanswered is how many direct commands in a row no worker has answered.
func (d *Dispatcher) Unanswered() int { return int(d.unanswered.Load()) }

// Machines is how many machines should be reporting to this node as the leader.
func (d *Dispatcher) Machines() int { return int(d.machines.Load()) }

func (d *Dispatcher) ask(ctx context.Context, box chan ask, event func(to Recipient) Event) (Effect, error) {
	type outcome struct {
		answer Effect
		err    error
	}
	reply := make(chan outcome, 1)
	to := answerTo(func(answer Effect, err error) { reply <- outcome{answer, err} })
	select {
	case box <- ask{event(to), to}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case o := <-reply:
		return o.answer, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Report has a worker's report answered.
func (d *Dispatcher) Report(ctx context.Context, r *wire.Report) (*wire.ReportAnswer, error) {
	return reportAnswer(d.ask(ctx, d.reports, func(to Recipient) Event { return ReportIn{Report: r, To: to} }))
}

// ReportAsync has a worker's report answered through give, once, or never if the term
// ends meanwhile. give must not wait.
func (d *Dispatcher) ReportAsync(ctx context.Context, r *wire.Report, give func(*wire.ReportAnswer, error)) {
	to := answerTo(func(answer Effect, err error) { give(reportAnswer(answer, err)) })
	select {
	case d.reports <- ask{ReportIn{Report: r, To: to}, to}:
	case <-ctx.Done():
	}
}

func reportAnswer(answer Effect, err error) (*wire.ReportAnswer, error) {
	if err != nil {
		return nil, err
	}
	if a, ok := answer.(AnswerReport); ok && a.Answer != nil {
		return a.Answer, nil
	}
	return nil, ErrNotLeading
}

// Status asks for a job's state. With ErrDeciding only the record tells it.
func (d *Dispatcher) Status(ctx context.Context, ref string) (wire.JobStatus, bool, error) {
	return d.user(ctx, func(to Recipient) Event { return StatusAsked{Ref: ref, To: to} })
}

// Cancel has a job cancelled and waits until that is durable.
func (d *Dispatcher) Cancel(ctx context.Context, ref string) (wire.JobStatus, bool, error) {
	return d.user(ctx, func(to Recipient) Event { return CancelAsked{Ref: ref, To: to} })
}

func (d *Dispatcher) user(ctx context.Context, event func(to Recipient) Event) (wire.JobStatus, bool, error) {
	a, err := d.ask(ctx, d.users, event)
	if err != nil {
		return wire.JobStatus{}, false, err
	}
	u := a.(AnswerUser)
	if u.Deciding {
		return wire.JobStatus{}, true, ErrDeciding
	}
	return u.Status, u.Known, nil
}

// JobRecorded tells of a job record. It is only a short cut for the watch, so it is
// dropped rather than waited for.
func (d *Dispatcher) JobRecorded(j JobSeen) {
	select {
	case d.inner <- j:
	default:
	}
}

// decide hands the core an event that decisions need. It gives up only with ctx.
func (d *Dispatcher) decide(ctx context.Context, event Event) {
	select {
	case d.inner <- event:
	case <-ctx.Done():
	}
}

// Run serves terms until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go d.workers.run(ctx)
	var stop context.CancelFunc
	var ended chan struct{}
	var current uint64
	end := func() {
		if stop != nil {
			stop()
			<-ended
			stop, current = nil, 0
		}
	}
	defer end()
	for {
		// Without a term the mailboxes are emptied here.
		var reports, users chan ask
		var inner chan Event
		if stop == nil {
			reports, users, inner = d.reports, d.users, d.inner
		}
		select {
		case v := <-d.elector.Changes():
			if v.Mine && v.Term == current && stop != nil {
				break
			}
			end()
			if v.Mine {
				d.store.SetShare(leaderShare(d.platform.Facts.Nodes))
				tctx, cancel := context.WithCancel(ctx)
				stop, current, ended = cancel, v.Term, make(chan struct{})
				go func(done chan struct{}, term uint64) {
					defer close(done)
					d.lead(tctx, term)
				}(ended, v.Term)
			} else {
				d.store.SetShare(FollowerShare(d.platform.Facts.Nodes))
			}
		case a := <-reports:
			a.reply(nil, ErrNotLeading)
		case a := <-users:
			a.reply(nil, ErrNotLeading)
		case <-inner:
		case <-ctx.Done():
			return
		}
	}
}

// FollowerShare is the part of the state service's rate for a node that does
// not lead, and leaderShare for the leader: all together stay below the whole,
// also while a new leader reads the ledger.
func FollowerShare(nodes int) float64 { return 0.2 / float64(max(nodes-1, 1)) }

func leaderShare(nodes int) float64 {
	if nodes <= 1 {
		return 0.9
	}
	return 0.75
}

// term is one term of leadership.
type term struct {
	*Dispatcher
	number     uint64
	core       *Core
	ledger     *ledger.Ledger
	cloud      *fleet.Client
	tick       *time.Ticker
	valueBytes int
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
	snapshot, ok := d.loadLedger(ctx, book, number)
	if !ok {
		return
	}
	go func() {
		if err := book.Run(ctx); err != nil && ctx.Err() == nil {
			d.log.Info("ledger closed", "term", number, "error", err)
			cancel()
		}
	}()
	cloud := fleet.NewClient(d.net, d.platform.Services.Cloud, d.platform.Facts.Cloud.RPS*cloudShare)
	go cloud.Run(ctx)
	go d.watchJobs(ctx, snapshot.Revision)

	now, wall := d.clocks()
	size := d.valueBytes()
	core := NewCore(Config{Term: number, Platform: d.platform, Operator: d.operator, ValueBytes: size}, snapshot, now, wall, d.log)
	t := &term{Dispatcher: d, number: number, core: core, ledger: book, cloud: cloud, tick: time.NewTicker(tickEvery), valueBytes: size}
	defer t.tick.Stop()
	defer d.machines.Store(0)
	t.carryOut(ctx, core.TakeStart())
	t.run(ctx)
}

// ledgerLimits bounds the ledger's transactions by what the state service takes now.
func (d *Dispatcher) ledgerLimits() ledger.Limits {
	now := d.store.Limits()
	writes := now.WriteRPS * leaderShare(d.platform.Facts.Nodes)
	return ledger.Limits{Ops: max(minTxnOps, min(now.Ops, int(writes))), Bytes: maxTxnBytes, Value: now.ValueBytes, Ordinary: writes / 4}
}

// loadLedger reads the ledger, again and again until it can be read or ctx ends.
func (d *Dispatcher) loadLedger(ctx context.Context, book *ledger.Ledger, number uint64) (ledger.Snapshot, bool) {
	for ctx.Err() == nil {
		snapshot, err := book.Load(ctx)
		if err == nil {
			d.log.Info("ledger read", "term", number, "jobs", len(snapshot.Jobs), "hires", len(snapshot.Hires))
			return snapshot, true
		}
		d.log.Info("ledger not read yet", "term", number, "error", err)
		outbound.Pause(ctx, loadEvery)
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
		t.adjustValues()
		t.stepTogether(ctx, event, &pause)
		began := time.Now()
		effects := t.core.Settle()
		pause.after(began, time.Since(began))
		t.machines.Store(int64(t.core.Reporting()))
		t.carryOut(ctx, effects)
	}
}

// adjustValues tells the core when values may be of another size than before.
func (t *term) adjustValues() {
	size := t.Dispatcher.valueBytes()
	if size == t.valueBytes {
		return
	}
	t.valueBytes = size
	now, wall := t.clocks()
	t.core.Step(Formats{ValueBytes: size}, now, wall)
}

// stepTogether steps the core with an event. What waits already, or comes before the
// next placement is due, is taken along: under load many events share one placement, and
// one answer carries all that follows from them.
func (t *term) stepTogether(ctx context.Context, event Event, pause *pause) {
	var enough <-chan time.Time
	for n, ok := 1, true; ok; n++ {
		t.step(event)
		if n == mostAtOnce {
			return
		}
		if event, ok = t.waiting(); !ok && t.core.Unplaced() {
			if enough == nil {
				enough = pause.over()
			}
			event, ok = t.next(ctx, enough)
		}
	}
}

// step steps the core with one event. Suspended, another leader may have begun: what
// time alone would bring, such as giving up silent machines, is not ours to do then.
func (t *term) step(event Event) {
	if _, isTick := event.(Tick); isTick && !t.elector.InTerm(t.number) {
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
	if d.Upgraded() {
		size = min(size, d.platform.Facts.State.LeastValueBytes())
	}
	// The service may count a value as it keeps it, with more between its parts than
	// we write.
	return size - size/8
}

// mostAtOnce bounds the events that share a placement.
const mostAtOnce = 256

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
func (t *term) waiting() (Event, bool) {
	select {
	case a := <-t.reports:
		return a.event, true
	default:
	}
	select {
	case a := <-t.reports:
		return a.event, true
	case tags := <-t.ledger.Durable:
		return NowDurable{tags}, true
	case tags := <-t.ledger.Rejected:
		return Rejected{tags}, true
	case r := <-t.cloud.Results:
		return CloudBack{r}, true
	case e := <-t.inner:
		return e, true
	case <-t.tick.C:
		return Tick{}, true
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
func (t *term) next(ctx context.Context, enough <-chan time.Time) (Event, bool) {
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
		return NowDurable{tags}, true
	case tags := <-t.ledger.Rejected:
		return Rejected{tags}, true
	case r := <-t.cloud.Results:
		return CloudBack{r}, true
	case e := <-t.inner:
		return e, true
	case <-t.tick.C:
		return Tick{}, true
	case a := <-t.users:
		return a.event, true
	case <-enough:
		return nil, false
	case <-ctx.Done():
		return nil, false
	}
}

// carryOut turns effects into deeds.
func (t *term) carryOut(ctx context.Context, effects []Effect) {
	var writes []ledger.Write
	for _, e := range effects {
		switch e := e.(type) {
		case AnswerReport:
			e.To.Deliver(e)
		case AnswerUser:
			e.To.Deliver(e)
		case Put:
			writes = append(writes, e.Writes...)
		case CallCloud:
			t.callCloud(ctx, e.Call)
		case Direct:
			go t.direct(ctx, t.number, e)
		case Inspect:
			go t.inspect(ctx, e)
		}
	}
	if len(writes) > 0 {
		t.ledger.Put(ctx, writes)
	}
}

// callCloud makes a call to the cloud if the term holds. A suspended leader that deletes
// machines takes them from the next one; the core tries again later.
func (t *term) callCloud(ctx context.Context, call fleet.Call) {
	if !t.elector.InTerm(t.number) {
		go t.decide(ctx, CloudBack{fleet.Result{Call: call, Err: fleet.ErrRefused}})
		return
	}
	t.cloud.Put(ctx, call)
}

// directTimeout bounds a direct command, dialTimeout the connecting for it. What
// is slower is settled through the worker's reports.
const (
	directTimeout = 2 * time.Second
	dialTimeout   = time.Second
)

// direct sends a command to a worker and brings its outcome back.
func (d *Dispatcher) direct(ctx context.Context, term uint64, e Direct) {
	back := DirectBack{Call: e.Call}
	back.Outcome, back.Report = d.command(ctx, term, e)
	d.decide(ctx, back)
}

// inspect asks a worker what it is now.
func (d *Dispatcher) inspect(ctx context.Context, e Inspect) {
	back := InspectBack{Machine: e.Machine}
	status, answer, _, err := d.workers.call(ctx, e.Address, http.MethodGet, "/inspect", nil, func() bool { return true })
	switch {
	case err != nil:
		d.log.Debug("worker not inspected", "machine", e.Machine, "error", err)
	case status == http.StatusOK:
		if back.Report, err = wire.ParseReport(answer); err != nil {
			d.log.Info("worker's answer can't be read", "machine", e.Machine, "error", err)
		}
	}
	d.decide(ctx, back)
}

func (d *Dispatcher) command(ctx context.Context, term uint64, e Direct) (DirectOutcome, *wire.Report) {
	payload, err := json.Marshal(e.Commands)
	if err != nil {
		d.log.Error("command not encoded", "machine", e.Machine, "error", err)
		return DirectNotSent, nil
	}
	// Past the lease another leader may act: no order leaves here.
	may := func() bool { return d.elector.InTerm(term) }
	if !may() {
		return DirectNotSent, nil
	}
	status, answer, sent, err := d.workers.call(ctx, e.Address, http.MethodPost, "/commands", payload, may)
	switch {
	case !sent:
		if !errors.Is(err, ErrNotLeading) {
			d.unanswered.Add(1)
		}
		return DirectNotSent, nil
	case err != nil:
		d.unanswered.Add(1)
		return DirectUnknown, nil
	}
	d.unanswered.Store(0)
	var outcome DirectOutcome
	switch status {
	case http.StatusOK:
		outcome = DirectDone
	case http.StatusConflict, http.StatusBadRequest:
		outcome = DirectRefused
	default:
		return DirectUnknown, nil
	}
	report, err := wire.ParseReport(answer)
	if err != nil {
		return outcome, nil
	}
	return outcome, report
}

// watchJobs tells the core of job records as nodes create them.
func (d *Dispatcher) watchJobs(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		news, err := d.store.Watch(ctx, ledger.JobPrefix, after, 20*time.Second)
		if errors.Is(err, state.ErrTooOld) {
			after = d.reread(ctx)
			continue
		}
		if err != nil {
			outbound.Pause(ctx, 200*time.Millisecond)
			continue
		}
		for _, e := range news.Events {
			if e.Set != "" {
				d.tellRecord(ctx, e.Set, e.Value, e.Version)
			}
		}
		after = max(after, news.Revision)
	}
}

// reread goes through all job records when the watch has fallen too far behind.
func (d *Dispatcher) reread(ctx context.Context) uint64 {
	revision, after := uint64(0), ""
	for ctx.Err() == nil {
		page, err := d.store.List(ctx, state.Leader, ledger.JobPrefix, after, 1000)
		if err != nil {
			outbound.Pause(ctx, 200*time.Millisecond)
			continue
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, e := range page.Items {
			d.tellRecord(ctx, e.Key, e.Value, e.Version)
			after = e.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	return revision
}

func (d *Dispatcher) tellRecord(ctx context.Context, key string, value json.RawMessage, version uint64) {
	ref := strings.TrimPrefix(key, ledger.JobPrefix)
	rec, err := ledger.DecodeJob(ref, value)
	if err != nil {
		d.log.Error("job record can't be read", "key", key, "error", err)
		return
	}
	d.decide(ctx, JobSeen{Ref: ref, Record: rec, Version: version})
}
