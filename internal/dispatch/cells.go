package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/election"
	"leadproxy/internal/ledger"
	"leadproxy/internal/outbound"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/spill"
	"leadproxy/internal/state"
	"leadproxy/internal/wire"
)

// ErrUnreachable means that a job may run in another cell, which does not answer.
var ErrUnreachable = errors.New("the cell that may run the job does not answer")

// RoomOffer is a neighbour's answer to the question for room.
type RoomOffer struct {
	Cores      float64
	For        time.Duration
	RetryAfter time.Duration
	Reason     string
}

// Neighbours speaks to the leaders of other cells.
type Neighbours interface {
	// Exchange has a neighbour answer messages.
	Exchange(ctx context.Context, cell string, messages []spill.Message) ([]spill.Answer, error)
	// Room asks a neighbour for room for so many cores.
	Room(ctx context.Context, cell string, cores float64) (RoomOffer, error)
}

// Answer answers another cell's messages, if this node leads.
func (d *Dispatcher) Answer(ctx context.Context, home string, messages []spill.Message) ([]spill.Answer, error) {
	answer, err := d.askLeader(ctx, func(to scheduler.Recipient) scheduler.Event {
		return scheduler.TransfersAsked{Home: home, Messages: messages, To: to}
	})
	if err != nil {
		return nil, err
	}
	return answer.(scheduler.AnswerTransfers).Answers, nil
}

// askLeader asks the core before users are heard, if this node leads. The answer counts
// only while the term does.
func (d *Dispatcher) askLeader(ctx context.Context, event func(to scheduler.Recipient) scheduler.Event) (scheduler.Effect, error) {
	v := d.elector.View()
	if !v.InTerm(time.Now()) {
		return nil, ErrNotLeading
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
		if !d.elector.InTerm(v.Term) {
			return nil, ErrNotLeading
		}
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Lend answers another cell's question for room, if this node leads.
func (d *Dispatcher) Lend(ctx context.Context, home string, cores float64) (RoomOffer, error) {
	answer, err := d.askLeader(ctx, func(to scheduler.Recipient) scheduler.Event {
		return scheduler.RoomAsked{Home: home, Cores: cores, To: to}
	})
	if err != nil {
		return RoomOffer{}, err
	}
	a := answer.(scheduler.AnswerRoom)
	return RoomOffer{Cores: a.Cores, For: a.For, RetryAfter: a.RetryAfter, Reason: a.Reason}, nil
}

// ListTransfers lists the transfers, if this node leads.
func (d *Dispatcher) ListTransfers(ctx context.Context) (scheduler.TransferList, error) {
	answer, err := d.askLeader(ctx, func(to scheduler.Recipient) scheduler.Event { return scheduler.TransfersListed{To: to} })
	if err != nil {
		return scheduler.TransferList{}, err
	}
	return answer.(scheduler.TransferList), nil
}

// sendTransfers carries out an exchange with a neighbour.
func (t *term) sendTransfers(ctx context.Context, e scheduler.SendTransfers) {
	answers, err := t.Cells.Exchange(ctx, e.Cell, e.Messages)
	t.decide(ctx, scheduler.TransfersAnswered{Cell: e.Cell, Answers: answers, Err: err})
}

// askRoom asks a neighbour for room.
func (t *term) askRoom(ctx context.Context, e scheduler.AskRoom) {
	offer, err := t.Cells.Room(ctx, e.Cell, e.Cores)
	t.decide(ctx, scheduler.RoomAnswered{Cell: e.Cell, Cores: offer.Cores, For: offer.For, RetryAfter: offer.RetryAfter, Reason: offer.Reason, Err: err})
}

// guestRetry is how long a write rests whose outcome is not known.
const guestRetry = 200 * time.Millisecond

// putGuest carries out a write of a guest's record, again and again until its outcome is
// certain or the term is over.
func (t *term) putGuest(ctx context.Context, e scheduler.PutGuest) {
	txn, err := t.guestTxn(e)
	if err != nil {
		t.log.Error("a guest's record can't be encoded", "job", e.Write.Key.Ref, "error", err)
		return
	}
	for ctx.Err() == nil {
		ok, answer, err := t.store.Txn(ctx, state.Leader, txn)
		if err == nil && ok {
			t.decide(ctx, scheduler.GuestWritten{Write: e.Write, Job: e.Job, Version: answer.Revision})
			return
		}
		if err == nil && slices.Contains(answer.Failed, election.Key) {
			return // the term is over, and so is this
		}
		if err == nil {
			var settled scheduler.GuestWritten
			if settled, err = t.rereadGuest(ctx, e); err == nil {
				t.decide(ctx, settled)
				return
			}
		}
		t.log.Debug("a guest's record is not written yet", "job", e.Write.Key.Ref, "error", err)
		outbound.Pause(ctx, guestRetry)
	}
}

// guestTxn is the transaction of such a write. A late copy of it finds the guest's key
// changed, and that is never deleted.
func (t *term) guestTxn(e scheduler.PutGuest) (wire.Txn, error) {
	key := ledger.GuestKey(e.Write.Key)
	value, err := json.Marshal(e.Write.Record)
	if err != nil {
		return wire.Txn{}, err
	}
	txn := wire.Txn{
		If:   []wire.Condition{{Key: election.Key, Version: t.number}, {Key: key, Version: e.Write.Version}},
		Then: []wire.Change{{Set: key, Value: value}},
	}
	if e.Job == nil {
		return txn, nil
	}
	job := ledger.JobKey(e.Write.Key.Ref)
	record, err := json.Marshal(e.Job)
	txn.If = append(txn.If, wire.Condition{Key: job})
	txn.Then = append(txn.Then, wire.Change{Set: job, Value: record})
	return txn, err
}

// errGuestChanged: somebody else has written a guest's key.
var errGuestChanged = errors.New("the guest's key has changed")

// rereadGuest tells what came of a write whose conditions failed: an earlier try of it
// was carried out, or there is a job of that name.
func (t *term) rereadGuest(ctx context.Context, e scheduler.PutGuest) (scheduler.GuestWritten, error) {
	entry, found, err := t.store.Get(ctx, state.Leader, ledger.GuestKey(e.Write.Key))
	if err != nil {
		return scheduler.GuestWritten{}, err
	}
	var record spill.GuestRecord
	if found && json.Unmarshal(entry.Value, &record) == nil && record == e.Write.Record {
		return scheduler.GuestWritten{Write: e.Write, Job: e.Job, Version: entry.Version}, nil
	}
	if entry.Version == e.Write.Version && e.Job != nil {
		return scheduler.GuestWritten{Write: e.Write, Job: e.Job, JobExists: true}, nil
	}
	return scheduler.GuestWritten{}, errGuestChanged
}
