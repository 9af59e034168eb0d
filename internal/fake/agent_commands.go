package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

func (a *Agent) handleCommands(w http.ResponseWriter, r *http.Request) {
	var request wire.CommandRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	if !a.awaitReachable(r.Context()) {
		return
	}
	transport.Pause(a.ctx, time.Millisecond)
	status := http.StatusOK
	var heartbeat wire.Heartbeat
	a.do(func() {
		if a.ctx.Err() != nil || request.FencingToken < a.fencingToken || request.AgentEpoch != a.agentEpoch {
			status = http.StatusConflict
		} else {
			a.raiseFencingToken(request.FencingToken)
			a.executeCommands(request.Commands)
		}
		heartbeat = a.newHeartbeat()
	})
	writeJSON(w, status, heartbeat)
}

func (a *Agent) handleInspect(w http.ResponseWriter, r *http.Request) {
	if !a.awaitReachable(r.Context()) {
		return
	}
	var heartbeat wire.Heartbeat
	a.do(func() { heartbeat = a.newHeartbeat() })
	writeJSON(w, http.StatusOK, heartbeat)
}

// executeCommands executes commands in order. It runs on the actor.
func (a *Agent) executeCommands(commands []wire.Command) {
	for _, command := range commands {
		switch command.Verb {
		case wire.VerbStart:
			a.startTask(command)
		case wire.VerbStop:
			for _, t := range a.tasks {
				if t.Task == command.Task && t.Attempt == command.Attempt {
					a.stopTask(t, command)
				}
			}
		case wire.VerbForget:
			a.forgetTask(command)
		}
	}
}

// forgetTask removes an attempt if it has ended, so that heartbeats no longer list it.
func (a *Agent) forgetTask(command wire.Command) {
	a.tasks = slices.DeleteFunc(a.tasks, func(t *agentTask) bool {
		forget := t.Task == command.Task && t.Attempt == command.Attempt && t.Status == wire.TaskEnded
		if forget {
			delete(a.knownAttempts, command.Attempt)
			a.signalChange()
		}
		return forget
	})
}

// raiseFencingToken records a fencing token if it is higher than all previous ones. A higher token
// causes an early heartbeat, at most once per half a lease.
func (a *Agent) raiseFencingToken(token uint64) {
	if token <= a.fencingToken {
		return
	}
	a.fencingToken = token
	if time.Since(a.tokenReportedAt) >= a.config.Lease/2 {
		a.tokenReportedAt = time.Now()
		a.signalChange()
	}
}
