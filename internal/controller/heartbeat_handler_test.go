package controller

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// forwarderTo is a line to the leader: it answers with what it holds, or not at all.
type forwarderTo struct {
	answer jobapi.Response
	err    error
}

func (l forwarderTo) Connect(context.Context, string) {}

func (l forwarderTo) ForwardHeartbeat(ctx context.Context, _ string, _ []byte) (jobapi.Response, error) {
	if l.answer.Status == 0 && l.err == nil {
		<-ctx.Done()
		return jobapi.Response{}, ctx.Err()
	}
	return l.answer, l.err
}

// TestCarriedReports: a node that does not lead gives a worker what the leader
// has said and nothing of its own, and sends it on at once, or before the worker
// gives up, when the leader says nothing.
func TestCarriedReports(t *testing.T) {
	cases := []struct {
		name   string
		line   forwarderTo
		status int
		body   string
		within time.Duration
	}{
		{"the leader's answer is passed on", forwarderTo{answer: jobapi.JSON(200, wire.HeartbeatResponse{FencingToken: 7})}, 200, `{"baton":7,"orders":null}`, 0},
		{"one that leads no more", forwarderTo{answer: sendTo("n2")}, 421, `{"boss":"n2"}`, 0},
		{"one that finds the report malformed", forwarderTo{answer: problem(400, "x")}, 400, `{"error":"x"}`, 0},
		{"no line: the leader itself is to be tried", forwarderTo{err: peers.ErrNoStream}, 421, `{"boss":"n1"}`, 0},
		{"a leader that is silent", forwarderTo{}, 421, `{}`, reportLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newReportHandler(t.Context(), "n0", nil, nil, c.line, &socketUse{}, quiet)
				began := time.Now()
				a := g.forward(t.Context(), "n1", []byte("{}"))
				if a.Status != c.status || string(a.Body) != c.body || time.Since(began) != c.within {
					t.Errorf("%d %s after %s, want %d %s after %s", a.Status, a.Body, time.Since(began), c.status, c.body, c.within)
				}
			})
		})
	}
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// TestWhoIsSentAway: a leader to which most workers have come sends some to nodes
// that carry their reports, none of them twice in a row, since it may not reach
// those.
func TestWhoIsSentAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBalancer()
		go c.run(t.Context())
		pass := func(machine string, open int) string {
			time.Sleep(passEvery)
			return c.pass(t.Context(), machine, open, 90)
		}
		check := func(what, got, want string) {
			if got != want {
				t.Errorf("%s: sent to %q, want %q", what, got, want)
			}
		}
		check("nobody shares", pass("vm-1", 90), "")
		line, hangUp := context.WithCancel(t.Context())
		c.join(line, "n1")
		c.join(t.Context(), "n2")
		synctest.Wait()
		check("its share, and a few", pass("vm-1", 23), "")
		check("more than that", pass("vm-1", 24), "n2")
		check("it has come back", pass("vm-1", 24), "")
		check("the next goes to the next", pass("vm-2", 24), "n1")
		check("at most one at a time", c.pass(t.Context(), "vm-3", 24, 90), "")
		hangUp()
		synctest.Wait()
		check("only to who still shares", pass("vm-3", 90), "n2")
		check("also the one after", pass("vm-4", 90), "n2")
		time.Sleep(passAgain)
		check("much later it may go again", pass("vm-1", 90), "n2")
	})
}

// eager answers every report, as a dispatcher would that does not know that its
// term is over.
type eager struct{}

func (eager) ExpectedMachines() int { return 0 }

func (e eager) HeartbeatAsync(ctx context.Context, r *wire.Heartbeat, give func(*wire.HeartbeatResponse, error)) {
	give(e.Heartbeat(ctx, r))
}

func (eager) Heartbeat(context.Context, *wire.Heartbeat) (*wire.HeartbeatResponse, error) {
	return &wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{{Verb: wire.VerbStart, Task: "job-1/0", Attempt: 1}}}, nil
}

// TestNoAnswerPastTheTerm: a node that is not in its term sends workers on, with
// no orders, so that they find another node before their leases end.
func TestNoAnswerPastTheTerm(t *testing.T) {
	e := election.New("n1", settings.Operator{LeaderLease: time.Second}, nil, quiet)
	g := newReportHandler(t.Context(), "n1", e, eager{}, nil, &socketUse{}, quiet)
	body := []byte(`{"host":"vm-1","address":"10.1.0.1:9000","flavor":"m","room":"a","tenure":1,"tick":4,"baton":0,"pieces":[]}`)
	check := func(how string, a jobapi.Response) {
		if a.Status != http.StatusMisdirectedRequest || strings.Contains(string(a.Body), "boss") || strings.Contains(string(a.Body), "start") {
			t.Errorf("%s: answered %d %s", how, a.Status, a.Body)
		}
	}
	check("straight", g.take(t.Context(), body))
	g.ReceiveForwarded(t.Context(), body, func(answer func() jobapi.Response) { check("carried", answer()) })
	// The term may end between the dispatcher's answer and its writing.
	answer, err := eager{}.Heartbeat(t.Context(), nil)
	check("too late", g.answerTo(1, answer, err))
}
