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

// commandTimeout bounds a command to a worker, dialTimeout opening the connection for it.
// The outcome of what is slower is learned from the worker's heartbeats.
const (
	commandTimeout = 2 * time.Second
	dialTimeout    = time.Second
)

// sendCommands sends commands to a worker and passes their outcome to the core.
func (d *Dispatcher) sendCommands(ctx context.Context, term uint64, effect scheduler.SendCommands) {
	result := scheduler.CommandResult{CommandID: effect.CommandID}
	result.Outcome, result.Heartbeat = d.postCommands(ctx, term, effect)
	d.postEvent(ctx, result)
}

// postCommands sends commands to a worker. The heartbeat is the worker's response, nil if
// there is none that can be read.
func (d *Dispatcher) postCommands(ctx context.Context, term uint64, effect scheduler.SendCommands) (scheduler.CommandOutcome, *wire.Heartbeat) {
	// Past the lease another leader may act: no command leaves here.
	maySend := func() bool { return d.guard.MayAct(term, "command") }
	if !maySend() {
		return scheduler.CommandNotSent, nil
	}
	request := agentRequest{address: effect.Address, method: http.MethodPost, path: "/commands"}
	request.encode = func() ([]byte, error) { return d.encodeCommands(term, effect) }
	response, err := d.agentConnections.call(ctx, request, maySend)
	d.countUnanswered(response, err)
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

// encodeCommands makes the body of a direct command of what may leave at this moment.
func (d *Dispatcher) encodeCommands(term uint64, effect scheduler.SendCommands) ([]byte, error) {
	request, err := d.guard.FilterCommandRequest(term, effect)
	if err != nil {
		return nil, err
	}
	return json.Marshal(request)
}

// alwaysAllowed is for requests that may be sent at any time.
func alwaysAllowed() bool { return true }

// countUnanswered counts the commands in a row that no worker has answered. A command that
// was held back because the term is over, or withdrawn, is none of them.
func (d *Dispatcher) countUnanswered(response agentResponse, err error) {
	switch {
	case !response.sent && (errors.Is(err, ErrNotLeader) || errors.Is(err, errWithdrawn)):
	case err != nil:
		d.unansweredCommands.Add(1)
	default:
		d.unansweredCommands.Store(0)
	}
}

// commandOutcome is what the status of a worker's response says about the commands.
func commandOutcome(status int) scheduler.CommandOutcome {
	switch status {
	case http.StatusOK:
		return scheduler.CommandExecuted
	case http.StatusConflict, http.StatusBadRequest:
		return scheduler.CommandRejected
	}
	return scheduler.CommandOutcomeUnknown
}

// inspectAgent asks a worker for its state and passes the response to the core. Reading
// does no harm, so it takes no leadership check.
func (d *Dispatcher) inspectAgent(ctx context.Context, effect scheduler.InspectAgent) {
	result := scheduler.InspectResult{Machine: effect.Machine}
	request := agentRequest{address: effect.Address, method: http.MethodGet, path: "/inspect"}
	response, err := d.agentConnections.call(ctx, request, alwaysAllowed)
	switch {
	case err != nil:
		d.log.Debug("worker inspection failed", "machine", effect.Machine, "error", err)
	case response.status == http.StatusOK:
		if result.Heartbeat, err = wire.ParseHeartbeat(response.body); err != nil {
			d.log.Info("worker inspection response malformed", "machine", effect.Machine, "error", err)
		}
	}
	d.postEvent(ctx, result)
}
