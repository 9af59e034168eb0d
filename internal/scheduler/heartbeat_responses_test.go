package scheduler

import (
	"strings"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestResponsesWaitForStarts: the starts that a heartbeat frees resources for are sent with its
// response, once their host is in the ledger. When each response was followed by a direct command,
// these were half of what a leader sent in a burst. A held response is always sent in the end, and
// no start is sent in two messages, or with a response that the agent no longer waits for.
func TestResponsesWaitForStarts(t *testing.T) {
	cases := []struct {
		name  string
		event func(h *harness, sendHeartbeat func())
		want  string // responses with their commands, and direct commands
	}{
		{"host durable before maxResponseHold", func(h *harness, _ func()) { h.releaseWrites() }, "response with start start start start forget forget forget forget "},
		{"host durable after maxResponseHold", func(h *harness, _ func()) {
			h.now += maxResponseHold
			h.step(Tick{})
			h.releaseWrites()
		}, "response without commands, command with start start start start "},
		{"agent sends a newer heartbeat", func(h *harness, sendHeartbeat func()) {
			sendHeartbeat()
			h.releaseWrites()
		}, "response without commands, response with start start start start forget forget forget forget "},
		{"agent sends a newer heartbeat, and host durable after maxResponseHold", func(h *harness, sendHeartbeat func()) {
			sendHeartbeat()
			h.now += maxResponseHold
			h.step(Tick{})
			h.releaseWrites()
		}, "response without commands, response without commands, command with start start start start "},
		{"a new agent epoch begins", func(h *harness, _ func()) {
			heartbeat := h.newHeartbeat("vm-1", termToken)
			heartbeat.AgentEpoch = 2
			h.step(HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: testRecipient("w")})
			h.releaseWrites()
		}, "response without commands, response without commands"},
		{"the machine is gone", func(h *harness, _ func()) {
			h.core.removeMachine(h.core.findOrAddMachine("vm-1"), "deleted")
			h.releaseWrites()
		}, "no response"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			h.submit(newTestJob("job-1", 4, 1))
			first := h.startCommands()
			h.completeCommands(CommandExecuted)
			var ended []wire.TaskStatus
			for _, start := range first {
				ended = append(ended, newTaskStatus(start, wire.TaskEnded, wire.ExitDone))
			}
			h.submit(newTestJob("job-2", 4, 1))
			h.want("starts on a full machine", len(h.startCommands()), 0)

			h.holdWrites, h.recentEffects = true, nil
			sendHeartbeat := func() {
				h.step(HeartbeatEvent{Heartbeat: h.newHeartbeat("vm-1", termToken, ended...), ReplyTo: testRecipient("w")})
			}
			sendHeartbeat()
			h.want("responses at once", len(h.recentEffects), 0)
			test.event(h, sendHeartbeat)
			got := ""
			add := func(s string) {
				if got != "" {
					got += ", "
				}
				got += s
			}
			for _, effect := range h.recentEffects {
				switch reply := effect.(HeartbeatReply); {
				case reply.Response == nil:
					add("no response")
				case len(reply.Response.Commands) == 0:
					add("response without commands")
				default:
					add("response with " + commandVerbs(reply.Response))
				}
			}
			for _, sent := range h.sentCommands {
				add("command with " + commandVerbs(&wire.HeartbeatResponse{Commands: sent.Request.Commands}))
			}
			h.want("sent", got, test.want)
			started := map[string]bool{}
			for _, start := range h.startCommands() {
				if started[start.Task] {
					t.Errorf("%s was started twice", start.Task)
				}
				started[start.Task] = true
			}
		})
	}
}

