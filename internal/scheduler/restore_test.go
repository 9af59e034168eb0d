package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

func TestFailover(t *testing.T) {
	saved := func(hosts ...string) ledger.Snapshot {
		return ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 2, 1)},
			Hosts: savedHosts(hosts...), Finished: savedRanges(0, 0)}}}
	}
	old := wire.Command{Task: "job-1/1", Attempt: 6<<termCounterBits | 1}
	gone := saved("vm-1")
	gone.GoneMachines = []string{"vm-1"}
	cases := []struct {
		name   string
		ledger ledger.Snapshot
		act    func(g *harness)
		starts int
	}{
		{"a host that the ledger says is gone needs no waiting", gone, func(g *harness) {}, 1},
		{"what never had hosts is placed at once", saved(), func(g *harness) {}, 1},
		{"an unseen task waits for its host", saved("vm-1"), func(g *harness) {}, 0},
		{"a report without our token clears nothing", saved("vm-1"), func(g *harness) {
			g.sendHeartbeat(g.newHeartbeat("vm-1", 6<<termCounterBits))
		}, 0},
		{"an echo without the task clears it", saved("vm-1"), func(g *harness) { g.bringUp("vm-1") }, 1},
		{"an echo with the task adopts it", saved("vm-1"), func(g *harness) {
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(old, wire.TaskRunning, "")))
		}, 0},
		{"every host must be cleared", saved("vm-1", "vm-2"), func(g *harness) { g.bringUp("vm-1") }, 0},
		{"a deletion clears it", saved("vm-1"), func(g *harness) {
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
		}, 1},
		{"not before the lease must be over", saved("vm-1"), func(g *harness) {
			g.advance(30 * time.Second)
			g.bringUp("vm-8")
		}, 0},
		{"the end of the lease clears it", saved("vm-1"), func(g *harness) {
			g.advance(30500 * time.Millisecond)
			g.bringUp("vm-8")
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, c.ledger)
			g.bringUp("vm-9")
			c.act(g)
			g.want("starts", len(g.startCommands()), c.starts)
			g.want("state", g.jobStatus("job-1") == wire.JobDone, false)
		})
	}
}

func TestANewLeaderLearnsTheDemandFromFinishedJobs(t *testing.T) {
	var s ledger.Snapshot
	for i := range 30 {
		s.Jobs = append(s.Jobs, ledger.SavedJob{ID: fmt.Sprintf("job-%d", i), Record: ledger.JobRecord{
			AcceptedMS: int64(i-30) * 10000, TerminalState: wire.JobDone, Tasks: 1, Done: 1, Class: "c", Cores: 8, RunS: 20}})
	}
	g := newHarness(t, s)
	mean, _ := autoscaler.Demand(0, g.core.demand.byClass)
	if mean < 13 || mean > 16 {
		t.Errorf("mean demand %v cores, want about 16", mean)
	}
}

// TestAcceptedJobsAreNeverLost: whatever becomes of nodes and machines, an accepted
// job is known and is taken up again.
func TestAcceptedJobsAreNeverLost(t *testing.T) {
	rec := ledger.JobRecord{Job: newTestJob("job-1", 2, 1)}
	cases := []struct {
		name  string
		saved ledger.Snapshot
		act   func(g *harness)
	}{
		{"its node died right after the write, before this term", ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: rec}}}, func(g *harness) {}},
		{"accepted during the takeover: only the watch tells of it", ledger.Snapshot{}, func(g *harness) {
			g.step(JobRecordEvent{JobID: "job-1", Record: rec, Version: 3})
		}},
		{"all its machines are gone", ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: rec, Hosts: savedHosts("vm-7", "vm-8")}}}, func(g *harness) {
			g.advance(31 * time.Second)
		}},
		{"its machines were deleted by an earlier leader", ledger.Snapshot{GoneMachines: []string{"vm-7"}, Jobs: []ledger.SavedJob{{ID: "job-1", Record: rec, Hosts: savedHosts("vm-7")}}}, func(g *harness) {}},
		{"told of twice", ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: rec}}}, func(g *harness) {
			g.step(JobRecordEvent{JobID: "job-1", Record: rec, Version: 3})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, c.saved)
			c.act(g)
			g.want("state", g.jobStatus("job-1"), wire.JobQueued)
			g.bringUp("vm-1")
			g.want("starts", len(g.startCommands()), 2)
		})
	}
}

// TestCancelledJobWithUndeletedFinishedRanges: the leader ended between writing a
// job's cancellation and deleting its ranges. The next one counted the finished
// tasks twice and ended on that, as did every one after it.
func TestCancelledJobWithUndeletedFinishedRanges(t *testing.T) {
	rec := ledger.JobRecord{Job: newTestJob("job-1", 3, 1), TerminalState: wire.JobCancelled, Tasks: 3, Done: 2}
	g := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: rec, Hosts: savedHosts("vm-1"), Finished: savedRanges(0, 1)}}})
	g.want("state", g.jobStatus("job-1"), wire.JobCancelled)
	g.bringUp("vm-1")
	g.want("starts", len(g.startCommands()), 0)
	g.want("settled", g.core.jobs.list[0].end.cleanedUp, true)
}
