package scheduler

import (
	"testing"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// TestPlacementConstraints: how many of a job's four tasks start on a single spot machine in zone a,
// depending on the team's limit and the constraints in the job's description.
func TestPlacementConstraints(t *testing.T) {
	inDoubt := ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-9", Record: ledger.JobRecord{Job: newTestJob("job-9", 1, 1)}, Hosts: savedHosts("vm-7")}}}
	cases := []struct {
		name   string
		saved  ledger.Snapshot
		team   settings.Team
		change func(j *wire.Job)
		starts int
	}{
		{"no limit", ledger.Snapshot{}, settings.Team{Name: "t"}, nil, 4},
		{"team limit", ledger.Snapshot{}, settings.Team{Name: "t", CPUsMax: 2}, nil, 2},
		{"tasks that an earlier leader may have started count towards the limit", inDoubt, settings.Team{Name: "t", CPUsMax: 2}, nil, 1},
		{"no machine of the required type", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Types = []string{"m8"} }, 0},
		{"no machine in the required zone", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { z := "b"; j.Zone = &z }, 0},
		{"spot machines not allowed", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Spot = false }, 0},
		{"spread: at most half of the tasks in one zone", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Spread = true }, 2},
		{"gang: all tasks in one zone", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Gang = true }, 4},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.saved, test.team)
			h.bringUp("vm-1")
			j := newTestJob("job-1", 4, 1)
			if test.change != nil {
				test.change(j)
			}
			h.submit(j)
			h.want("starts", len(h.startCommands()), test.starts)
		})
	}
}

// TestJobWithMaxTasks: a job with the maximum number of tasks starts as many as fit, and its start
// commands are split so that no request body exceeds the maximum size.
func TestJobWithMaxTasks(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", wire.MaxTasks, 0.01))
	started := 0
	for _, sent := range h.sentCommands {
		body, err := json.Marshal(sent.Request)
		if err != nil || len(body) > wire.MaxBodyBytes {
			t.Errorf("a command takes %d bytes: %v", len(body), err)
		}
		started += len(sent.Request.Commands)
	}
	// 4 cores would fit 400 tasks, but 16 GB of memory fit only 16.
	h.want("starts", started, 16)
	small := newTestJob("job-2", wire.MaxTasks, 0.01)
	small.MemGB, small.Priority = 0, "high"
	h.sentCommands = nil
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	h.submit(small)
	h.want("the starts are split into several commands", len(h.sentCommands) > 1, true)
}

// TestFreeCapacityGoesToJobWithCachedImage: within one priority class, a job with enough slack
// leaves a machine to another job whose image the machine has. A job that is short of time does
// not.
func TestFreeCapacityGoesToJobWithCachedImage(t *testing.T) {
	cases := []struct {
		name     string
		deadline float64 // of the first job in the queue, in seconds
		first    string  // the task that starts
	}{
		{"the first job has enough slack", 200, "job-3/0"},
		{"the first job is short of time", 25, "job-2/0"},
		{"the first job will be late anyway", 5, "job-3/0"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Types: true}, Types: []wire.MachineType{
				{Name: "m4", CPUs: 4, MemGB: 16, CacheGB: 20, FetchGBPerS: 0.1, Price: 1, SpotPrice: 0.5, BootS: 40, Zones: []string{"a", "b"}}}}})
			h.bringUp("vm-1")
			job := func(jobID, image string, deadline float64) *wire.Job {
				j := newTestJob(jobID, 1, 4)
				j.Image, j.ImageGB, j.DeadlineS = image, 1, &deadline
				return j
			}
			h.submit(job("job-1", "here", 300))
			first := h.startCommands()[0]
			h.completeCommands(CommandExecuted)
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(first, wire.TaskRunning, "")))
			h.submit(job("job-2", "elsewhere", test.deadline))
			h.submit(job("job-3", "here", 250))
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(first, wire.TaskEnded, wire.ExitDone)))
			if starts := h.startCommands(); len(starts) != 1 || starts[0].Task != test.first {
				t.Errorf("started %v, want %s", starts, test.first)
			}
		})
	}
}
