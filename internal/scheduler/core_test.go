package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

func TestMachineIsUsedOnlyOnceItAcknowledgesOurToken(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.submit(newTestJob("job-1", 1, 1))
	// Its token may be an earlier leader's, whose commands can still arrive.
	g.want("token told", g.sendHeartbeat(g.heartbeatOf("vm-1", 6<<tokenBits)).FencingToken, uint64(termToken))
	g.want("starts before the echo", len(g.starts()), 0)
	g.sendHeartbeat(g.heartbeatOf("vm-1", termToken))
	g.want("starts after the echo", len(g.starts()), 1)
}

func TestHostIsDurableBeforeTheFirstStart(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.holdWrites = true
	g.submit(newTestJob("job-1", 2, 1))
	g.want("starts while the host is not durable", len(g.starts()), 0)
	g.releaseWrites()
	g.want("starts once it is", len(g.starts()), 2)
}

func TestStartOfUnknownOutcome(t *testing.T) {
	cases := []struct {
		name  string
		act   func(g *harness, o wire.Command)
		again int // further starts
	}{
		{"stays booked while the token is not echoed", func(g *harness, o wire.Command) {
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken))
		}, 0},
		{"is given up once a raised token is echoed without it", func(g *harness, o wire.Command) {
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken+1))
		}, 1},
		{"stands when the echo shows it", func(g *harness, o wire.Command) {
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken+1, taskIn(o, wire.TaskRunning, "")))
		}, 0},
		{"is given up with the session", func(g *harness, o wire.Command) {
			r := g.heartbeatOf("vm-1", termToken)
			r.AgentEpoch = 2
			g.sendHeartbeat(r)
			g.acknowledge("vm-1")
		}, 1},
		{"is not given up for a silent machine within its lease", func(g *harness, o wire.Command) {
			g.bringUp("vm-2")
			g.wait(6 * time.Second)
		}, 0},
		{"is given up when the machine is deleted", func(g *harness, o wire.Command) {
			g.bringUp("vm-2")
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
		}, 1},
		{"is kept when the deletion's outcome is unknown", func(g *harness, o wire.Command) {
			g.bringUp("vm-2")
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}, Err: autoscaler.ErrUnknownOutcome}})
		}, 0},
		{"is given up when the machine is listed as failed", func(g *harness, o wire.Command) {
			g.bringUp("vm-2")
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}, List: []wire.ListedMachine{{Name: "vm-1", Type: "m4", Zone: "a", Status: wire.MachineFailed}}}})
		}, 1},
		{"absence from the list proves nothing", func(g *harness, o wire.Command) {
			g.bringUp("vm-2")
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}}})
		}, 0},
		{"a stale report proves nothing", func(g *harness, o wire.Command) {
			r := g.heartbeatOf("vm-1", termToken+1)
			r.Sequence = 1
			g.sendHeartbeat(r)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.submit(newTestJob("job-1", 1, 1))
			first := g.starts()[0]
			g.endCommands(CommandOutcomeUnknown)
			g.want("token", g.sendHeartbeat(g.heartbeatOf("vm-1", termToken)).FencingToken, uint64(termToken+1))
			c.act(g, first)
			g.wait(avoidFor + time.Second/2)
			again := g.starts()
			g.want("further starts", len(again), c.again)
			if len(again) > 0 && again[0].Attempt == first.Attempt {
				t.Error("an attempt was used again")
			}
		})
	}
}

func TestStartInAResponse(t *testing.T) {
	cases := []struct {
		name  string
		act   func(g *harness, o wire.Command)
		again int // further starts
	}{
		{"the answer to a direct command proves nothing: ours may be on its way", func(g *harness, o wire.Command) {
			g.step(CancelRequest{JobID: "job-9", ReplyTo: recipient("u")})
			g.step(CommandResult{CommandID: g.sentCommands[0].CommandID, Outcome: CommandExecuted, Heartbeat: g.heartbeatOf("vm-1", termToken)})
		}, 0},
		{"a late copy of the report proves nothing", func(g *harness, o wire.Command) {
			r := g.heartbeatOf("vm-1", termToken)
			r.Sequence = 1
			g.sendHeartbeat(r)
		}, 0},
		{"the next report without it gives it up", func(g *harness, o wire.Command) {
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken))
			g.want("starts before it shows that it hears us", len(g.starts()), 0)
			g.acknowledge("vm-1")
		}, 1},
		{"the next report with it confirms it", func(g *harness, o wire.Command) {
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskFetching, "")))
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.submit(newTestJob("job-9", 1, 3))
			nine := g.starts()[0]
			g.endCommands(CommandExecuted)
			g.submit(newTestJob("job-1", 8, 2)) // no room for it beside the other
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(nine, wire.TaskRunning, "")))
			g.want("starts without room", len(g.starts()), 0)
			// The first job's host is on record, so its next start can go at once.
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(nine, wire.TaskEnded, wire.ExitStopped)))
			g.want("starts in the answer", len(g.answered), 2) // a forget and the start
			o := g.starts()[0]
			g.answered = nil
			c.act(g, o)
			g.want("further starts", len(g.starts()), c.again)
		})
	}
}

