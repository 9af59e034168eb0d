package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// TestUrgentWorkDoesNotStarveOthers: urgent work that never ends must leave room for the
// other class, the other team and a job of large tasks to begin.
func TestUrgentWorkDoesNotStarveOthers(t *testing.T) {
	urgent := func(jobID string, tasks int, cpus float64) *wire.Job {
		j := newTestJob(jobID, tasks, cpus)
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
				g.completeCommands(CommandExecuted)
			}
			victim := c.victim()
			for step := 0; g.now < c.within+time.Second && began < 0; step++ {
				for g.core.jobs.list == nil || jobs < 2 || len(g.core.placement.sortedQueue()) < 3 {
					jobs++
					g.submit(urgent(fmt.Sprintf("job-1%03d", jobs), 8, 1))
				}
				if step == 1 {
					g.submit(victim)
				}
				g.advance(time.Second)
				collect()
				// On each machine one task ends each second.
				for i := range c.machines {
					name := fmt.Sprintf("vm-%d", i)
					all := running[name]
					if len(all) == 0 {
						g.acknowledge(name)
						continue
					}
					tasks := []wire.TaskStatus{newTaskStatus(all[0], wire.TaskEnded, wire.ExitDone)}
					for _, o := range all[1:] {
						tasks = append(tasks, newTaskStatus(o, wire.TaskRunning, ""))
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
