package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestEveryResponseStopsCancelledTasks: users were told that a job is cancelled, and a minute
// later a task of it was still running. An answer renews a worker's lease whatever its
// orders are, and only some answers had the stops: those to the newest report of a machine
// that is up and has echoed the term's token. What follows are the others. In each the stop
// that went straight to the machine is lost.
//
// Evidence: whole nodes and simulated days in which machines hang while their jobs are
// cancelled and the cloud deletes nothing (TestCancelledOnMachineBeingReturned), or leaders
// end in series (TestCancelledDuringSeriesOfLeaders); their logs have no stop after the
// cancellation. The rest was found by going through all that answers a report.
func TestEveryResponseStopsCancelledTasks(t *testing.T) {
	start := wire.Command{Task: "job-1/0", Attempt: 6<<termCounterBits | 1}
	cancelled := ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 4,
		Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1), TerminalState: wire.JobCancelled, Tasks: 1}, Hosts: savedHosts("vm-1")}}}
	// running has a leader of our term start a task, and a user cancel its job.
	running := func(t *testing.T) (*harness, wire.TaskStatus) {
		g := newHarness(t, ledger.Snapshot{})
		g.bringUp("vm-1")
		g.submit(newTestJob("job-1", 1, 1))
		task := newTaskStatus(g.startCommands()[0], wire.TaskRunning, "")
		g.completeCommands(CommandExecuted)
		g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, task))
		g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
		g.completeCommands(CommandOutcomeUnknown)
		return g, task
	}
	for _, q := range []struct {
		name   string
		answer func(t *testing.T) *wire.HeartbeatResponse
	}{
		{"the newest report", func(t *testing.T) *wire.HeartbeatResponse {
			g, task := running(t)
			return g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, task))
		}},
		{"a machine that is being returned", func(t *testing.T) *wire.HeartbeatResponse {
			g, task := running(t)
			g.advance(14 * time.Second) // four rounds without an echo; the cloud does not answer
			g.want("asked to delete", g.deletedMachines, []string{"vm-1"})
			return g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, task))
		}},
		{"the first report to a new leader", func(t *testing.T) *wire.HeartbeatResponse {
			g := newHarness(t, cancelled)
			return g.sendHeartbeat(g.newHeartbeat("vm-1", 6<<termCounterBits, newTaskStatus(start, wire.TaskRunning, "")))
		}},
		{"a report that looks older than one that was seen", func(t *testing.T) *wire.HeartbeatResponse {
			g, task := running(t)
			old := g.newHeartbeat("vm-1", termToken, task)
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, task))
			return g.sendHeartbeat(old)
		}},
		{"a report of a lower token than its machine has shown", func(t *testing.T) *wire.HeartbeatResponse {
			g, task := running(t)
			g.acknowledge("vm-1", task)
			return g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, task))
		}},
		{"a job that is over and forgotten here", func(t *testing.T) *wire.HeartbeatResponse {
			g, task := running(t)
			g.acknowledge("vm-1")
			g.want("settled", g.core.jobs.list[0].end.cleanedUp, true)
			return g.acknowledge("vm-1", task)
		}},
		{"a job that nobody knows, as its record can't be read", func(t *testing.T) *wire.HeartbeatResponse {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			return g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskRunning, "")))
		}},
		{"a task beyond its job's total", func(t *testing.T) *wire.HeartbeatResponse {
			g := newHarness(t, cancelled)
			g.bringUp("vm-1")
			return g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, wire.TaskStatus{Task: "job-1/1", Attempt: 6<<termCounterBits | 2, Status: wire.TaskFetching}))
		}},
		{"a task whose name can't be read", func(t *testing.T) *wire.HeartbeatResponse {
			g := newHarness(t, cancelled)
			g.bringUp("vm-1")
			return g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, wire.TaskStatus{Task: "job-1", Attempt: 6<<termCounterBits | 2, Status: wire.TaskRunning}))
		}},
	} {
		t.Run(q.name, func(t *testing.T) {
			a := q.answer(t)
			if a == nil {
				return // not answered: the lease is not renewed
			}
			if got := commandVerbs(a); got != "stop " {
				t.Errorf("renewed with the orders %q, want a stop", got)
			}
		})
	}
}

// TestCancelEndsCheckpointGracePeriod: a task is told to stop and may save its progress, since its machine
// will be taken back; then its job is cancelled, and the task was let save to the end. How
// long that takes is the user's word (flush_s), and may be more than cancel_s.
//
// Evidence: without the repair below no command left at the cancellation, and before answers
// were mended (TestEveryResponseStopsCancelledTasks) the next one gave the time to save again.
func TestCancelEndsCheckpointGracePeriod(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	j := newTestJob("job-1", 1, 1)
	j.CheckpointIntervalS, j.CheckpointDurationS = 10, 100
	g.submit(j)
	o := g.startCommands()[0]
	g.completeCommands(CommandExecuted)
	notice := 300.0
	r := g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskRunning, ""))
	r.TerminationNoticeS = &notice
	saving := g.sendHeartbeat(r).Commands
	g.want("time to save before the cancellation", len(saving) > 0 && *saving[0].GracePeriodS >= 100, true)
	g.sentCommands = nil
	g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	if g.want("commands at the cancellation", len(g.sentCommands), 1); len(g.sentCommands) == 1 {
		g.want("time to save in the command", *g.sentCommands[0].Request.Commands[0].GracePeriodS, 0.0)
	}
	g.completeCommands(CommandOutcomeUnknown)
	orders := g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskCheckpointing, ""))).Commands
	g.want("time to save in the next answer", len(orders) == 1 && *orders[0].GracePeriodS == 0, true)
}