func TestForget(t *testing.T) {
	cases := []struct {
		name    string
		outcome CommandOutcome
		token   uint64
		why     string
		durable bool
		want    int
	}{
		{"ends in the ledger", CommandExecuted, termToken, wire.ExitDone, true, minForgets},
		{"ends not yet in the ledger", CommandExecuted, termToken, wire.ExitDone, false, 0},
		{"while the starts may still be repeated", CommandOutcomeUnknown, termToken, wire.ExitDone, true, 0},
		{"once the raised token is echoed", CommandOutcomeUnknown, termToken + 1, wire.ExitDone, true, minForgets},
		{"failures", CommandExecuted, termToken, wire.ExitError, true, minForgets},
		{"failures whose starts may still be repeated", CommandOutcomeUnknown, termToken, wire.ExitError, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.submit(newTestJob("job-1", minForgets+1, 0.25))
			var ended []wire.TaskStatus
			for _, o := range g.starts()[:minForgets] {
				ended = append(ended, taskIn(o, wire.TaskEnded, c.why))
			}
			g.endCommands(c.outcome)
			g.holdWrites = !c.durable
			g.sendHeartbeat(g.heartbeatOf("vm-1", c.token, ended...))
			got := verbs(g.sendHeartbeat(g.heartbeatOf("vm-1", c.token, ended...)))
			g.want("forgotten", strings.Count(got, "forget"), c.want)
		})
	}
}

// TestForgetTravelsWithOtherCommands: a done task by itself is not worth the report
// that forgetting it brings, but goes along with a start.
func TestForgetTravelsWithOtherCommands(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 2, 1))
	orders := g.starts()
	g.endCommands(CommandExecuted)
	done, runs := taskIn(orders[0], wire.TaskEnded, wire.ExitDone), taskIn(orders[1], wire.TaskRunning, "")
	g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, done, runs))
	g.want("alone", verbs(g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, done, runs))), "")
	g.holdWrites = true // so that the start waits for the report
	g.submit(newTestJob("job-2", 1, 1))
	m := g.c.machineNamed("vm-1")
	g.c.sendPlanned(g.c.jobs.list[1], m)
	g.want("with a start", verbs(g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, done, runs))), "start forget ")
}

func TestFailover(t *testing.T) {
	saved := func(hosts ...string) ledger.Snapshot {
		return ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 2, 1)},
			Hosts: savedHosts(hosts...), Finished: savedRanges(0, 0)}}}
	}
	old := wire.Command{Task: "job-1/1", Attempt: 6<<tokenBits | 1}
	gone := saved("vm-1")
	gone.Gone = []string{"vm-1"}
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
			g.sendHeartbeat(g.heartbeatOf("vm-1", 6<<tokenBits))
		}, 0},
		{"an echo without the task clears it", saved("vm-1"), func(g *harness) { g.bringUp("vm-1") }, 1},
		{"an echo with the task adopts it", saved("vm-1"), func(g *harness) {
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(old, wire.TaskRunning, "")))
		}, 0},
		{"every host must be cleared", saved("vm-1", "vm-2"), func(g *harness) { g.bringUp("vm-1") }, 0},
		{"a deletion clears it", saved("vm-1"), func(g *harness) {
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
		}, 1},
		{"not before the lease must be over", saved("vm-1"), func(g *harness) {
			g.wait(30 * time.Second)
			g.bringUp("vm-8")
		}, 0},
		{"the end of the lease clears it", saved("vm-1"), func(g *harness) {
			g.wait(30500 * time.Millisecond)
			g.bringUp("vm-8")
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, c.ledger)
			g.bringUp("vm-9")
			c.act(g)
			g.want("starts", len(g.starts()), c.starts)
			g.want("state", g.jobStatus("job-1") == wire.JobDone, false)
		})
	}
}

func TestHeartbeatOfANewerTermIsRefused(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	if a := g.sendHeartbeat(g.heartbeatOf("vm-1", (testTerm+1)<<tokenBits)); a != nil {
		t.Errorf("answered with %v", a)
	}
}

func TestLimits(t *testing.T) {
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
			g.want("starts", len(g.starts()), c.starts)
		})
	}
}

