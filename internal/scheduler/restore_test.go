package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// TestFailover checks when a new leader starts a task that an earlier leader may have started: only
// when each host of the job has listed its tasks, is gone, or must have ended them by its lease. A
// start any earlier could run the task twice.
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
		{"the ledger records that the host is gone", goneHost, func(h *harness) {}, 1},
		{"the job never had a host", saved(), func(h *harness) {}, 1},
		{"the host has sent no heartbeat", saved("vm-1"), func(h *harness) {}, 0},
		{"a heartbeat with a token of an earlier term resolves nothing", saved("vm-1"), func(h *harness) {
			h.sendHeartbeat(h.newHeartbeat("vm-1", 6<<termCounterBits))
		}, 0},
		{"a heartbeat with the current token and without the task resolves it", saved("vm-1"), func(h *harness) { h.bringUp("vm-1") }, 1},
		{"a heartbeat with the current token and with the task", saved("vm-1"), func(h *harness) {
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(oldStart, wire.TaskRunning, "")))
		}, 0},
		{"one of two hosts is resolved", saved("vm-1", "vm-2"), func(h *harness) { h.bringUp("vm-1") }, 0},
		{"the host is deleted", saved("vm-1"), func(h *harness) {
			h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
		}, 1},
		{"the host's lease may not have expired", saved("vm-1"), func(h *harness) {
			h.advance(30 * time.Second)
			h.bringUp("vm-8")
		}, 0},
		{"the host's lease has expired", saved("vm-1"), func(h *harness) {
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
			h.want("the job is done", h.jobStatus("job-1") == wire.JobDone, false)
		})
	}
}

// TestANewLeaderLearnsTheDemandFromFinishedJobs checks that a new leader estimates the demand from the
// records of finished jobs, instead of returning machines until it has seen enough arrivals.
func TestANewLeaderLearnsTheDemandFromFinishedJobs(t *testing.T) {
	var s ledger.Snapshot
	for i := range 30 {
		s.Jobs = append(s.Jobs, ledger.SavedJob{ID: fmt.Sprintf("job-%d", i), Record: ledger.JobRecord{
			AcceptedMS: int64(i-30) * 10000, TerminalState: wire.JobDone, Tasks: 1, Done: 1, Class: "c", Cores: 8, RunS: 20}})
	}
	h := newHarness(t, s)
	mean, _ := autoscaler.Demand(0, h.core.demand.byClass)
	if mean < 13 || mean > 16 {
		t.Errorf("mean demand %v cores, want 13 to 16", mean)
	}
}

// TestAcceptedJobsAreNeverLost checks that a leader knows an accepted job and starts its tasks,
// whichever controllers and machines have failed in the meantime.
func TestAcceptedJobsAreNeverLost(t *testing.T) {
	record := ledger.JobRecord{Job: newTestJob("job-1", 2, 1)}
	cases := []struct {
		name  string
		saved ledger.Snapshot
		act   func(h *harness)
	}{
		{"the controller that accepted it crashed before this term", ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: record}}}, func(h *harness) {}},
		{"accepted after the snapshot, received from the watch only", ledger.Snapshot{}, func(h *harness) {
			h.step(JobRecordEvent{JobID: "job-1", Record: record, Version: 3})
		}},
		{"all its machines are gone", ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: record, Hosts: savedHosts("vm-7", "vm-8")}}}, func(h *harness) {
			h.advance(31 * time.Second)
		}},
		{"its machines were deleted by an earlier leader", ledger.Snapshot{GoneMachines: []string{"vm-7"}, Jobs: []ledger.SavedJob{{ID: "job-1", Record: record, Hosts: savedHosts("vm-7")}}}, func(h *harness) {}},
		{"in the snapshot and received from the watch", ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: record}}}, func(h *harness) {
			h.step(JobRecordEvent{JobID: "job-1", Record: record, Version: 3})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.saved)
			c.act(h)
			h.want("job status", h.jobStatus("job-1"), wire.JobQueued)
			h.bringUp("vm-1")
			h.want("starts", len(h.startCommands()), 2)
		})
	}
}

// TestCancelledJobWithUndeletedFinishedRanges guards against a crash at the start of each term: an
// earlier leader stopped between writing a job's cancellation and deleting its finished ranges, and
// every later leader counted the finished tasks twice and crashed on that.
func TestCancelledJobWithUndeletedFinishedRanges(t *testing.T) {
	record := ledger.JobRecord{Job: newTestJob("job-1", 3, 1), TerminalState: wire.JobCancelled, Tasks: 3, Done: 2}
	h := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: record, Hosts: savedHosts("vm-1"), Finished: savedRanges(0, 1)}}})
	h.want("job status", h.jobStatus("job-1"), wire.JobCancelled)
	h.bringUp("vm-1")
	h.want("starts", len(h.startCommands()), 0)
	h.want("cleaned up", h.core.jobs.list[0].end.cleanedUp, true)
}

// TestUnreadableHosts guards against a leader that can't read a job's hosts and takes that for "no
// machine runs its tasks": it exceeded the team's limit with other jobs, and started a task again that an
// agent had not listed with the term's token yet.
func TestUnreadableHosts(t *testing.T) {
	running := newTaskStatus(wire.Command{Task: "job-1/0", Attempt: 6<<termCounterBits | 1}, wire.TaskRunning, "")
	saved := ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, HostsUnknown: true}}}
	newTerm := func(jobs int, limit float64) *harness {
		h := newHarness(t, saved, settings.Team{Name: "t", CPUsMax: limit})
		h.bringUp("vm-9")
		for i := range jobs {
			h.submit(newTestJob(fmt.Sprintf("job-%d", 2+i), 1, 1))
		}
		return h
	}
	// listAfterALease has an agent list the task without the term's token, which renews its lease, and
	// with the token after more than a lease.
	listAfterALease := func(h *harness) {
		lease := h.core.agents.lease
		h.waitReporting(lease-time.Second, "vm-9")
		h.sendHeartbeat(h.newHeartbeat("vm-1", 0, running))
		h.waitReporting(3*time.Second, "vm-9")
		h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, running))
		h.waitReporting(2*lease, "vm-9")
	}

	t.Run("the task runs, and its team is at its limit", func(t *testing.T) {
		h := newTerm(1, 1)
		listAfterALease(h)
		h.want("starts", len(h.startCommands()), 0)
	})
	t.Run("the task runs, and there is no limit", func(t *testing.T) {
		h := newTerm(0, 0)
		listAfterALease(h)
		h.want("starts", len(h.startCommands()), 0)
	})
	t.Run("no agent lists the task", func(t *testing.T) {
		h := newTerm(1, 1)
		h.waitReporting(2*h.core.agents.lease+3*time.Second, "vm-9")
		h.want("starts", len(h.startCommands()), 1)
	})
}
