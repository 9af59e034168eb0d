package scheduler

import (
	"testing"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

func TestPlacementConstraints(t *testing.T) {
	unseen := ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-9", Record: ledger.JobRecord{Job: newTestJob("job-9", 1, 1)}, Hosts: savedHosts("vm-7")}}}
	cases := []struct {
		name   string
		saved  ledger.Snapshot
		team   settings.Team
		change func(j *wire.Job)
		starts int
	}{
		{"no limit", ledger.Snapshot{}, settings.Team{Name: "t"}, nil, 4},
		{"the team's limit", ledger.Snapshot{}, settings.Team{Name: "t", CPUsMax: 2}, nil, 2},
		{"tasks that an earlier leader may have started count", unseen, settings.Team{Name: "t", CPUsMax: 2}, nil, 1},
		{"a type that is not there", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Types = []string{"m8"} }, 0},
		{"another zone", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { z := "b"; j.Zone = &z }, 0},
		{"no spot machine", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Spot = false }, 0},
		{"half of the tasks in one zone", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Spread = true }, 2},
		{"all in one zone", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Gang = true }, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, c.saved, c.team)
			g.bringUp("vm-1")
			j := newTestJob("job-1", 4, 1)
			if c.change != nil {
				c.change(j)
			}
			g.submit(j)
			g.want("starts", len(g.startCommands()), c.starts)
		})
	}
}

func TestJobWithMaxTasks(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", wire.MaxTasks, 0.01))
	started := 0
	for _, d := range g.sentCommands {
		body, err := json.Marshal(d.Request)
		if err != nil || len(body) > wire.MaxBodyBytes {
			t.Errorf("a command takes %d bytes: %v", len(body), err)
		}
		started += len(d.Request.Commands)
	}
	// 4 cores hold 400 tasks, but 16 GB only 16.
	g.want("starts", started, 16)
	small := newTestJob("job-2", wire.MaxTasks, 0.01)
	small.MemGB, small.Priority = 0, "high"
	g.sentCommands = nil
	g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	g.submit(small)
	g.want("commands for many starts", len(g.sentCommands) > 1, true)
}

// TestFreeCapacityGoesToJobWithCachedImage: among jobs of one priority, one that has
// time to spare leaves a machine to another whose image is on it, and one that
// has none does not.
func TestFreeCapacityGoesToJobWithCachedImage(t *testing.T) {
	cases := []struct {
		name  string
		due   float64 // of the job that is first in the queue
		first string
	}{
		{"the first can wait", 200, "job-3/0"},
		{"the first is short of time", 25, "job-2/0"},
		{"the first is late anyway", 5, "job-3/0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Types: true}, Types: []wire.MachineType{
				{Name: "m4", CPUs: 4, MemGB: 16, CacheGB: 20, FetchGBPerS: 0.1, Price: 1, SpotPrice: 0.5, BootS: 40, Zones: []string{"a", "b"}}}}})
			g.bringUp("vm-1")
			job := func(jobID, image string, due float64) *wire.Job {
				j := newTestJob(jobID, 1, 4)
				j.Image, j.ImageGB, j.DeadlineS = image, 1, &due
				return j
			}
			g.submit(job("job-1", "here", 300))
			o := g.startCommands()[0]
			g.completeCommands(CommandExecuted)
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskRunning, "")))
			g.submit(job("job-2", "elsewhere", c.due))
			g.submit(job("job-3", "here", 250))
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskEnded, wire.ExitDone)))
			if s := g.startCommands(); len(s) != 1 || s[0].Task != c.first {
				t.Errorf("started %v, want %s", s, c.first)
			}
		})
	}
}