// TestStartInAResponse guards against a task that runs twice: a start sent in a response is only
// known to be lost once the agent's next heartbeat does not list its attempt.
func TestStartInAResponse(t *testing.T) {
	cases := []struct {
		name          string
		event         func(h *harness, start wire.Command)
		furtherStarts int
	}{
		{"kept after the result of a direct command: the response may still be in flight", func(h *harness, start wire.Command) {
			h.step(CancelRequest{JobID: "job-9", ReplyTo: testRecipient("u")})
			h.step(CommandResult{CommandID: h.sentCommands[0].CommandID, Outcome: CommandExecuted, Heartbeat: h.newHeartbeat("vm-1", termToken)})
		}, 0},
		{"kept after a late copy of the heartbeat", func(h *harness, start wire.Command) {
			heartbeat := h.newHeartbeat("vm-1", termToken)
			heartbeat.Sequence = 1
			h.sendHeartbeat(heartbeat)
		}, 0},
		{"released after the next heartbeat without it", func(h *harness, start wire.Command) {
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken))
			h.want("starts before the agent acknowledges the raised token", len(h.startCommands()), 0)
			h.acknowledge("vm-1")
		}, 1},
		{"confirmed by the next heartbeat with it", func(h *harness, start wire.Command) {
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskFetching, "")))
		}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			h.submit(newTestJob("job-9", 1, 3))
			runningStart := h.startCommands()[0]
			h.completeCommands(CommandExecuted)
			h.submit(newTestJob("job-1", 8, 2)) // does not fit beside the task of job-9
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(runningStart, wire.TaskRunning, "")))
			h.want("starts without free resources", len(h.startCommands()), 0)
			// The first job's host is in the ledger, so its next start can be sent at once.
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(runningStart, wire.TaskEnded, wire.ExitStopped)))
			h.want("commands in the response", len(h.responseCommands), 2) // a forget and the start
			start := h.startCommands()[0]
			h.responseCommands = nil
			test.event(h, start)
			h.want("further starts", len(h.startCommands()), test.furtherStarts)
		})
	}
}

// TestForget guards against lost ends and repeated runs: an agent must not forget an ended task
// before a successful end is in the ledger, nor while a copy of the start may still arrive.
func TestForget(t *testing.T) {
	cases := []struct {
		name       string
		outcome    CommandOutcome
		token      uint64
		exitReason string
		durable    bool
		want       int
	}{
		{"ends in the ledger", CommandExecuted, termToken, wire.ExitDone, true, minForgetBatch},
		{"ends not in the ledger yet", CommandExecuted, termToken, wire.ExitDone, false, 0},
		{"starts that may still be executed again", CommandOutcomeUnknown, termToken, wire.ExitDone, true, 0},
		{"starts ruled out by the acknowledgement of the raised token", CommandOutcomeUnknown, termToken + 1, wire.ExitDone, true, minForgetBatch},
		{"failures", CommandExecuted, termToken, wire.ExitError, true, minForgetBatch},
		{"failures whose starts may still be executed again", CommandOutcomeUnknown, termToken, wire.ExitError, true, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			h.submit(newTestJob("job-1", minForgetBatch+1, 0.25))
			var ended []wire.TaskStatus
			for _, start := range h.startCommands()[:minForgetBatch] {
				ended = append(ended, newTaskStatus(start, wire.TaskEnded, test.exitReason))
			}
			h.completeCommands(test.outcome)
			h.holdWrites = !test.durable
			h.sendHeartbeat(h.newHeartbeat("vm-1", test.token, ended...))
			got := commandVerbs(h.sendHeartbeat(h.newHeartbeat("vm-1", test.token, ended...)))
			h.want("forgets in the response", strings.Count(got, "forget"), test.want)
		})
	}
}

// TestForgetTravelsWithOtherCommands: the forget of a single successful task is not sent alone,
// since it would cause an extra heartbeat, but together with a start.
func TestForgetTravelsWithOtherCommands(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 2, 1))
	starts := h.startCommands()
	h.completeCommands(CommandExecuted)
	done, running := newTaskStatus(starts[0], wire.TaskEnded, wire.ExitDone), newTaskStatus(starts[1], wire.TaskRunning, "")
	h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, done, running))
	h.want("commands without a start", commandVerbs(h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, done, running))), "")
	h.holdWrites = true // the start waits for the write, and is sent with the next response
	h.submit(newTestJob("job-2", 1, 1))
	m := h.core.findOrAddMachine("vm-1")
	h.core.sendPlannedStarts(h.core.jobs.list[1], m)
	h.want("commands with a start", commandVerbs(h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, done, running))), "start forget ")
}

