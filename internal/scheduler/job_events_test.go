package scheduler

import (
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

func TestCancelIsReportedOnlyWhenDurableAndLateStartsAreStopped(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	o := g.startCommands()[0]
	g.completeCommands(CommandOutcomeUnknown)
	g.holdWrites, g.recentEffects = true, nil
	g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	g.want("answers before it is durable", len(g.recentEffects), 0)
	g.want("state before it is durable", g.jobStatus("job-1") == wire.JobCancelled, false)
	g.recentEffects = nil
	g.releaseWrites()
	g.want("the answer", g.recentEffects[0].(UserReply).Status.Status, wire.JobCancelled)
	// The start command arrives late, after the cancellation.
	g.want("orders", commandVerbs(g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskRunning, "")))), "stop ")
	g.sendHeartbeat(g.newHeartbeat("vm-1", termToken+1, newTaskStatus(o, wire.TaskEnded, wire.ExitStopped)))
	g.want("state", g.jobStatus("job-1"), wire.JobCancelled)
	g.want("bookings left", g.core.jobs.list[0].progress.allocated, 0)
}

// TestCancelStopsTasksAtOnce: the write of a cancellation may be carried out and its answer
// lost. Other controllers then tell the user, while the leader, in an outage that begins at that
// moment, keeps responding to agents and learns of it only minutes later. So the tasks are
// stopped when the cancellation is requested.
func TestCancelStopsTasksAtOnce(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 2, 1))
	orders := g.startCommands()
	g.completeCommands(CommandExecuted)
	g.holdWrites, g.recentEffects = true, nil
	g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	stops := ""
	for _, d := range g.sentCommands {
		for _, o := range d.Request.Commands {
			stops += o.Verb + " "
		}
	}
	g.want("commands before it is durable", stops, "stop stop ")
	for _, e := range g.recentEffects {
		if a, ok := e.(UserReply); ok {
			t.Errorf("told %+v before it is durable", a)
		}
	}
	// A task that is found only now is not taken up either.
	g.bringUp("vm-2")
	o := orders[0]
	o.Attempt++
	g.want("orders to another machine", commandVerbs(g.sendHeartbeat(g.newHeartbeat("vm-2", termToken, newTaskStatus(o, wire.TaskRunning, "")))), "stop ")
}

// TestStopThatOvertakesItsStartIsRepeated: a cancellation comes while the start is on its way in
// another command, and the stop is executed first, which the agent ignores. The task began after
// the cancellation was confirmed, and ran until the next heartbeat.
func TestStopThatOvertakesItsStartIsRepeated(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	start, o := g.sentCommands[0], g.startCommands()[0]
	g.sentCommands = nil
	g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	stop := g.sentCommands[0]
	g.sentCommands = nil
	g.step(CommandResult{CommandID: stop.CommandID, Outcome: CommandExecuted, Heartbeat: g.newHeartbeat("vm-1", termToken)})
	g.want("the stop again, as the start may have come since", len(g.sentCommands), 1)
	again := g.sentCommands[0]
	g.sentCommands = nil
	g.step(CommandResult{CommandID: again.CommandID, Outcome: CommandExecuted, Heartbeat: g.newHeartbeat("vm-1", termToken)})
	g.want("commands while the start is on its way for longer", len(g.sentCommands), 0)
	g.step(CommandResult{CommandID: start.CommandID, Outcome: CommandExecuted, Heartbeat: g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskFetching, ""))})
	g.want("the stop once the start was carried out", len(g.sentCommands) == 1 && g.sentCommands[0].Request.Commands[0].Verb == wire.VerbStop, true)
	g.step(CommandResult{CommandID: g.sentCommands[0].CommandID, Outcome: CommandExecuted, Heartbeat: g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskEnded, wire.ExitStopped))})
	g.want("bookings left", g.core.jobs.list[0].progress.allocated, 0)
}

func TestCancelOfDoneJobReportsDone(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	o := g.startCommands()[0]
	g.completeCommands(CommandExecuted)
	g.holdWrites = true
	g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskEnded, wire.ExitDone)))
	g.want("told before it is durable", g.jobStatus("job-1") == wire.JobDone, false)
	// The key-value store may have the write while its answer is on its way, and another
	// controller may have told a user: "queued" would contradict that.
	g.want("sent to the record while it is being written", g.recentEffects[0].(UserReply).TerminalStatePending, true)
	g.recentEffects = nil
	g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	g.releaseWrites()
	g.want("the answer", g.recentEffects[0].(UserReply).Status.Status, wire.JobDone)
	g.want("told once it is durable", g.jobStatus("job-1"), wire.JobDone)
	g.want("without a look at the record", g.recentEffects[0].(UserReply).TerminalStatePending, false)
}
