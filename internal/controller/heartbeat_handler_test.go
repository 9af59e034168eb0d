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
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// fakeForwarder returns a fixed response or error; without either it blocks until the context ends.
type fakeForwarder struct {
	response jobapi.Response
	err      error
}

func (f fakeForwarder) Connect(context.Context, string) {}

func (f fakeForwarder) ForwardHeartbeat(ctx context.Context, _ string, _ []byte) (jobapi.Response, error) {
	if f.response.Status == 0 && f.err == nil {
		<-ctx.Done()
		return jobapi.Response{}, ctx.Err()
	}
	return f.response, f.err
}

// TestForwardedHeartbeats: a controller that is not the leader returns the leader's response
// unchanged. Without a stream to the leader it redirects the agent immediately, and when the leader
// does not respond it does so before the agent's request times out.
func TestForwardedHeartbeats(t *testing.T) {
	cases := []struct {
		name   string
		leader fakeForwarder
		status int
		body   string
		within time.Duration
	}{
		{"the leader responds", fakeForwarder{response: jobapi.JSON(200, wire.HeartbeatResponse{FencingToken: 7})}, 200, `{"baton":7,"orders":null}`, 0},
		{"the former leader redirects", fakeForwarder{response: redirectTo("n2")}, 421, `{"boss":"n2"}`, 0},
		{"a malformed heartbeat", fakeForwarder{response: errorResponse(400, "x")}, 400, `{"error":"x"}`, 0},
		{"no stream to the leader", fakeForwarder{err: peers.ErrNoStream}, 421, `{"boss":"n1"}`, 0},
		{"the leader does not respond", fakeForwarder{}, 421, `{}`, heartbeatTimeout},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handler := newHeartbeatHandler(t.Context(), "n0", nil, nil, test.leader, &connectionTracker{}, discardLog)
				start := time.Now()
				response := handler.forward(t.Context(), "n1", []byte("{}"))
				if response.Status != test.status || string(response.Body) != test.body || time.Since(start) != test.within {
					t.Errorf("response %d %s after %s, want %d %s after %s", response.Status, response.Body, time.Since(start), test.status, test.body, test.within)
				}
			})
		})
	}
}

// discardLog discards all records.
var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// termUnawareDispatcher responds to every heartbeat with a start command, like a dispatcher that does
// not know yet that its term has ended.
type termUnawareDispatcher struct{}

func (termUnawareDispatcher) ExpectedMachines() int { return 0 }

func (d termUnawareDispatcher) HeartbeatAsync(ctx context.Context, heartbeat *wire.Heartbeat, respond func(scheduler.HeartbeatReply, error)) {
	respond(d.Heartbeat(ctx, heartbeat))
}

func (termUnawareDispatcher) Heartbeat(context.Context, *wire.Heartbeat) (scheduler.HeartbeatReply, error) {
	return scheduler.HeartbeatReply{Response: &wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{{Verb: wire.VerbStart, Task: "job-1/0", Attempt: 1}}}}, nil
}

// TestNoResponseAfterTermEnd: a controller whose term has ended redirects agents without commands,
// so that they find another controller before their leases expire.
func TestNoResponseAfterTermEnd(t *testing.T) {
	elector := election.New("n1", settings.Operator{LeaderLease: time.Second}, nil, discardLog)
	handler := newHeartbeatHandler(t.Context(), "n1", elector, termUnawareDispatcher{}, nil, &connectionTracker{}, discardLog)
	body := []byte(`{"host":"vm-1","address":"10.1.0.1:9000","flavor":"m","room":"a","tenure":1,"tick":4,"baton":0,"pieces":[]}`)
	check := func(name string, response jobapi.Response) {
		t.Helper()
		if response.Status != http.StatusMisdirectedRequest || strings.Contains(string(response.Body), "boss") || strings.Contains(string(response.Body), "start") {
			t.Errorf("%s: response %d %s, want 421 without leader and commands", name, response.Status, response.Body)
		}
	}
	check("sent by an agent", handler.handle(t.Context(), body))
	forwarded := false
	handler.ReceiveForwarded(t.Context(), body, func(response func() jobapi.Response) {
		forwarded = true
		check("forwarded", response())
	})
	if !forwarded {
		t.Error("a forwarded heartbeat got no response")
	}
	// The term may end between the dispatcher's reply and the sending of the response.
	reply, err := termUnawareDispatcher{}.Heartbeat(t.Context(), nil)
	check("decided before the term's end, sent after it", handler.makeResponse(1, reply, err))
}
