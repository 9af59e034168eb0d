package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestOverdueCancelledTasksAreLogged guards against a task of a cancelled job that keeps running
// without any log line. Such a task was once found only from outside, a minute later, and no log
// showed why. The leader logs it as an error.
func TestOverdueCancelledTasksAreLogged(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(h *harness, task wire.TaskStatus)
		want bool
	}{
		{"the agent ignores each stop", func(h *harness, task wire.TaskStatus) {
			for range 22 {
				h.advance(3 * time.Second)
				h.acknowledge("vm-1", task)
			}
		}, true},
		{"the agent stops the task", func(h *harness, task wire.TaskStatus) {
			task.Status, task.ExitReason = wire.TaskEnded, wire.ExitStopped
			for range 22 {
				h.advance(3 * time.Second)
				h.acknowledge("vm-1", task)
			}
		}, false},
		{"no heartbeats, and the lease expires first", func(h *harness, _ wire.TaskStatus) {
			h.advance(66 * time.Second)
		}, false},
		{"the controller was suspended", func(h *harness, task wire.TaskStatus) {
			h.now += 66 * time.Second
			h.step(Tick{})
			h.acknowledge("vm-1", task)
			h.advance(3 * time.Second)
		}, false},
		{"a new leader finds the task", func(h *harness, task wire.TaskStatus) {
			next := newHarnessWithConfig(h.t, h.now, testConfig(h.core.cfg.Operator, h.core.cfg.Platform.Facts.Teams...), ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 4,
				Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1), TerminalState: wire.JobCancelled, Tasks: 1, EndedMS: 1}, Hosts: savedHosts("vm-1")}}})
			for range 22 {
				next.advance(3 * time.Second)
				next.acknowledge("vm-1", task)
			}
			h.core = next.core
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			h.submit(newTestJob("job-1", 1, 1))
			task := newTaskStatus(h.startCommands()[0], wire.TaskRunning, "")
			h.completeCommands(CommandExecuted)
			h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
			h.completeCommands(CommandOutcomeUnknown)
			test.act(h, task)
			h.want("logged as overdue", h.core.jobs.list[0].end.overdueLogged, test.want)
		})
	}
}

// TestProbeFindingCancelledTaskSendsStop: the probe of a new leader finds a running task of a
// cancelled job. The agent's next heartbeat may be many seconds away, so the stop must be sent at
// once and not only in the response to that heartbeat.
func TestProbeFindingCancelledTaskSendsStop(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 4,
		Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1), TerminalState: wire.JobCancelled, Tasks: 1}, Hosts: savedHosts("vm-1")}}})
	h.now += time.Second
	h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}, List: []wire.ListedMachine{
		{Name: "vm-1", Address: "10.1.0.1:9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true}, Status: wire.MachineRunning, AgeS: 90}}}})
	h.want("probes sent", len(h.sentCommands), 1)
	probe := h.sentCommands[0]
	h.sentCommands = nil
	task := wire.TaskStatus{Task: "job-1/0", Attempt: 6<<termCounterBits | 1, Status: wire.TaskRunning}
	h.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandExecuted, Heartbeat: h.newHeartbeat("vm-1", termToken, task)})
	h.want("a stop is sent at once", len(h.sentCommands) == 1 && h.sentCommands[0].Request.Commands[0].Verb == wire.VerbStop, true)
}
