package dispatch

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// leaderOfTerm implements Leadership. It leads in the one term that is its value.
type leaderOfTerm uint64

func (l leaderOfTerm) IsLeader(term uint64) bool { return term == uint64(l) }

// newDeferredStart returns a command that starts a task, and its delivery, which is deferred.
func newDeferredStart() ([]wire.Command, scheduler.StartDeliveries) {
	starts := scheduler.StartDeliveries{&scheduler.StartDelivery{}}
	starts.Defer()
	return []wire.Command{{Verb: wire.VerbStart, Task: "job-1/0", Attempt: 1}}, starts
}

// TestSendGuard guards against commands that are sent after the term has ended, in a heartbeat
// response or directly.
func TestSendGuard(t *testing.T) {
	cases := []struct {
		name string
		term uint64
		err  error
	}{
		{"during the term", 7, nil},
		{"after the term", 6, ErrNotLeader},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var logged bytes.Buffer
			guard := NewSendGuard(leaderOfTerm(7), slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelDebug})))
			commands, starts := newDeferredStart()
			response, err := guard.FilterResponse(c.term, scheduler.HeartbeatReply{Response: &wire.HeartbeatResponse{FencingToken: 3, Commands: commands}, Starts: starts})
			if !errors.Is(err, c.err) || err == nil && (len(response.Commands) != 1 || response.FencingToken != 3) {
				t.Errorf("response %+v, error %v, want one command during the term and ErrNotLeader after it", response, err)
			}
			commands, starts = newDeferredStart()
			request, err := guard.FilterCommandRequest(c.term, scheduler.SendCommands{Request: wire.CommandRequest{FencingToken: 3, AgentEpoch: 2, Commands: commands}, Starts: starts})
			if !errors.Is(err, c.err) || err == nil && (len(request.Commands) != 1 || request.AgentEpoch != 2) {
				t.Errorf("command request %+v, error %v, want one command during the term and ErrNotLeader after it", request, err)
			}
			if acted := strings.Contains(logged.String(), MessageLeaderAction); acted != (c.err == nil) {
				t.Errorf("leader action must be logged during the term only, got: %s", &logged)
			}
		})
	}
}

// TestNothingIsSentThatCannotBeEncoded guards the last check of a command request, in encode: if it
// fails after the connection was opened, nothing is sent.
func TestNothingIsSentThatCannotBeEncoded(t *testing.T) {
	agents, _ := startAgents(t, 1)
	pool := newConnectionPool(transport.TCP{}, ConnectionLimits{MaxInFlight: 2, MaxIdle: 3, MaxIdleWhenScarce: 1, SocketsScarce: func() bool { return false }})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go pool.run(ctx)
	request := agentRequest{address: agents[0], method: http.MethodPost, path: "/commands", encode: func() ([]byte, error) { return nil, errWithdrawn }}
	response, err := pool.call(ctx, request, alwaysAllowed)
	if response.sent || !errors.Is(err, errWithdrawn) {
		t.Errorf("sent %v, error %v, want not sent and errWithdrawn", response.sent, err)
	}
}
