package dispatch

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
)

// testTerm is a term with event sources and no core; the test makes its ticks.
type testTerm struct {
	*term
	ticks chan time.Time
}

func newTestTerm(t *testing.T) *testTerm {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ticks := make(chan time.Time, 1)
	return &testTerm{ticks: ticks, term: &term{
		Dispatcher: &Dispatcher{log: log, mailboxes: newMailboxes()},
		ledger:     ledger.New(1, nil, func() ledger.Limits { return ledger.Limits{} }, log),
		cloud:      autoscaler.NewClient(transport.TCP{}, "127.0.0.1:1", 1),
		ticker:     &time.Ticker{C: ticks},
	}}
}

// eventSources lists all sources of events, those of higher priority first.
var eventSources = []struct {
	name     string
	priority int
	fill     func(t *testTerm)
	is       func(event scheduler.Event) bool
}{
	{"heartbeats", 1, func(t *testTerm) { t.mailboxes.heartbeats <- request{event: scheduler.HeartbeatEvent{}} },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.HeartbeatEvent); return ok }},
	{"durable writes", 2, func(t *testTerm) { t.ledger.Durable <- nil },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.WritesDurable); return ok }},
	{"rejected writes", 2, func(t *testTerm) { t.ledger.Rejected <- nil },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.WritesRejected); return ok }},
	{"cloud results", 2, func(t *testTerm) { t.cloud.Results <- autoscaler.Result{} },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.CloudResult); return ok }},
	{"internal events", 2, func(t *testTerm) { t.mailboxes.internalEvents <- scheduler.JobRecordEvent{} },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.JobRecordEvent); return ok }},
	{"ticks", 2, func(t *testTerm) { t.ticks <- time.Time{} },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.Tick); return ok }},
	{"user requests", 3, func(t *testTerm) { t.mailboxes.userRequests <- request{event: scheduler.StatusRequest{}} },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.StatusRequest); return ok }},
}

// TestEventSources: polling and waiting both receive from every source.
func TestEventSources(t *testing.T) {
	for _, source := range eventSources {
		t.Run(source.name+" polled", func(t *testing.T) {
			term := newTestTerm(t)
			if event, ok := term.pollEvent(); ok {
				t.Errorf("polled %T while nothing waits", event)
			}
			source.fill(term)
			if event, ok := term.pollEvent(); !ok || !source.is(event) {
				t.Errorf("polled %T, %v", event, ok)
			}
		})
		t.Run(source.name+" waited for", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				term := newTestTerm(t)
				events := make(chan scheduler.Event, 1)
				go func() {
					event, _ := term.waitForEvent(t.Context(), nil)
					events <- event
				}()
				synctest.Wait() // polling has found nothing
				source.fill(term)
				if event := <-events; !source.is(event) {
					t.Errorf("waited for %T", event)
				}
			})
		})
	}
}

// TestEventPriority: of all that waits, an event of a higher priority comes first.
func TestEventPriority(t *testing.T) {
	term := newTestTerm(t)
	for i := len(eventSources) - 1; i >= 0; i-- {
		eventSources[i].fill(term)
	}
	last := 0
	for range eventSources {
		event, ok := term.waitForEvent(t.Context(), nil)
		if !ok {
			t.Fatal("an event is missing")
		}
		for _, source := range eventSources {
			if !source.is(event) {
				continue
			}
			if source.priority < last {
				t.Errorf("%s came after priority %d", source.name, last)
			}
			last = source.priority
		}
	}
}

// TestWaitForEventEnds: waiting ends with the context and at the deadline.
func TestWaitForEventEnds(t *testing.T) {
	term := newTestTerm(t)
	if event, ok := term.waitForEvent(t.Context(), alreadyDue); ok {
		t.Errorf("%T past the deadline", event)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	term.mailboxes.internalEvents <- scheduler.JobRecordEvent{}
	if event, ok := term.waitForEvent(ctx, nil); ok {
		t.Errorf("%T past the end of the context", event)
	}
}
