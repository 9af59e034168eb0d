package dispatch

import (
	"context"
	"io"
	"log/slog"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
)

// testTerm is a term with all event sources but without a core. The test sends its ticks.
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
		results:    make(chan scheduler.Event, resultCapacity),
		ledger:     ledger.New(1, nil, func() ledger.Limits { return ledger.Limits{} }, log),
		cloud:      autoscaler.NewClient(transport.TCP{}, "127.0.0.1:1", 1),
		ticker:     &time.Ticker{C: ticks},
	}}
}

// eventSources lists all sources of events, in order of priority. 1 is the highest.
var eventSources = []struct {
	name     string
	priority int
	send     func(t *testTerm)
	matches  func(event scheduler.Event) bool
}{
	{"heartbeats", 1, func(t *testTerm) { t.mailboxes.heartbeats <- request{event: scheduler.HeartbeatEvent{}} },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.HeartbeatEvent); return ok }},
	{"durable writes", 2, func(t *testTerm) { t.ledger.Durable <- nil },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.WritesDurable); return ok }},
	{"rejected writes", 2, func(t *testTerm) { t.ledger.Rejected <- nil },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.WritesRejected); return ok }},
	{"cloud results", 2, func(t *testTerm) { t.cloud.Results <- autoscaler.Result{} },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.CloudResult); return ok }},
	{"results of effects", 2, func(t *testTerm) { t.postResult(context.Background(), scheduler.CommandResult{}) },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.CommandResult); return ok }},
	{"internal events", 2, func(t *testTerm) { t.mailboxes.internalEvents <- scheduler.JobRecordEvent{} },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.JobRecordEvent); return ok }},
	{"ticks", 2, func(t *testTerm) { t.ticks <- time.Time{} },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.Tick); return ok }},
	{"user requests", 3, func(t *testTerm) { t.mailboxes.userRequests <- request{event: scheduler.StatusRequest{}} },
		func(e scheduler.Event) bool { _, ok := e.(scheduler.StatusRequest); return ok }},
}

// TestEventSources checks that pollEvent and waitForEvent both receive from every source.
func TestEventSources(t *testing.T) {
	for _, source := range eventSources {
		t.Run(source.name+" polled", func(t *testing.T) {
			term := newTestTerm(t)
			if event, ok := term.pollEvent(); ok {
				t.Errorf("polled %T, want no event before one was sent", event)
			}
			source.send(term)
			if event, ok := term.pollEvent(); !ok || !source.matches(event) {
				t.Errorf("polled %T, %v, want an event of this source", event, ok)
			}
		})
		t.Run(source.name+" awaited", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				term := newTestTerm(t)
				events := make(chan scheduler.Event, 1)
				go func() {
					event, _ := term.waitForEvent(t.Context(), nil)
					events <- event
				}()
				synctest.Wait() // pollEvent has found no event, waitForEvent blocks
				source.send(term)
				if event := <-events; !source.matches(event) {
					t.Errorf("received %T, want an event of this source", event)
				}
			})
		})
	}
}

// TestEventPriority checks that pending events are received in order of priority.
func TestEventPriority(t *testing.T) {
	term := newTestTerm(t)
	for i := len(eventSources) - 1; i >= 0; i-- {
		eventSources[i].send(term)
	}
	last := 0
	for range eventSources {
		event, ok := term.waitForEvent(t.Context(), nil)
		if !ok {
			t.Fatal("no event, want one per source")
		}
		for _, source := range eventSources {
			if !source.matches(event) {
				continue
			}
			if source.priority < last {
				t.Errorf("%s received after an event of priority %d", source.name, last)
			}
			last = source.priority
		}
	}
}

// TestWaitForEventEnds checks that waiting ends at the deadline and when the context ends, in the
// latter case even if an event is pending.
func TestWaitForEventEnds(t *testing.T) {
	term := newTestTerm(t)
	if event, ok := term.waitForEvent(t.Context(), alreadyDue); ok {
		t.Errorf("received %T after the deadline, want no event", event)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	term.mailboxes.internalEvents <- scheduler.JobRecordEvent{}
	if event, ok := term.waitForEvent(ctx, nil); ok {
		t.Errorf("received %T after the context ended, want no event", event)
	}
}

// TestNotificationsNeverBlock: job records are dropped while the mailbox is full, and the core learns
// of them from the watch or reads them.
func TestNotificationsNeverBlock(t *testing.T) {
	d := &Dispatcher{mailboxes: newMailboxes()}
	for range internalEventCapacity + 1 {
		d.NotifyJobRecord(scheduler.JobRecordEvent{JobID: "job-000001"})
	}
	if queued := len(d.mailboxes.internalEvents); queued != internalEventCapacity {
		t.Errorf("%d records are queued, want %d", queued, internalEventCapacity)
	}
}

// TestResultsOfAnEarlierTermAreDropped guards against the result of an earlier term's command that is taken
// for that of a command with the same number in the present term, of the same controller: it would release
// a start that is on its way, and the task would be started a second time.
func TestResultsOfAnEarlierTermAreDropped(t *testing.T) {
	earlier := newTestTerm(t)
	results := []scheduler.Event{
		scheduler.CommandResult{CommandID: 1, Outcome: scheduler.CommandRejected}, scheduler.InspectResult{Machine: "vm-1"},
		scheduler.RecordReadResult{JobID: "job-1"}, scheduler.CapacityResult{Cell: "north"},
	}
	present := newTestTerm(t)
	present.Dispatcher = earlier.Dispatcher
	for _, result := range results {
		earlier.postResult(t.Context(), result)
	}
	if event, ok := present.pollEvent(); ok {
		t.Errorf("the present term receives %T of an earlier term, want no event", event)
	}
	for _, result := range results {
		if event, ok := earlier.pollEvent(); !ok || !reflect.DeepEqual(event, result) {
			t.Errorf("the earlier term receives %+v, want its own %+v", event, result)
		}
	}
}
