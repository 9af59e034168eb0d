package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestEveryResponseStopsCancelledTasks guards against a task that still runs a minute after users
// were told that its job is cancelled. Every response renews the agent's lease, but only those to
// the newest heartbeat of a machine that is up and has acknowledged the term's token had the stops.
// The cases are the other responses. In each of them the stop sent in a direct command is lost.
//
// The fault showed when machines hung while their jobs were cancelled and the cloud deleted nothing
// (TestCancelledOnMachineBeingReturned), and when several leaders failed one after the other
// (TestCancelledDuringSeriesOfLeaders). No stop was logged after the cancellation.
func TestEveryResponseStopsCancelledTasks(t *testing.T) {
	start := wire.Command{Task: "job-1/0", Attempt: 6<<termCounterBits | 1}
	cancelled := ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 4,
		Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1), TerminalState: wire.JobCancelled, Tasks: 1}, Hosts: savedHosts("vm-1")}}}
	// runningAndCancelled returns a harness in which the leader has started a task and a user has
	// cancelled its job, and the status of the task, which is still running.
	runningAndCancelled := func(t *testing.T) (*harness, wire.TaskStatus) {
		h := newHarness(t, ledger.Snapshot{})
		h.bringUp("vm-1")
		h.submit(newTestJob("job-1", 1, 1))
		task := newTaskStatus(h.startCommands()[0], wire.TaskRunning, "")
		h.completeCommands(CommandExecuted)
		h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, task))
		h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
		h.completeCommands(CommandOutcomeUnknown)
		return h, task
	}
	for _, test := range []struct {
		name    string
		respond func(t *testing.T) *wire.HeartbeatResponse
	}{
		{"the newest heartbeat", func(t *testing.T) *wire.HeartbeatResponse {
			h, task := runningAndCancelled(t)
			return h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, task))
		}},
		{"a machine that is being deleted", func(t *testing.T) *wire.HeartbeatResponse {
			h, task := runningAndCancelled(t)
			h.advance(14 * time.Second) // four heartbeat intervals without an acknowledgement; the cloud does not respond
			h.want("machines requested to be deleted", h.deletedMachines, []string{"vm-1"})
			return h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, task))
		}},
		{"the first heartbeat to a new leader", func(t *testing.T) *wire.HeartbeatResponse {
			h := newHarness(t, cancelled)
			return h.sendHeartbeat(h.newHeartbeat("vm-1", 6<<termCounterBits, newTaskStatus(start, wire.TaskRunning, "")))
		}},
		{"a heartbeat older than the newest one", func(t *testing.T) *wire.HeartbeatResponse {
			h, task := runningAndCancelled(t)
			old := h.newHeartbeat("vm-1", termToken, task)
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, task))
			return h.sendHeartbeat(old)
		}},
		{"a heartbeat with a lower token than the agent has acknowledged", func(t *testing.T) *wire.HeartbeatResponse {
			h, task := runningAndCancelled(t)
			h.acknowledge("vm-1", task)
			return h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, task))
		}},
		{"a job that has ended and is cleaned up", func(t *testing.T) *wire.HeartbeatResponse {
			h, task := runningAndCancelled(t)
			h.acknowledge("vm-1")
			h.want("job is cleaned up", h.core.jobs.list[0].end.cleanedUp, true)
			return h.acknowledge("vm-1", task)
		}},
		{"an unknown job whose record can't be read", func(t *testing.T) *wire.HeartbeatResponse {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			return h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskRunning, "")))
		}},
		{"a task with an index beyond its job's number of tasks", func(t *testing.T) *wire.HeartbeatResponse {
			h := newHarness(t, cancelled)
			h.bringUp("vm-1")
			return h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, wire.TaskStatus{Task: "job-1/1", Attempt: 6<<termCounterBits | 2, Status: wire.TaskFetching}))
		}},
		{"a task whose name can't be read", func(t *testing.T) *wire.HeartbeatResponse {
			h := newHarness(t, cancelled)
			h.bringUp("vm-1")
			return h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, wire.TaskStatus{Task: "job-1", Attempt: 6<<termCounterBits | 2, Status: wire.TaskRunning}))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := test.respond(t)
			if response == nil {
				return // no response: the lease is not renewed
			}
			if got := commandVerbs(response); got != "stop " {
				t.Errorf("the response that renews the lease has the commands %q, want a stop", got)
			}
		})
	}
}

// TestCancelEndsCheckpointGracePeriod guards against a task of a cancelled job that runs longer
// than cancel_s: it was already being stopped with a grace period for its checkpoint, since its
// machine has a termination notice, and was left to save to the end. How long that takes is set by
// the user (flush_s) and may exceed cancel_s. The fault was that no command was sent at the
// cancellation, and that the next response granted the grace period again. The cancellation must
// send a stop without a grace period at once, and later responses
// (TestEveryResponseStopsCancelledTasks) must not grant one.
func TestCancelEndsCheckpointGracePeriod(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	j := newTestJob("job-1", 1, 1)
	j.CheckpointIntervalS, j.CheckpointDurationS = 10, 100
	h.submit(j)
	start := h.startCommands()[0]
	h.completeCommands(CommandExecuted)
	notice := 300.0
	heartbeat := h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskRunning, ""))
	heartbeat.TerminationNoticeS = &notice
	commands := h.sendHeartbeat(heartbeat).Commands
	h.want("grace period of at least 100 s before the cancellation", len(commands) > 0 && *commands[0].GracePeriodS >= 100, true)
	h.sentCommands = nil
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	if h.want("commands at the cancellation", len(h.sentCommands), 1); len(h.sentCommands) == 1 {
		h.want("grace period in the command", *h.sentCommands[0].Request.Commands[0].GracePeriodS, 0.0)
	}
	h.completeCommands(CommandOutcomeUnknown)
	nextCommands := h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskCheckpointing, ""))).Commands
	h.want("one stop without a grace period in the next response", len(nextCommands) == 1 && *nextCommands[0].GracePeriodS == 0, true)
}
