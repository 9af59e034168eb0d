package scheduler

import (
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestCancelIsReportedOnlyWhenDurableAndLateStartsAreStopped: a user must not be told of a
// cancellation before it is durable, since a new leader that does not see it would run the job. A
// start that reaches the agent after the cancellation is stopped by the response to the next
// heartbeat.
func TestCancelIsReportedOnlyWhenDurableAndLateStartsAreStopped(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 1, 1))
	command := h.startCommands()[0]
	h.completeCommands(CommandOutcomeUnknown)
	h.holdWrites, h.recentEffects = true, nil
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	h.want("replies before the cancellation is durable", len(h.recentEffects), 0)
	h.want("reported as cancelled before it is durable", h.jobStatus("job-1") == wire.JobCancelled, false)
	h.recentEffects = nil
	h.releaseWrites()
	h.want("state in the reply", h.recentEffects[0].(UserReply).Status.Status, wire.JobCancelled)
	// The agent executes the start only after the cancellation.
	h.want("commands in the response", commandVerbs(h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(command, wire.TaskRunning, "")))), "stop ")
	h.sendHeartbeat(h.newHeartbeat("vm-1", termToken+1, newTaskStatus(command, wire.TaskEnded, wire.ExitStopped)))
	h.want("state", h.jobStatus("job-1"), wire.JobCancelled)
	h.want("allocations left", h.core.jobs.list[0].progress.allocated, 0)
}

// TestCancelStopsTasksAtOnce: the write of a cancellation may be applied and its response lost.
// Other controllers then tell the user, while the leader, in an outage that begins at that moment,
// keeps responding to agents and learns of the write only minutes later. The tasks must therefore
// be stopped when the cancellation is requested.
func TestCancelStopsTasksAtOnce(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 2, 1))
	starts := h.startCommands()
	h.completeCommands(CommandExecuted)
	h.holdWrites, h.recentEffects = true, nil
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	stops := ""
	for _, sent := range h.sentCommands {
		for _, command := range sent.Request.Commands {
			stops += command.Verb + " "
		}
	}
	h.want("commands before the cancellation is durable", stops, "stop stop ")
	for _, effect := range h.recentEffects {
		if reply, ok := effect.(UserReply); ok {
			t.Errorf("reply %+v before the cancellation is durable, want none", reply)
		}
	}
	// A running task that is discovered only now is not adopted either.
	h.bringUp("vm-2")
	command := starts[0]
	command.Attempt++
	h.want("commands to another machine", commandVerbs(h.sendHeartbeat(h.newHeartbeat("vm-2", termToken, newTaskStatus(command, wire.TaskRunning, "")))), "stop ")
}

// TestStopThatOvertakesItsStartIsRepeated: a job is cancelled while a start is in flight in another
// command, and the agent executes the stop first. It ignores the stop of an unknown attempt, so the
// task started after the cancellation was confirmed and ran until the next heartbeat. The stop must
// be repeated.
func TestStopThatOvertakesItsStartIsRepeated(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 1, 1))
	start, command := h.sentCommands[0], h.startCommands()[0]
	h.sentCommands = nil
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	stop := h.sentCommands[0]
	h.sentCommands = nil
	h.step(CommandResult{CommandID: stop.CommandID, Outcome: CommandExecuted, Heartbeat: h.newHeartbeat("vm-1", termToken)})
	h.want("the stop is repeated, since the start may have arrived since", len(h.sentCommands), 1)
	repeatedStop := h.sentCommands[0]
	h.sentCommands = nil
	h.step(CommandResult{CommandID: repeatedStop.CommandID, Outcome: CommandExecuted, Heartbeat: h.newHeartbeat("vm-1", termToken)})
	h.want("commands while the start is still in flight", len(h.sentCommands), 0)
	h.step(CommandResult{CommandID: start.CommandID, Outcome: CommandExecuted, Heartbeat: h.newHeartbeat("vm-1", termToken, newTaskStatus(command, wire.TaskFetching, ""))})
	h.want("the stop is sent once the start has been executed", len(h.sentCommands) == 1 && h.sentCommands[0].Request.Commands[0].Verb == wire.VerbStop, true)
	h.step(CommandResult{CommandID: h.sentCommands[0].CommandID, Outcome: CommandExecuted, Heartbeat: h.newHeartbeat("vm-1", termToken, newTaskStatus(command, wire.TaskEnded, wire.ExitStopped))})
	h.want("allocations left", h.core.jobs.list[0].progress.allocated, 0)
}

// TestCancelOfDoneJobReportsDone: a cancellation that arrives while a job's completion is being
// written must not replace the state done.
func TestCancelOfDoneJobReportsDone(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 1, 1))
	command := h.startCommands()[0]
	h.completeCommands(CommandExecuted)
	h.holdWrites = true
	h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(command, wire.TaskEnded, wire.ExitDone)))
	h.want("reported as done before it is durable", h.jobStatus("job-1") == wire.JobDone, false)
	// The key-value store may have applied the write while its response is in flight, and another
	// controller may have told a user: answering "queued" would contradict that.
	h.want("terminal state pending while its record is being written", h.recentEffects[0].(UserReply).TerminalStatePending, true)
	h.recentEffects = nil
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	h.releaseWrites()
	h.want("state in the reply", h.recentEffects[0].(UserReply).Status.Status, wire.JobDone)
	h.want("state once it is durable", h.jobStatus("job-1"), wire.JobDone)
	h.want("terminal state pending once it is durable", h.recentEffects[0].(UserReply).TerminalStatePending, false)
}
