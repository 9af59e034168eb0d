package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// commandTimeout bounds a request to an agent once it occupies a slot in flight, and dialTimeout
// the opening of the connection within that time. The outcome of a command that takes longer is
// learned from the agent's heartbeats.
const (
	commandTimeout = 2 * time.Second
	dialTimeout    = time.Second
)

// sendCommands sends commands to an agent and posts their outcome to the core.
func (t *term) sendCommands(ctx context.Context, effect scheduler.SendCommands) {
	result := scheduler.CommandResult{CommandID: effect.CommandID}
	result.Outcome, result.Heartbeat = t.postCommands(ctx, effect)
	t.postResult(ctx, result)
}

// postCommands sends commands to an agent in a POST request. The returned heartbeat is the agent's
// response, or nil if there is none or it is malformed.
func (t *term) postCommands(ctx context.Context, effect scheduler.SendCommands) (scheduler.CommandOutcome, *wire.Heartbeat) {
	// After the lease has expired, another leader may act, so no command may be sent.
	maySend := func() bool { return t.guard.MayAct(t.number, "command") }
	if !maySend() {
		return scheduler.CommandNotSent, nil
	}
	request := agentRequest{address: effect.Address, method: http.MethodPost, path: "/commands"}
	request.encode = func() ([]byte, error) { return t.encodeCommands(effect) }
	response, err := t.agentConnections.call(ctx, request, maySend)
	t.countUnanswered(response, err)
	switch {
	case errors.Is(err, errWithdrawn):
		return scheduler.CommandWithdrawn, nil
	case !response.sent:
		return scheduler.CommandNotSent, nil
	case err != nil:
		return scheduler.CommandOutcomeUnknown, nil
	}
	outcome := commandOutcome(response.status)
	if outcome == scheduler.CommandOutcomeUnknown {
		return outcome, nil
	}
	heartbeat, err := wire.ParseHeartbeat(response.body)
	if err != nil {
		return outcome, nil
	}
	return outcome, heartbeat
}

// encodeCommands returns the request body with those commands that may be sent now. The error is
// ErrNotLeader or errWithdrawn if nothing may be sent.
func (t *term) encodeCommands(effect scheduler.SendCommands) ([]byte, error) {
	request, err := t.guard.FilterCommandRequest(t.number, effect)
	if err != nil {
		return nil, err
	}
	return json.Marshal(request)
}

// alwaysAllowed is the maySend function of requests that need no leadership.
func alwaysAllowed() bool { return true }

// countUnanswered counts consecutive commands that no agent has answered. A command that was not
// sent because the term has ended or because it was withdrawn does not count.
func (d *Dispatcher) countUnanswered(response agentResponse, err error) {
	switch {
	case !response.sent && (errors.Is(err, ErrNotLeader) || errors.Is(err, errWithdrawn)):
	case err != nil:
		d.unansweredCommands.Add(1)
	default:
		d.unansweredCommands.Store(0)
	}
}

// commandOutcome returns the outcome of commands from the status code of the agent's response.
func commandOutcome(status int) scheduler.CommandOutcome {
	switch status {
	case http.StatusOK:
		return scheduler.CommandExecuted
	case http.StatusConflict, http.StatusBadRequest:
		return scheduler.CommandRejected
	}
	return scheduler.CommandOutcomeUnknown
}

// inspectAgent requests an agent's status and posts the response to the core. The request only
// reads, so it needs no leadership check.
func (t *term) inspectAgent(ctx context.Context, effect scheduler.InspectAgent) {
	result := scheduler.InspectResult{Machine: effect.Machine}
	request := agentRequest{address: effect.Address, method: http.MethodGet, path: "/inspect"}
	response, err := t.agentConnections.call(ctx, request, alwaysAllowed)
	switch {
	case err != nil:
		t.log.Debug("agent inspection failed", "machine", effect.Machine, "error", err)
	case response.status == http.StatusOK:
		if result.Heartbeat, err = wire.ParseHeartbeat(response.body); err != nil {
			t.log.Info("agent inspection response malformed", "machine", effect.Machine, "error", err)
		}
	}
	t.postResult(ctx, result)
}
