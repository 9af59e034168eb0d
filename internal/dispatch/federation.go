package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/election"
	"leadproxy/internal/federation"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// ErrCellUnreachable means that a job may run in another cell, which does not answer.
var ErrCellUnreachable = errors.New("the cell that may run the job does not answer")

// CapacityOffer is a neighbour's answer to the question for room.
type CapacityOffer struct {
	Cores      float64
	For        time.Duration
	RetryAfter time.Duration
	Reason     string
}

// Neighbours speaks to the leaders of other cells.
type Neighbours interface {
	// Exchange has a neighbour answer messages.
	Exchange(ctx context.Context, cell string, messages []federation.Message) ([]federation.Answer, error)
	// AskCapacity asks a neighbour for room for so many cores.
	AskCapacity(ctx context.Context, cell string, cores float64) (CapacityOffer, error)
}

// AnswerTransfers answers another cell's messages, if this node leads.
func (d *Dispatcher) AnswerTransfers(ctx context.Context, home string, messages []federation.Message) ([]federation.Answer, error) {
	answer, err := d.askLeader(ctx, func(to scheduler.Recipient) scheduler.Event {
		return scheduler.TransferRequest{Origin: home, Messages: messages, ReplyTo: to}
	})
	if err != nil {
		return nil, err
	}
	return answer.(scheduler.TransferReply).Answers, nil
}

// askLeader asks the core before users are heard, if this node leads. The answer counts
// only while the term does.
func (d *Dispatcher) askLeader(ctx context.Context, event func(to scheduler.Recipient) scheduler.Event) (scheduler.Effect, error) {
	v := d.elector.View()
	if !v.IsLeader(time.Now()) {
		return nil, ErrNotLeader
	}
	reply := make(chan scheduler.Effect, 1)
	to := answerTo(func(answer scheduler.Effect, _ error) { reply <- answer })
	select {
	case d.inner <- event(to):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case answer := <-reply:
		if !d.elector.IsLeader(v.Term) {
			return nil, ErrNotLeader
		}
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// OfferCapacity answers another cell's question for room, if this node leads.
func (d *Dispatcher) OfferCapacity(ctx context.Context, home string, cores float64) (CapacityOffer, error) {
	answer, err := d.askLeader(ctx, func(to scheduler.Recipient) scheduler.Event {
		return scheduler.CapacityRequest{Origin: home, Cores: cores, ReplyTo: to}
	})
	if err != nil {
		return CapacityOffer{}, err
	}
	a := answer.(scheduler.CapacityReply)
	return CapacityOffer{Cores: a.Cores, For: a.For, RetryAfter: a.RetryAfter, Reason: a.Reason}, nil
}

// ListTransfers lists the transfers, if this node leads.
func (d *Dispatcher) ListTransfers(ctx context.Context) (scheduler.TransferListReply, error) {
	answer, err := d.askLeader(ctx, func(to scheduler.Recipient) scheduler.Event { return scheduler.TransferListRequest{ReplyTo: to} })
	if err != nil {
		return scheduler.TransferListReply{}, err
	}
	return answer.(scheduler.TransferListReply), nil
}

// sendTransfers carries out an exchange with a neighbour.
func (t *term) sendTransfers(ctx context.Context, e scheduler.SendTransfers) {
	answers, err := t.Cells.Exchange(ctx, e.Cell, e.Messages)
	t.decide(ctx, scheduler.TransferResult{Cell: e.Cell, Answers: answers, Err: err})
}

// askRoom asks a neighbour for room.
func (t *term) askRoom(ctx context.Context, e scheduler.AskCapacity) {
	offer, err := t.Cells.AskCapacity(ctx, e.Cell, e.Cores)
	t.decide(ctx, scheduler.CapacityResult{Cell: e.Cell, Cores: offer.Cores, For: offer.For, RetryAfter: offer.RetryAfter, Reason: offer.Reason, Err: err})
}

// guestRetry is how long a write rests whose outcome is not known.
const guestRetry = 200 * time.Millisecond

// putGuest carries out a write of a guest's record, again and again until its outcome is
// certain or the term is over.
func (t *term) putGuest(ctx context.Context, e scheduler.WriteForeign) {
	txn, err := t.guestTxn(e)
	if err != nil {
		t.log.Error("a guest's record can't be encoded", "job", e.Write.Key.JobID, "error", err)
		return
	}
	for ctx.Err() == nil {
		ok, answer, err := t.store.CompareAndSwap(ctx, kvstore.PriorityLeader, txn)
		if err == nil && ok {
			t.decide(ctx, scheduler.ForeignWriteResult{Write: e.Write, Job: e.Job, Version: answer.Revision})
			return
		}
		if err == nil && slices.Contains(answer.FailedKeys, election.LeaderKey) {
			return // the term is over, and so is this
		}
		if err == nil {
			var settled scheduler.ForeignWriteResult
			if settled, err = t.rereadGuest(ctx, e); err == nil {
				t.decide(ctx, settled)
				return
			}
		}
		t.log.Debug("a guest's record is not written yet", "job", e.Write.Key.JobID, "error", err)
		transport.Pause(ctx, guestRetry)
	}
}

// guestTxn is the transaction of such a write. A late copy of it finds the guest's key
// changed, and that is never deleted.
func (t *term) guestTxn(e scheduler.WriteForeign) (wire.CompareAndSwap, error) {
	key := ledger.ForeignKey(e.Write.Key)
	value, err := json.Marshal(e.Write.Record)
	if err != nil {
		return wire.CompareAndSwap{}, err
	}
	txn := wire.CompareAndSwap{
		Conditions: []wire.Condition{{Key: election.LeaderKey, Version: t.number}, {Key: key, Version: e.Write.Version}},
		Changes:    []wire.Change{{Set: key, Value: value}},
	}
	if e.Job == nil {
		return txn, nil
	}
	job := ledger.JobKey(e.Write.Key.JobID)
	record, err := json.Marshal(e.Job)
	txn.Conditions = append(txn.Conditions, wire.Condition{Key: job})
	txn.Changes = append(txn.Changes, wire.Change{Set: job, Value: record})
	return txn, err
}

// errGuestChanged: somebody else has written a guest's key.
var errGuestChanged = errors.New("the guest's key has changed")

// rereadGuest tells what came of a write whose conditions failed: an earlier try of it
// was carried out, or there is a job of that name.
func (t *term) rereadGuest(ctx context.Context, e scheduler.WriteForeign) (scheduler.ForeignWriteResult, error) {
	entry, found, err := t.store.Get(ctx, kvstore.PriorityLeader, ledger.ForeignKey(e.Write.Key))
	if err != nil {
		return scheduler.ForeignWriteResult{}, err
	}
	var record federation.ForeignRecord
	if found && json.Unmarshal(entry.Value, &record) == nil && record == e.Write.Record {
		return scheduler.ForeignWriteResult{Write: e.Write, Job: e.Job, Version: entry.Version}, nil
	}
	if entry.Version == e.Write.Version && e.Job != nil {
		return scheduler.ForeignWriteResult{Write: e.Write, Job: e.Job, JobExists: true}, nil
	}
	return scheduler.ForeignWriteResult{}, errGuestChanged
}