// TestForgetRulesOutCopiesOfTheStart guards against a task that a repeated command starts on a second
// machine: an agent executes the copy of a start whose attempt it has forgotten, unless it has seen a
// higher token since. So a forget travels only with a token above those of all direct commands that
// started tasks on the machine, also of those whose starts the agent refused.
func TestForgetRulesOutCopiesOfTheStart(t *testing.T) {
	for _, exitReason := range []string{wire.ExitStopped, wire.ExitError, wire.ExitNoCapacity, wire.ExitInUse, wire.ExitNoSuchTask, wire.ExitDone} {
		t.Run(exitReason, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			h.submit(newTestJob("job-1", minForgetBatch, 0.25))
			startToken := h.sentCommands[0].Request.FencingToken
			var ended []wire.TaskStatus
			for _, start := range h.startCommands() {
				ended = append(ended, newTaskStatus(start, wire.TaskEnded, exitReason))
			}
			h.completeCommands(CommandExecuted)
			response := h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, ended...))
			h.completeCommands(CommandExecuted) // further starts, of the tasks that were not done
			for range 3 {
				if strings.Contains(commandVerbs(response), "forget") && response.FencingToken <= startToken {
					t.Errorf("forget with token %d, want a higher one than %d of the start", response.FencingToken, startToken)
				}
				response = h.acknowledge("vm-1", ended...)
			}
			h.want("forgets in the end", strings.Count(commandVerbs(response), "forget"), minForgetBatch)
		})
	}
}

// TestFewForgetsWaitForTheNextToken: ended attempts that are too few for a batch, on a machine that
// gets no other commands, are forgotten once the token is raised anyway.
func TestFewForgetsWaitForTheNextToken(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 1, 4))
	start := h.startCommands()[0]
	h.completeCommands(CommandExecuted)
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")}) // so that the task is not started again
	h.completeCommands(CommandExecuted)
	for ; h.now < 9*time.Second; h.advance(time.Second) {
		response := h.acknowledge("vm-1", newTaskStatus(start, wire.TaskEnded, wire.ExitStopped))
		if !strings.Contains(commandVerbs(response), "forget") {
			continue
		}
		if response.FencingToken <= termToken {
			t.Errorf("forget with token %d, want a higher one than %d of the start", response.FencingToken, uint64(termToken))
		}
		return
	}
	t.Error("no forget within 9 s, want one with the token that is raised after a quarter of a lease, 7.5 s")
}

// TestForgetWaitsForCommandsInFlight: a raised token would have the agent reject the commands that
// are on their way to it, so a forget that needs one waits for their results. It does not wait for
// good: with many ended attempts, heartbeats would exceed the protocol's bound on a body.
func TestForgetWaitsForCommandsInFlight(t *testing.T) {
	for _, test := range []struct {
		name           string
		ended, forgets int
		inFlight       bool
	}{
		{"no command in flight", minForgetBatch, minForgetBatch, false},
		{"command in flight", minForgetBatch, 0, true},
		{"command in flight, one attempt below the bound", maxUnforgotten - 1, 0, true},
		{"command in flight, many ended attempts", maxUnforgotten, maxUnforgotten, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			job := newTestJob("job-1", test.ended, 0.001)
			job.MemGB = 0.001
			h.submit(job)
			var ended []wire.TaskStatus
			for _, start := range h.startCommands() {
				ended = append(ended, newTaskStatus(start, wire.TaskEnded, wire.ExitDone))
			}
			h.want("starts", len(ended), test.ended)
			h.completeCommands(CommandExecuted)
			if test.inFlight {
				h.submit(newTestJob("job-2", 1, 0.001))
				h.want("commands in flight", len(h.sentCommands), 1)
			}
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, ended...))
			got := commandVerbs(h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, ended...)))
			h.want("forgets", strings.Count(got, "forget"), test.forgets)
			h.completeCommands(CommandExecuted)
			got = commandVerbs(h.acknowledge("vm-1", ended...))
			h.want("forgets once no command is in flight", strings.Count(got, "forget"), test.ended)
		})
	}
}
