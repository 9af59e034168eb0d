// Package dispatch runs the scheduler's core for the terms that this controller leads: it
// passes heartbeats, user requests and results of I/O to the core as events, and carries out
// the effects that follow. Its goroutine owns the core; everybody else sends it messages.
package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/federation"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
	"leadproxy/internal/standby"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// ErrNotLeader means that this node does not run a term.
var ErrNotLeader = errors.New("this node does not lead")

// ErrTerminalStatePending means that whether a job is over is known to the state service alone.
var ErrTerminalStatePending = errors.New("the job's end is being written")

// Dispatcher is where the rest of a node speaks to its dispatcher. It runs one core
// for each term that this node leads and refuses everything in between.
type Dispatcher struct {
	net      transport.Network
	platform *settings.Platform
	operator settings.Operator
	elector  *election.Elector
	store    *kvstore.Client
	log      *slog.Logger
	started  time.Time
	workers  *commandPool
	// AllUpgraded tells whether all nodes run a version that knows what this one
	// writes.
	AllUpgraded func() bool
	// Standby has a copy of the ledger for a term that begins here; nil: there is none.
	Standby Standby
	// SoftStateView has what an earlier leader held in memory; nil: there is nothing.
	SoftStateView SoftStateViewer
	// TransfersSupported tells whether all nodes know transfers between cells, Cells speaks to
	// the neighbours, and Note is told the steps of transfers.
	TransfersSupported func() bool
	Cells              Neighbours
	TraceTransfer      func(federation.TransferStep)
	// machines is how many should be reporting to this leader; unanswered is how
	// many direct commands in a row no worker has answered.
	machines   atomic.Int64
	unanswered atomic.Int64

	// The mailboxes, by rank: reports of workers first, then what decisions
	// need, then users. Each is bounded; who finds one full is turned away.
	reports chan ask
	inner   chan scheduler.Event
	users   chan ask
}

// Standby keeps a copy of the ledger.
type Standby interface {
	// Promote returns the view that a term may decide on, or why there is none.
	Promote(ctx context.Context, term uint64) (standby.View, error)
	// Release tells that the term is over.
	Release()
}

// SoftStateViewer keeps what a leader tells the nodes that may lead next.
type SoftStateViewer interface {
	// View returns the hints for a term that begins here.
	View(ctx context.Context, term uint64) softstate.View
}

// ask is an event with who wants to be told of its outcome: an effect, or an
// error.
type ask struct {
	event scheduler.Event
	reply answerTo
}

// answerTo takes the one outcome of an ask, an answer or an error. It does not wait.
type answerTo func(answer scheduler.Effect, err error)

// Deliver takes the answer.
func (to answerTo) Deliver(answer scheduler.Effect) { to(answer, nil) }

// NewDispatcher makes a dispatcher; Run starts it.
func NewDispatcher(n transport.Network, p *settings.Platform, op settings.Operator, e *election.Elector, store *kvstore.Client, lines ConnectionLimits, log *slog.Logger) *Dispatcher {
	return &Dispatcher{
		net: n, platform: p, operator: op, elector: e, store: store, log: log, started: time.Now(),
		workers: newCommandPool(n, lines), AllUpgraded: func() bool { return false }, TransfersSupported: func() bool { return false },
		TraceTransfer: func(federation.TransferStep) {},
		reports:       make(chan ask, 256), inner: make(chan scheduler.Event, 512), users: make(chan ask, 128),
	}
}

// clocks reads the steady time and the time of day at one moment. Leases are
// reckoned from the one to the other: a process that stood still between two
// readings would find them over too soon.
func (d *Dispatcher) clocks() (now time.Duration, wall int64) {
	t := time.Now()
	return t.Sub(d.started), t.UnixMilli()
}

// CloseIdleConnections closes the connections to workers that are kept between two commands.
func (d *Dispatcher) CloseIdleConnections() { d.workers.hangUp() }

// UnansweredCommands is how many direct commands in a row no worker has answered.
func (d *Dispatcher) UnansweredCommands() int { return int(d.unanswered.Load()) }

// Machines is how many machines should be reporting to this node as the leader.
func (d *Dispatcher) Machines() int { return int(d.machines.Load()) }

