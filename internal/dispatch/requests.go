package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"leadproxy/internal/scheduler"
)

// errUnexpectedReply means that the type of the core's reply does not match the request.
var errUnexpectedReply = errors.New("unexpected type of reply")

// caller receives the outcome of a request: a reply of the core, or an error. Its methods must not
// block.
type caller interface {
	scheduler.Recipient
	// Reject delivers an error instead of a reply: the core did not receive the request.
	Reject(err error)
}

// request is an event in a mailbox together with the caller that waits for its outcome.
type request struct {
	event  scheduler.Event
	caller caller
}

// eventBuilder returns the event for a request whose reply is delivered to replyTo.
type eventBuilder func(replyTo scheduler.Recipient) scheduler.Event

// outcome is the result of a request that expects a reply of type R.
type outcome[R scheduler.Effect] struct {
	reply R
	err   error
}

// pendingReply is a caller that waits for one reply of type R.
type pendingReply[R scheduler.Effect] struct {
	outcome chan outcome[R] // buffered, so that neither method blocks
}

func newPendingReply[R scheduler.Effect]() pendingReply[R] {
	return pendingReply[R]{outcome: make(chan outcome[R], 1)}
}

// Deliver implements scheduler.Recipient.
func (p pendingReply[R]) Deliver(effect scheduler.Effect) {
	reply, ok := effect.(R)
	if !ok {
		p.Reject(fmt.Errorf("reply of type %T: %w", effect, errUnexpectedReply))
		return
	}
	p.outcome <- outcome[R]{reply: reply}
}

// Reject implements caller.
func (p pendingReply[R]) Reject(err error) { p.outcome <- outcome[R]{err: err} }

// sendAndWait sends a message to a mailbox and waits for the reply, until ctx ends.
func sendAndWait[R scheduler.Effect, M any](ctx context.Context, mailbox chan<- M, message M, pending pendingReply[R]) (R, error) {
	var zero R
	select {
	case mailbox <- message:
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case result := <-pending.outcome:
		return result.reply, result.err
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// askCore sends a request to the core through a mailbox and waits for the reply. The error is
// ErrNotLeader while this controller runs no term.
func askCore[R scheduler.Effect](ctx context.Context, mailbox chan<- request, newEvent eventBuilder) (R, error) {
	pending := newPendingReply[R]()
	return sendAndWait(ctx, mailbox, request{event: newEvent(pending), caller: pending}, pending)
}

// askLeader sends a request to the core with the priority of internal events and waits for the
// reply. The error is ErrNotLeader unless this controller leads, and still leads in the same term
// when the reply arrives.
func askLeader[R scheduler.Effect](ctx context.Context, d *Dispatcher, newEvent eventBuilder) (R, error) {
	var zero R
	view := d.elector.View()
	if !view.IsLeader(time.Now()) {
		return zero, ErrNotLeader
	}
	pending := newPendingReply[R]()
	reply, err := sendAndWait(ctx, d.mailboxes.internalEvents, newEvent(pending), pending)
	if err != nil {
		return zero, err
	}
	if !d.elector.IsLeader(view.Term) {
		return zero, ErrNotLeader
	}
	return reply, nil
}