func TestScaleOutOfAnEarlierLeaderIsRepeatedUnderItsName(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{ScaleOuts: []ledger.ScaleOutRecord{
		{Request: wire.ScaleOutRequest{RequestID: "h6-1", Type: "m4", Zone: "a", Count: 2}},
		{Request: wire.ScaleOutRequest{RequestID: "h6-2", Type: "m4", Zone: "a", Count: 1}, Machines: []string{"vm-3"}},
	}})
	if len(g.scaleOuts) != 1 || g.scaleOuts[0].RequestID != "h6-1" {
		t.Fatalf("repeated %v, want h6-1 only", g.scaleOuts)
	}
	g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{ScaleOut: &g.scaleOuts[0]}, Machines: []string{"vm-1", "vm-2"}}})
	g.want("machines known", len(g.c.machines.live), 3)
}

func TestScaleOutIsDurableBeforeItIsSent(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.holdWrites = true
	g.submit(newTestJob("job-1", 1, 1))
	g.wait(2 * time.Second)
	g.want("hires before", len(g.scaleOuts), 0)
	g.releaseWrites()
	g.want("hires after", len(g.scaleOuts) > 0, true)
	for _, h := range g.scaleOuts {
		if h.RequestID[:3] != fmt.Sprintf("h%d-", testTerm) {
			t.Errorf("the name %s does not embed the term", h.RequestID)
		}
	}
}

func TestANewLeaderLearnsTheDemandFromFinishedJobs(t *testing.T) {
	var s ledger.Snapshot
	for i := range 30 {
		s.Jobs = append(s.Jobs, ledger.SavedJob{ID: fmt.Sprintf("job-%d", i), Record: ledger.JobRecord{
			AcceptedMS: int64(i-30) * 10000, Terminal: wire.JobDone, Tasks: 1, Done: 1, Class: "c", Cores: 8, RunS: 20}})
	}
	g := newHarness(t, s)
	mean, _ := autoscaler.Demand(0, g.c.autoscaling.demand)
	if mean < 13 || mean > 16 {
		t.Errorf("mean demand %v cores, want about 16", mean)
	}
}

// TestNothingIsForgotten: whatever becomes of nodes and machines, an accepted
// job is known and is taken up again.
func TestNothingIsForgotten(t *testing.T) {
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
			g.wait(31 * time.Second)
		}},
		{"its machines were deleted by an earlier leader", ledger.Snapshot{Gone: []string{"vm-7"}, Jobs: []ledger.SavedJob{{ID: "job-1", Record: rec, Hosts: savedHosts("vm-7")}}}, func(g *harness) {}},
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
			g.want("starts", len(g.starts()), 2)
		})
	}
}

// TestWritesOfAStepTravelTogether: a step that brings a job many machines and many
// ended tasks writes each of its keys once, with all of them, and every machine
// still gets its starts only when it is in the ledger.
func TestWritesOfAStepTravelTogether(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	const machines = ledger.HostsPerChunk + 50
	for i := range machines {
		g.bringUp(fmt.Sprintf("vm-%03d", i))
	}
	g.holdWrites = true
	clear(g.writes)
	puts := g.puts
	g.submit(newTestJob("job-1", 4*machines, 1))
	g.want("writes for all machines", g.puts-puts, 2)
	g.want("hosts in the first", len(g.writes["host/job-1/0"].Value.([]string)), ledger.HostsPerChunk)
	g.want("hosts in the second", len(g.writes["host/job-1/1"].Value.([]string)), 50)
	g.want("started before that is durable", len(g.starts()), 0)
	g.releaseWrites()
	tasks := map[string][]wire.TaskStatus{}
	for _, d := range g.sentCommands {
		for _, o := range d.Request.Commands {
			tasks[d.Machine] = append(tasks[d.Machine], taskIn(o, wire.TaskEnded, wire.ExitDone))
		}
	}
	g.want("started then", len(g.starts()), 4*machines)
	g.endCommands(CommandExecuted)

	g.holdWrites = true
	puts = g.puts
	for _, name := range []string{"vm-001", "vm-002", "vm-003"} {
		g.c.Step(HeartbeatEvent{Heartbeat: g.heartbeatOf(name, termToken, tasks[name]...), ReplyTo: recipient("w")}, g.now, g.now.Milliseconds())
	}
	g.take(g.c.Settle())
	g.want("writes for the ended tasks of three machines", g.puts-puts, 1)
	for _, o := range g.answered {
		g.want("ordered before that is durable", o.Verb, "nothing")
	}
	g.releaseWrites()
	n := 0
	for _, k := range g.c.jobs.list[0].progress.tasks {
		if k.state == taskDurable {
			n++
		}
	}
	g.want("durable", n, 12)
}
