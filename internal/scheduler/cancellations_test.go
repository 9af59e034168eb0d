package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestOverdueCancelledTasksAreLogged: a task of a cancelled job kept running without any log
// line: it was found from outside, a minute later, and no log showed why. The leader logs it as
// an error.
func TestOverdueCancelledTasksAreLogged(t *testing.T) {
	for _, q := range []struct {
		name string
		act  func(g *harness, task wire.TaskStatus)
		want bool
	}{
		{"a worker that goes on after each stop", func(g *harness, task wire.TaskStatus) {
			for range 22 {
				g.advance(3 * time.Second)
				g.acknowledge("vm-1", task)
			}
		}, true},
		{"a worker that stops it", func(g *harness, task wire.TaskStatus) {
			task.Status, task.ExitReason = wire.TaskEnded, wire.ExitStopped
			for range 22 {
				g.advance(3 * time.Second)
				g.acknowledge("vm-1", task)
			}
		}, false},
		{"a worker that is not heard: its lease is over before", func(g *harness, _ wire.TaskStatus) {
			g.advance(66 * time.Second)
		}, false},
		{"a controller that stood still", func(g *harness, task wire.TaskStatus) {
			g.now += 66 * time.Second
			g.step(Tick{})
			g.acknowledge("vm-1", task)
			g.advance(3 * time.Second)
		}, false},
		{"a new leader that finds it", func(g *harness, task wire.TaskStatus) {
			next := newHarnessWithConfig(g.t, g.now, testConfig(g.core.cfg.Operator, g.core.cfg.Platform.Facts.Teams...), ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 4,
				Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1), TerminalState: wire.JobCancelled, Tasks: 1, EndedMS: 1}, Hosts: savedHosts("vm-1")}}})
			for range 22 {
				next.advance(3 * time.Second)
				next.acknowledge("vm-1", task)
			}
			g.core = next.core
		}, true},
	} {
		t.Run(q.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.submit(newTestJob("job-1", 1, 1))
			task := newTaskStatus(g.startCommands()[0], wire.TaskRunning, "")
			g.completeCommands(CommandExecuted)
			g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
			g.completeCommands(CommandOutcomeUnknown)
			q.act(g, task)
			g.want("noted", g.core.jobs.list[0].end.overdueLogged, q.want)
		})
	}
}

// TestProbeFindingCancelledTaskSendsStop: the result of a new leader's probe arrives before the
// agent's next heartbeat, which may be many seconds later. The stop is sent at once, not with
// its response.
func TestProbeFindingCancelledTaskSendsStop(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 4,
		Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1), TerminalState: wire.JobCancelled, Tasks: 1}, Hosts: savedHosts("vm-1")}}})
	g.now += time.Second
	g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}, List: []wire.ListedMachine{
		{Name: "vm-1", Address: "10.1.0.1:9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true}, Status: wire.MachineRunning, AgeS: 90}}}})
	g.want("probes", len(g.sentCommands), 1)
	probe := g.sentCommands[0]
	g.sentCommands = nil
	task := wire.TaskStatus{Task: "job-1/0", Attempt: 6<<termCounterBits | 1, Status: wire.TaskRunning}
	g.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandExecuted, Heartbeat: g.newHeartbeat("vm-1", termToken, task)})
	g.want("a stop", len(g.sentCommands) == 1 && g.sentCommands[0].Request.Commands[0].Verb == wire.VerbStop, true)
}
