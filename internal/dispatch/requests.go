package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"leadproxy/internal/scheduler"
)

// errUnexpectedReply means that the core has answered a request with a reply of another
// request's type.
var errUnexpectedReply = errors.New("unexpected type of reply")

// caller is who waits for the outcome of a request: a reply of the core, or an error.
// Neither method waits.
type caller interface {
	scheduler.Recipient
	// Reject reports that the core did not get the request.
	Reject(err error)
}

// request is an event in a mailbox, and who waits for its outcome.
type request struct {
	event  scheduler.Event
	caller caller
}

// eventBuilder makes the event of a request whose reply goes to a recipient.
type eventBuilder func(replyTo scheduler.Recipient) scheduler.Event

// outcome is what came of a request that expects a reply of type R.
type outcome[R scheduler.Effect] struct {
	reply R
	err   error
}

// pendingReply is a caller that waits for one reply of type R.
type pendingReply[R scheduler.Effect] struct {
	outcome chan outcome[R] // has room for one
}

func newPendingReply[R scheduler.Effect]() pendingReply[R] {
	return pendingReply[R]{outcome: make(chan outcome[R], 1)}
}

// Deliver takes the reply of the core.
func (p pendingReply[R]) Deliver(effect scheduler.Effect) {
	reply, ok := effect.(R)
	if !ok {
		p.Reject(fmt.Errorf("reply %T: %w", effect, errUnexpectedReply))
		return
	}
	p.outcome <- outcome[R]{reply: reply}
}

// Reject takes an error in place of a reply.
func (p pendingReply[R]) Reject(err error) { p.outcome <- outcome[R]{err: err} }

// sendAndWait puts a message into a mailbox and waits for the reply to it. Both end with ctx.
func sendAndWait[R scheduler.Effect, M any](ctx context.Context, mailbox chan<- M, message M, pending pendingReply[R]) (R, error) {
	var none R
	select {
	case mailbox <- message:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case result := <-pending.outcome:
		return result.reply, result.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// askCore has the core answer a request of a mailbox. While this controller runs no term, the
// error is ErrNotLeader.
func askCore[R scheduler.Effect](ctx context.Context, mailbox chan<- request, event eventBuilder) (R, error) {
	pending := newPendingReply[R]()
	return sendAndWait(ctx, mailbox, request{event: event(pending), caller: pending}, pending)
}

// askLeader has the core answer a request with the priority of internal events, if this
// controller leads. The reply is valid only if the term still holds as it arrives.
func askLeader[R scheduler.Effect](ctx context.Context, d *Dispatcher, event eventBuilder) (R, error) {
	var none R
	view := d.elector.View()
	if !view.IsLeader(time.Now()) {
		return none, ErrNotLeader
	}
	pending := newPendingReply[R]()
	reply, err := sendAndWait(ctx, d.mailboxes.internalEvents, event(pending), pending)
	if err != nil {
		return none, err
	}
	if !d.elector.IsLeader(view.Term) {
		return none, ErrNotLeader
	}
	return reply, nil
}
