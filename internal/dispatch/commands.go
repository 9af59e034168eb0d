package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// directTimeout bounds a direct command, dialTimeout the connecting for it. What
// is slower is settled through the worker's reports.
const (
	directTimeout = 2 * time.Second
	dialTimeout   = time.Second
)

// direct sends a command to a worker and brings its outcome back.
func (d *Dispatcher) direct(ctx context.Context, term uint64, e scheduler.SendCommands) {
	back := scheduler.CommandResult{CommandID: e.CommandID}
	back.Outcome, back.Heartbeat = d.command(ctx, term, e)
	d.decide(ctx, back)
}

// MessageLeaderAction is what a leader logs as something leaves it that only a leader may do.
const MessageLeaderAction = "leader acts"

// mayAct tells whether this node leads a term as something is about to leave it.
func (d *Dispatcher) mayAct(term uint64, what string) bool {
	if !d.elector.IsLeader(term) {
		d.log.Debug("dropped: the term is over", "term", term, "what", what)
		return false
	}
	if d.log.Enabled(context.Background(), slog.LevelDebug) {
		d.log.Debug(MessageLeaderAction, "term", term, "what", what)
	}
	return true
}

// inspect asks a worker what it is now.
func (d *Dispatcher) inspect(ctx context.Context, e scheduler.InspectWorker) {
	back := scheduler.InspectResult{Machine: e.Machine}
	status, answer, _, err := d.workers.call(ctx, e.Address, http.MethodGet, "/inspect", nil, func() bool { return true })
	switch {
	case err != nil:
		d.log.Debug("worker not inspected", "machine", e.Machine, "error", err)
	case status == http.StatusOK:
		if back.Heartbeat, err = wire.ParseHeartbeat(answer); err != nil {
			d.log.Info("worker's answer can't be read", "machine", e.Machine, "error", err)
		}
	}
	d.decide(ctx, back)
}

func (d *Dispatcher) command(ctx context.Context, term uint64, e scheduler.SendCommands) (scheduler.CommandOutcome, *wire.Heartbeat) {
	payload, err := json.Marshal(e.Request)
	if err != nil {
		d.log.Error("command not encoded", "machine", e.Machine, "error", err)
		return scheduler.CommandNotSent, nil
	}
	// Past the lease another leader may act: no order leaves here.
	may := func() bool { return d.mayAct(term, "command") }
	if !may() {
		return scheduler.CommandNotSent, nil
	}
	status, answer, sent, err := d.workers.call(ctx, e.Address, http.MethodPost, "/commands", payload, may)
	switch {
	case !sent:
		if !errors.Is(err, ErrNotLeader) {
			d.unanswered.Add(1)
		}
		return scheduler.CommandNotSent, nil
	case err != nil:
		d.unanswered.Add(1)
		return scheduler.CommandOutcomeUnknown, nil
	}
	d.unanswered.Store(0)
	var outcome scheduler.CommandOutcome
	switch status {
	case http.StatusOK:
		outcome = scheduler.CommandExecuted
	case http.StatusConflict, http.StatusBadRequest:
		outcome = scheduler.CommandRejected
	default:
		return scheduler.CommandOutcomeUnknown, nil
	}
	report, err := wire.ParseHeartbeat(answer)
	if err != nil {
		return outcome, nil
	}
	return outcome, report
}
