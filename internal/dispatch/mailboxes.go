package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/scheduler"
)

// mailboxes are the queues of events for the core of the present term, whichever that is, in order of
// priority: heartbeats of agents, job records and requests that decisions depend on, and user requests.
// The results of a term's own effects are not among them: they must not reach the core of another
// term. Each queue is bounded. Unless stated otherwise, a sender to a full queue blocks until its
// context ends.
type mailboxes struct {
	heartbeats     chan request
	internalEvents chan scheduler.Event
	userRequests   chan request
}

// Capacities of the mailboxes, in events.
const (
	heartbeatCapacity     = 256
	internalEventCapacity = 512
	resultCapacity        = 512
	userRequestCapacity   = 128
)

func newMailboxes() mailboxes {
	return mailboxes{
		heartbeats:     make(chan request, heartbeatCapacity),
		internalEvents: make(chan scheduler.Event, internalEventCapacity),
		userRequests:   make(chan request, userRequestCapacity),
	}
}

// postEvent queues an internal event for the core. It blocks while the mailbox is full, until ctx
// ends; the event is then dropped.
func (d *Dispatcher) postEvent(ctx context.Context, event scheduler.Event) {
	select {
	case d.mailboxes.internalEvents <- event:
	case <-ctx.Done():
	}
}

// postResult queues the result of one of the term's effects for its core. It blocks while the queue is
// full, until ctx ends; the result is then dropped.
func (t *term) postResult(ctx context.Context, result scheduler.Event) {
	select {
	case t.results <- result:
	case <-ctx.Done():
	}
}

// pollEvent receives the pending event of the highest priority without blocking. It returns false
// if no event is pending.
//
// pollEvent and waitForEvent each list all event sources, because a select with a default case and
// one without can't share cases, and an adapter would cost an allocation per event.
// TestEventSources checks that both list the same sources.
func (t *term) pollEvent() (scheduler.Event, bool) {
	select {
	case request := <-t.mailboxes.heartbeats:
		return request.event, true
	default:
	}
	select {
	case request := <-t.mailboxes.heartbeats:
		return request.event, true
	case tags := <-t.ledger.Durable:
		return scheduler.WritesDurable{Tags: tags}, true
	case tags := <-t.ledger.Rejected:
		return scheduler.WritesRejected{Tags: tags}, true
	case result := <-t.cloud.Results:
		return scheduler.CloudResult{Result: result}, true
	case event := <-t.results:
		return event, true
	case event := <-t.mailboxes.internalEvents:
		return event, true
	case <-t.ticker.C:
		return scheduler.Tick{}, true
	default:
	}
	select {
	case request := <-t.mailboxes.userRequests:
		return request.event, true
	default:
	}
	return nil, false
}

// waitForEvent receives the pending event of the highest priority, or waits for the next event. It
// returns false when ctx ends or deadline is ready. A nil deadline is never ready.
func (t *term) waitForEvent(ctx context.Context, deadline <-chan time.Time) (scheduler.Event, bool) {
	if ctx.Err() != nil {
		return nil, false
	}
	if event, ok := t.pollEvent(); ok {
		return event, true
	}
	select {
	case request := <-t.mailboxes.heartbeats:
		return request.event, true
	case tags := <-t.ledger.Durable:
		return scheduler.WritesDurable{Tags: tags}, true
	case tags := <-t.ledger.Rejected:
		return scheduler.WritesRejected{Tags: tags}, true
	case result := <-t.cloud.Results:
		return scheduler.CloudResult{Result: result}, true
	case event := <-t.results:
		return event, true
	case event := <-t.mailboxes.internalEvents:
		return event, true
	case <-t.ticker.C:
		return scheduler.Tick{}, true
	case request := <-t.mailboxes.userRequests:
		return request.event, true
	case <-deadline:
		return nil, false
	case <-ctx.Done():
		return nil, false
	}
}
