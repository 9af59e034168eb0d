package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/scheduler"
)

// mailboxes hold what waits for the core, by priority: first heartbeats of workers, then
// events that decisions depend on, then requests of users. Each is bounded; a sender waits
// for room until its context ends.
type mailboxes struct {
	heartbeats     chan request
	internalEvents chan scheduler.Event
	userRequests   chan request
}

// The capacities of the mailboxes.
const (
	heartbeatCapacity     = 256
	internalEventCapacity = 512
	userRequestCapacity   = 128
)

func newMailboxes() mailboxes {
	return mailboxes{
		heartbeats:     make(chan request, heartbeatCapacity),
		internalEvents: make(chan scheduler.Event, internalEventCapacity),
		userRequests:   make(chan request, userRequestCapacity),
	}
}

// postEvent passes an internal event to the core. It gives up only with ctx.
func (d *Dispatcher) postEvent(ctx context.Context, event scheduler.Event) {
	select {
	case d.mailboxes.internalEvents <- event:
	case <-ctx.Done():
	}
}

// pollEvent takes the waiting event of the highest priority. The result is false if none
// waits.
//
// A select with a default and one without can't share their cases, and an adapter between
// them would cost an allocation for each event: so pollEvent and waitForEvent each list all
// sources. TestEventSources checks that they know the same ones.
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

// waitForEvent takes the waiting event of the highest priority, or waits for the next one.
// The result is false as ctx ends or the deadline passes; a nil deadline never does.
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
