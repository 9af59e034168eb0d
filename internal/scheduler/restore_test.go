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
	oldStart := wire.Command{Task: "job-1/1", Attempt: 6<<termCounterBits | 1}
	goneHost := saved("vm-1")
	goneHost.GoneMachines = []string{"vm-1"}
	cases := []struct {
		name   string
		ledger ledger.Snapshot
		act    func(h *harness)
		starts int
	}{
		{"a host that the ledger says is gone needs no waiting", goneHost, func(h *harness) {}, 1},
		{"what never had hosts is placed at once", saved(), func(h *harness) {}, 1},
		{"an unseen task waits for its host", saved("vm-1"), func(h *harness) {}, 0},
		{"a report without our token clears nothing", saved("vm-1"), func(h *harness) {
			h.sendHeartbeat(h.newHeartbeat("vm-1", 6<<termCounterBits))
		}, 0},
		{"an echo without the task clears it", saved("vm-1"), func(h *harness) { h.bringUp("vm-1") }, 1},
		{"an echo with the task adopts it", saved("vm-1"), func(h *harness) {
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(oldStart, wire.TaskRunning, "")))
		}, 0},
		{"every host must be cleared", saved("vm-1", "vm-2"), func(h *harness) { h.bringUp("vm-1") }, 0},
		{"a deletion clears it", saved("vm-1"), func(h *harness) {
			h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
		}, 1},
		{"not before the lease must be over", saved("vm-1"), func(h *harness) {
			h.advance(30 * time.Second)
			h.bringUp("vm-8")
		}, 0},
		{"the end of the lease clears it", saved("vm-1"), func(h *harness) {
			h.advance(30500 * time.Millisecond)
			h.bringUp("vm-8")
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.ledger)
			h.bringUp("vm-9")
			c.act(h)
			h.want("starts", len(h.startCommands()), c.starts)
			h.want("state", h.jobStatus("job-1") == wire.JobDone, false)
		})
	}
}

func TestANewLeaderLearnsTheDemandFromFinishedJobs(t *testing.T) {
	var s ledger.Snapshot
	for i := range 30 {
		s.Jobs = append(s.Jobs, ledger.SavedJob{ID: fmt.Sprintf("job-%d", i), Record: ledger.JobRecord{
			AcceptedMS: int64(i-30) * 10000, TerminalState: wire.JobDone, Tasks: 1, Done: 1, Class: "c", Cores: 8, RunS: 20}})
	}
	h := newHarness(t, s)
	mean, _ := autoscaler.Demand(0, h.core.demand.byClass)
	if mean < 13 || mean > 16 {
		t.Errorf("mean demand %v cores, want about 16", mean)
	}
}

// TestAcceptedJobsAreNeverLost: whatever becomes of nodes and machines, an accepted
// job is known and is taken up again.
func TestAcceptedJobsAreNeverLost(t *testing.T) {
	record := ledger.JobRecord{Job: newTestJob("job-1", 2, 1)}
	cases := []struct {
		name  string
		saved ledger.Snapshot
		act   func(h *harness)
	}{
		{"its node died right after the write, before this term", ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: record}}}, func(h *harness) {}},
		{"accepted during the takeover: only the watch tells of it", ledger.Snapshot{}, func(h *harness) {
			h.step(JobRecordEvent{JobID: "job-1", Record: record, Version: 3})
		}},
		{"all its machines are gone", ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: record, Hosts: savedHosts("vm-7", "vm-8")}}}, func(h *harness) {
			h.advance(31 * time.Second)
		}},
		{"its machines were deleted by an earlier leader", ledger.Snapshot{GoneMachines: []string{"vm-7"}, Jobs: []ledger.SavedJob{{ID: "job-1", Record: record, Hosts: savedHosts("vm-7")}}}, func(h *harness) {}},
		{"told of twice", ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: record}}}, func(h *harness) {
			h.step(JobRecordEvent{JobID: "job-1", Record: record, Version: 3})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.saved)
			c.act(h)
			h.want("state", h.jobStatus("job-1"), wire.JobQueued)
			h.bringUp("vm-1")
			h.want("starts", len(h.startCommands()), 2)
		})
	}
}

// TestCancelledJobWithUndeletedFinishedRanges: the leader ended between writing a
// job's cancellation and deleting its ranges. The next one counted the finished
// tasks twice and ended on that, as did every one after it.
func TestCancelledJobWithUndeletedFinishedRanges(t *testing.T) {
	record := ledger.JobRecord{Job: newTestJob("job-1", 3, 1), TerminalState: wire.JobCancelled, Tasks: 3, Done: 2}
	h := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: record, Hosts: savedHosts("vm-1"), Finished: savedRanges(0, 1)}}})
	h.want("state", h.jobStatus("job-1"), wire.JobCancelled)
	h.bringUp("vm-1")
	h.want("starts", len(h.startCommands()), 0)
	h.want("settled", h.core.jobs.list[0].end.cleanedUp, true)
}
