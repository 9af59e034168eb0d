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

// leaderOfTerm leads one term.
type leaderOfTerm uint64

func (l leaderOfTerm) IsLeader(term uint64) bool { return term == uint64(l) }

// newDeferredStart is a command that starts a task, and its delivery, which waits.
func newDeferredStart() ([]wire.Command, scheduler.StartDeliveries) {
	starts := scheduler.StartDeliveries{&scheduler.StartDelivery{}}
	starts.Defer()
	return []wire.Command{{Verb: wire.VerbStart, Task: "job-1/0", Attempt: 1}}, starts
}

// TestSendGuard guards against commands that leave past the end of the term, in a response or
// directly.
func TestSendGuard(t *testing.T) {
	cases := []struct {
		name string
		term uint64
		err  error
	}{
		{"in the term", 7, nil},
		{"past the term", 6, ErrNotLeader},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var lines bytes.Buffer
			guard := NewSendGuard(leaderOfTerm(7), slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{Level: slog.LevelDebug})))
			commands, starts := newDeferredStart()
			response, err := guard.FilterResponse(c.term, scheduler.HeartbeatReply{Response: &wire.HeartbeatResponse{FencingToken: 3, Commands: commands}, Starts: starts})
			if !errors.Is(err, c.err) || err == nil && (len(response.Commands) != 1 || response.FencingToken != 3) {
				t.Errorf("response %+v, error %v", response, err)
			}
			commands, starts = newDeferredStart()
			request, err := guard.FilterCommandRequest(c.term, scheduler.SendCommands{Request: wire.CommandRequest{FencingToken: 3, AgentEpoch: 2, Commands: commands}, Starts: starts})
			if !errors.Is(err, c.err) || err == nil && (len(request.Commands) != 1 || request.AgentEpoch != 2) {
				t.Errorf("direct command %+v, error %v", request, err)
			}
			if acted := strings.Contains(lines.String(), MessageLeaderAction); acted != (c.err == nil) {
				t.Errorf("logged: %s", &lines)
			}
		})
	}
}

// TestNothingIsSentThatCannotBeEncoded guards the last check of a direct command: what it refuses
// once the connection is open never leaves.
func TestNothingIsSentThatCannotBeEncoded(t *testing.T) {
	workers, _ := startAgents(t, 1)
	pool := newConnectionPool(transport.TCP{}, ConnectionLimits{MaxInFlight: 2, MaxIdle: 3, MaxIdleWhenScarce: 1, SocketsScarce: func() bool { return false }})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go pool.run(ctx)
	request := agentRequest{address: workers[0], method: http.MethodPost, path: "/commands", encode: func() ([]byte, error) { return nil, errWithdrawn }}
	response, err := pool.call(ctx, request, alwaysAllowed)
	if response.sent || !errors.Is(err, errWithdrawn) {
		t.Errorf("sent %v, error %v", response.sent, err)
	}
}
