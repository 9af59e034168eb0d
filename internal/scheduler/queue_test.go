package scheduler

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

func TestOrderOfTheQueue(t *testing.T) {
	due := func(j *wire.Job, s float64) *wire.Job { j.DeadlineS = &s; return j }
	high := newTestJob("job-3", 1, 4)
	high.Priority = "high"
	g := newHarness(t, ledger.Snapshot{})
	late := due(newTestJob("job-5", 1, 4), 5)
	for _, j := range []*wire.Job{newTestJob("job-1", 1, 4), due(newTestJob("job-2", 1, 4), 500), late, due(newTestJob("job-6", 9, 4), 90), high, due(newTestJob("job-4", 1, 4), 100)} {
		g.submit(j)
	}
	order := func() (refs []string) {
		for _, j := range g.c.placement.queue() {
			refs = append(refs, j.id)
		}
		return refs
	}
	g.want("order", order(), []string{"job-3", "job-4", "job-2", "job-1", "job-6", "job-5"})
	g.step(CancelRequest{JobID: "job-5", ReplyTo: recipient("u")})
	g.want("order once nobody is late", order(), []string{"job-3", "job-6", "job-4", "job-2", "job-1"})
	g.want("slack without a deadline", g.c.jobs.list[0].slack(0) == math.MaxInt64, true)
	// Nobody comes last for ever.
	g.wait(maxStartDelay - 2*time.Second)
	g.submit(newTestJob("job-7", 1, 1))
	g.wait(3 * time.Second)
	g.want("order after four minutes", order(), []string{"job-3", "job-6", "job-4", "job-2", "job-1", "job-7"})
}

func TestGoalFallsAfterABurst(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 4, 1))
	o := g.starts()
	g.endCommands(CommandExecuted)
	g.c.placement.goal.L = 1 // as a burst has left it
	tell := func(tasks ...wire.TaskStatus) {
		for range 8 {
			g.wait(time.Second)
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, tasks...))
		}
	}
	tell(taskIn(o[0], wire.TaskRunning, ""), taskIn(o[1], wire.TaskRunning, ""), taskIn(o[2], wire.TaskRunning, ""), taskIn(o[3], wire.TaskRunning, ""))
	g.want("goal while the machine is full", g.c.placement.goal.L, 1.0)
	g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(o[0], wire.TaskEnded, wire.ExitDone), taskIn(o[1], wire.TaskEnded, wire.ExitDone), taskIn(o[2], wire.TaskEnded, wire.ExitDone), taskIn(o[3], wire.TaskEnded, wire.ExitDone)))
	tell()
	g.want("goal once all is quiet", g.c.placement.goal.L < 1, true)
}

func TestAJobOfMostTasks(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", wire.MaxTasks, 0.01))
	started := 0
	for _, d := range g.sentCommands {
		body, err := json.Marshal(d.Request)
		if err != nil || len(body) > wire.MaxBody {
			t.Errorf("a command takes %d bytes: %v", len(body), err)
		}
		started += len(d.Request.Commands)
	}
	// 4 cores hold 400 tasks, but 16 GB only 16.
	g.want("starts", started, 16)
	small := newTestJob("job-2", wire.MaxTasks, 0.01)
	small.MemGB, small.Priority = 0, "high"
	g.sentCommands = nil
	g.step(CancelRequest{JobID: "job-1", ReplyTo: recipient("u")})
	g.submit(small)
	g.want("commands for many starts", len(g.sentCommands) > 1, true)
}

// TestNobodyIsStarved: urgent work that never ends must leave room for the
// other class, the other team and a job of large tasks to begin.
func TestNobodyIsStarved(t *testing.T) {
	urgent := func(ref string, tasks int, cpus float64) *wire.Job {
		j := newTestJob(ref, tasks, cpus)
		j.Priority, j.Class = "high", "u"
		return j
	}
	cases := []struct {
		name     string
		machines int
		victim   func() *wire.Job
		within   time.Duration
	}{
		{"another class has its share", 8, func() *wire.Job { return newTestJob("job-9", 1, 1) }, 20 * time.Second},
		{"a large task begins though small ones fill every gap", 2, func() *wire.Job { return newTestJob("job-9", 1, 4) }, maxStartDelay},
		{"another team has its share", 8, func() *wire.Job {
			j := urgent("job-9", 1, 1)
			j.Team, j.Priority = "t2", "idle"
			return j
		}, 20 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t"}, settings.Team{Name: "t2"})
			for i := range c.machines {
				g.bringUp(fmt.Sprintf("vm-%d", i))
			}
			running := map[string][]wire.Command{}
			began := time.Duration(-1)
			jobs := 0
			collect := func() {
				for _, d := range g.sentCommands {
					for _, o := range d.Request.Commands {
						if o.Verb == wire.VerbStart {
							running[d.Machine] = append(running[d.Machine], o)
						}
					}
				}
				g.endCommands(CommandExecuted)
			}
			victim := c.victim()
			for step := 0; g.now < c.within+time.Second && began < 0; step++ {
				for g.c.jobs.list == nil || jobs < 2 || len(g.c.placement.queue()) < 3 {
					jobs++
					g.submit(urgent(fmt.Sprintf("job-1%03d", jobs), 8, 1))
				}
				if step == 1 {
					g.submit(victim)
				}
				g.wait(time.Second)
				collect()
				// On each machine one task ends each second.
				for i := range c.machines {
					name := fmt.Sprintf("vm-%d", i)
					all := running[name]
					if len(all) == 0 {
						g.acknowledge(name)
						continue
					}
					tasks := []wire.TaskStatus{taskIn(all[0], wire.TaskEnded, wire.ExitDone)}
					for _, o := range all[1:] {
						tasks = append(tasks, taskIn(o, wire.TaskRunning, ""))
					}
					running[name] = all[1:]
					for _, o := range g.acknowledge(name, tasks...).Commands {
						if o.Verb == wire.VerbStart {
							running[name] = append(running[name], o)
						}
					}
					collect()
				}
				for _, all := range running {
					for _, o := range all {
						if strings.HasPrefix(o.Task, "job-9/") {
							began = g.now
						}
					}
				}
			}
			if began < 0 {
				t.Errorf("not begun within %s", c.within)
			}
		})
	}
}

// TestFreeRoomIsGivenToAJobWhoseImageIsThere: among jobs of one priority, one that has
// time to spare leaves a machine to another whose image is on it, and one that
// has none does not.
func TestFreeRoomIsGivenToAJobWhoseImageIsThere(t *testing.T) {
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
			job := func(ref, image string, due float64) *wire.Job {
				j := newTestJob(ref, 1, 4)
				j.Image, j.ImageGB, j.DeadlineS = image, 1, &due
				return j
			}
			g.submit(job("job-1", "here", 300))
			o := g.starts()[0]
			g.endCommands(CommandExecuted)
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskRunning, "")))
			g.submit(job("job-2", "elsewhere", c.due))
			g.submit(job("job-3", "here", 250))
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskEnded, wire.ExitDone)))
			if s := g.starts(); len(s) != 1 || s[0].Task != c.first {
				t.Errorf("started %v, want %s", s, c.first)
			}
		})
	}
}
