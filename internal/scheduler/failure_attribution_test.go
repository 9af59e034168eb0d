package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestFailureAttribution: a machine on which a task failed is quarantined once the same job
// succeeds on another machine, but not when the job itself may be at fault.
func TestFailureAttribution(t *testing.T) {
	cases := []struct {
		name       string
		ends       []string // how attempts of one job end on vm-1, vm-2, ...
		quarantine int
	}{
		{"a single failure quarantines no machine", []string{wire.ExitError}, 0},
		{"a success elsewhere quarantines the machine of the failure", []string{wire.ExitError, wire.ExitDone}, 1},
		{"a job that fails everywhere quarantines no machine", []string{wire.ExitError, wire.ExitError, wire.ExitError}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			for i := range test.ends {
				h.bringUp(fmt.Sprintf("vm-%d", i+1))
			}
			h.submit(newTestJob("job-1", 2, 3)) // two tasks, each machine has capacity for one
			for len(test.ends) > 0 {
				sent := h.sentCommands[0]
				h.sentCommands = h.sentCommands[1:]
				h.step(CommandResult{CommandID: sent.CommandID, Outcome: CommandExecuted})
				h.sendHeartbeat(h.newHeartbeat(sent.Machine, termToken, newTaskStatus(sent.Request.Commands[0], wire.TaskEnded, test.ends[0])))
				test.ends = test.ends[1:]
			}
			quarantined := 0
			for _, m := range h.core.machines.list {
				if m.health.quarantined {
					quarantined++
				}
			}
			h.want("machines quarantined", quarantined, test.quarantine)
		})
	}
}

// TestJobDoesNotWaitBesideTheMachineItFailedOn guards against a job that waits for good because its tasks
// failed on the only machine with room: placement never used that machine again for the job, and the
// planner rented no other one, since it counted the machine as available.
func TestJobDoesNotWaitBesideTheMachineItFailedOn(t *testing.T) {
	const maxWait = 90 * time.Second // while a machine that fits has room
	for _, test := range []struct {
		name        string
		staysSick   bool
		maxMachines int
	}{
		{"the machine is well again, and the cloud has no other", false, 2},
		{"the machine stays faulty, and the cloud has others", true, 4},
	} {
		for name, market := range markets {
			t.Run(test.name+", "+name, func(t *testing.T) {
				w := newCapacityWorld(t)
				w.hasCapacity, w.maxMachines = market, 2
				w.runTime = func(jobID string) time.Duration {
					if jobID == "job-1" {
						return time.Hour
					}
					return time.Second
				}
				busy := newTestJob("job-1", 1, 4)
				busy.EstimatedRunS = 3600
				w.submit(busy)
				w.awaitStarts(busy)
				j := newTestJob("job-2", 3, 0.5)
				due := 60.0
				j.DeadlineS = &due
				w.submit(j)
				w.runUntil(time.Minute, func() bool { return len(w.machines) == 2 })
				sick := w.machines[1]
				sick.sick = true
				if !w.runUntil(time.Minute, func() bool { return len(w.core.jobs.list[1].retry.failedOn) > 0 }) {
					t.Fatal("no task failed on the machine that fails every task")
				}
				sick.sick, w.maxMachines = test.staysSick, test.maxMachines
				if !w.runUntil(maxWait, func() bool { return w.startedTasks(j.ID) == j.Tasks }) {
					t.Errorf("%d of %d tasks started within %v", w.startedTasks(j.ID), j.Tasks, maxWait)
				}
			})
		}
	}
}

// TestFailureUnderEarlierLeaderIsAvoided guards against a new leader that starts a task on the machine
// which lists the failed attempt of the job, because an earlier leader started that attempt.
func TestFailureUnderEarlierLeaderIsAvoided(t *testing.T) {
	const earlierAttempt = (testTerm-1)<<termCounterBits + 1
	for _, test := range []struct {
		name   string
		reason string
		starts int
	}{
		{"failed", wire.ExitError, 0},
		{"stopped", wire.ExitStopped, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			saved := ledger.SavedJob{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}
			h := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{saved}})
			ended := wire.TaskStatus{Task: "job-1/0", Attempt: earlierAttempt, Status: wire.TaskEnded, ExitReason: test.reason}
			for _, token := range []uint64{0, termToken, termToken} {
				h.sendHeartbeat(h.newHeartbeat("vm-1", token, ended))
			}
			h.want("starts on the machine that lists the attempt", len(h.startCommands()), test.starts)
			h.waitReporting(failureAvoidance+time.Second, "vm-1")
			h.want("starts in the end", len(h.startCommands()) > 0, true)
			h.want("machines of failures", len(h.core.jobs.list[0].retry.failedOn), 1-test.starts)
		})
	}
}
