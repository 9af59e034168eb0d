package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

func (w *Agent) handleCommands(rw http.ResponseWriter, r *http.Request) {
	var request wire.CommandRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(rw, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	if !w.awaitReachable(r.Context()) {
		return
	}
	transport.Pause(w.ctx, time.Millisecond)
	status := http.StatusOK
	var heartbeat wire.Heartbeat
	w.do(func() {
		if w.ctx.Err() != nil || request.FencingToken < w.fencingToken || request.AgentEpoch != w.agentEpoch {
			status = http.StatusConflict
		} else {
			w.raiseFencingToken(request.FencingToken)
			w.executeCommands(request.Commands)
		}
		heartbeat = w.newHeartbeat()
	})
	writeJSON(rw, status, heartbeat)
}

func (w *Agent) handleInspect(rw http.ResponseWriter, r *http.Request) {
	if !w.awaitReachable(r.Context()) {
		return
	}
	var heartbeat wire.Heartbeat
	w.do(func() { heartbeat = w.newHeartbeat() })
	writeJSON(rw, http.StatusOK, heartbeat)
}

// executeCommands executes commands, on the actor.
func (w *Agent) executeCommands(commands []wire.Command) {
	for _, command := range commands {
		switch command.Verb {
		case wire.VerbStart:
			w.startTask(command)
		case wire.VerbStop:
			for _, t := range w.tasks {
				if t.Task == command.Task && t.Attempt == command.Attempt {
					w.stopTask(t, command)
				}
			}
		case wire.VerbForget:
			w.forgetTask(command)
		}
	}
}

// forgetTask removes an attempt that has ended.
func (w *Agent) forgetTask(command wire.Command) {
	w.tasks = slices.DeleteFunc(w.tasks, func(t *agentTask) bool {
		forget := t.Task == command.Task && t.Attempt == command.Attempt && t.Status == wire.TaskEnded
		if forget {
			delete(w.knownAttempts, command.Attempt)
			w.signalChange()
		}
		return forget
	})
}

// raiseFencingTokenIfDue records a fencing token if it is higher than all before. That causes an early
// heartbeat at most once per half a lease.
func (w *Agent) raiseFencingToken(token uint64) {
	if token <= w.fencingToken {
		return
	}
	w.fencingToken = token
	if time.Since(w.tokenReportedAt) >= w.config.Lease/2 {
		w.tokenReportedAt = time.Now()
		w.signalChange()
	}
}