func (d *Dispatcher) ask(ctx context.Context, box chan ask, event func(to scheduler.Recipient) scheduler.Event) (scheduler.Effect, error) {
	type outcome struct {
		answer scheduler.Effect
		err    error
	}
	reply := make(chan outcome, 1)
	to := answerTo(func(answer scheduler.Effect, err error) { reply <- outcome{answer, err} })
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

// Heartbeat has a worker's report answered.
func (d *Dispatcher) Heartbeat(ctx context.Context, r *wire.Heartbeat) (*wire.HeartbeatResponse, error) {
	return reportAnswer(d.ask(ctx, d.reports, func(to scheduler.Recipient) scheduler.Event {
		return scheduler.HeartbeatEvent{Heartbeat: r, ReplyTo: to}
	}))
}

// HeartbeatAsync has a worker's report answered through give, once, or never if the term
// ends meanwhile. give must not wait.
func (d *Dispatcher) HeartbeatAsync(ctx context.Context, r *wire.Heartbeat, give func(*wire.HeartbeatResponse, error)) {
	to := answerTo(func(answer scheduler.Effect, err error) { give(reportAnswer(answer, err)) })
	select {
	case d.reports <- ask{scheduler.HeartbeatEvent{Heartbeat: r, ReplyTo: to}, to}:
	case <-ctx.Done():
	}
}

func reportAnswer(answer scheduler.Effect, err error) (*wire.HeartbeatResponse, error) {
	if err != nil {
		return nil, err
	}
	if a, ok := answer.(scheduler.HeartbeatReply); ok && a.Response != nil {
		return a.Response, nil
	}
	return nil, ErrNotLeader
}

// Status asks for a job's state. With ErrDeciding only the record tells it.
func (d *Dispatcher) Status(ctx context.Context, ref string) (wire.JobStatus, bool, error) {
	return d.user(ctx, func(to scheduler.Recipient) scheduler.Event { return scheduler.StatusRequest{JobID: ref, ReplyTo: to} })
}

// Cancel has a job cancelled and waits until that is durable.
func (d *Dispatcher) Cancel(ctx context.Context, ref string) (wire.JobStatus, bool, error) {
	return d.user(ctx, func(to scheduler.Recipient) scheduler.Event { return scheduler.CancelRequest{JobID: ref, ReplyTo: to} })
}

func (d *Dispatcher) user(ctx context.Context, event func(to scheduler.Recipient) scheduler.Event) (wire.JobStatus, bool, error) {
	a, err := d.ask(ctx, d.users, event)
	if err != nil {
		return wire.JobStatus{}, false, err
	}
	u := a.(scheduler.UserReply)
	switch {
	case u.TerminalStatePending:
		return wire.JobStatus{}, true, ErrTerminalStatePending
	case u.CellUnreachable:
		return wire.JobStatus{}, true, ErrCellUnreachable
	}
	return u.Status, u.Known, nil
}

// JobCreated tells of a job record. It is only a short cut for the watch, so it is
// dropped rather than waited for.
func (d *Dispatcher) JobCreated(j scheduler.JobRecordEvent) {
	select {
	case d.inner <- j:
	default:
	}
}

// decide hands the core an event that decisions need. It gives up only with ctx.
func (d *Dispatcher) decide(ctx context.Context, event scheduler.Event) {
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
		var inner chan scheduler.Event
		if stop == nil {
			reports, users, inner = d.reports, d.users, d.inner
		}
		select {
		case v := <-d.elector.ViewChanges():
			if v.Elected && v.Term == current && stop != nil {
				break
			}
			end()
			if v.Elected {
				d.store.SetRateShare(leaderShare(d.platform.Facts.Nodes))
				tctx, cancel := context.WithCancel(ctx)
				stop, current, ended = cancel, v.Term, make(chan struct{})
				go func(done chan struct{}, term uint64) {
					defer close(done)
					d.lead(tctx, term)
				}(ended, v.Term)
			} else {
				d.store.SetRateShare(FollowerShare(d.platform.Facts.Nodes))
			}
		case a := <-reports:
			a.reply(nil, ErrNotLeader)
		case a := <-users:
			a.reply(nil, ErrNotLeader)
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
