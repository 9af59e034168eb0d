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

// TestUrgentWorkDoesNotStarveOthers: under a continuous load of urgent small tasks, a job of another
// class or team, and a job with a large task, must still start within their bound.
func TestUrgentWorkDoesNotStarveOthers(t *testing.T) {
	urgent := func(jobID string, tasks int, cpus float64) *wire.Job {
		j := newTestJob(jobID, tasks, cpus)
		j.Priority, j.Class = "high", "u"
		return j
	}
	cases := []struct {
		name     string
		machines int
		otherJob func() *wire.Job
		within   time.Duration
	}{
		{"a job of another class", 8, func() *wire.Job { return newTestJob("job-9", 1, 1) }, 20 * time.Second},
		{"a large task while small ones fill every gap", 2, func() *wire.Job { return newTestJob("job-9", 1, 4) }, maxStartDelay},
		{"a less urgent job of another team", 8, func() *wire.Job {
			j := urgent("job-9", 1, 1)
			j.Team, j.Priority = "t2", "idle"
			return j
		}, 20 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t"}, settings.Team{Name: "t2"})
			for i := range test.machines {
				h.bringUp(fmt.Sprintf("vm-%d", i))
			}
			running := map[string][]wire.Command{}
			startedAt := time.Duration(-1)
			jobs := 0
			collectStarts := func() {
				for _, sent := range h.sentCommands {
					for _, command := range sent.Request.Commands {
						if command.Verb == wire.VerbStart {
							running[sent.Machine] = append(running[sent.Machine], command)
						}
					}
				}
				h.completeCommands(CommandExecuted)
			}
			otherJob := test.otherJob()
			for step := 0; h.now < test.within+time.Second && startedAt < 0; step++ {
				for h.core.jobs.list == nil || jobs < 2 || len(h.core.placement.sortedQueue()) < 3 {
					jobs++
					h.submit(urgent(fmt.Sprintf("job-1%03d", jobs), 8, 1))
				}
				if step == 1 {
					h.submit(otherJob)
				}
				h.advance(time.Second)
				collectStarts()
				// On each machine one task ends per second.
				for i := range test.machines {
					name := fmt.Sprintf("vm-%d", i)
					commands := running[name]
					if len(commands) == 0 {
						h.acknowledge(name)
						continue
					}
					tasks := []wire.TaskStatus{newTaskStatus(commands[0], wire.TaskEnded, wire.ExitDone)}
					for _, command := range commands[1:] {
						tasks = append(tasks, newTaskStatus(command, wire.TaskRunning, ""))
					}
					running[name] = commands[1:]
					for _, command := range h.acknowledge(name, tasks...).Commands {
						if command.Verb == wire.VerbStart {
							running[name] = append(running[name], command)
						}
					}
					collectStarts()
				}
				for _, commands := range running {
					for _, command := range commands {
						if strings.HasPrefix(command.Task, "job-9/") {
							startedAt = h.now
						}
					}
				}
			}
			if startedAt < 0 {
				t.Errorf("job-9 did not start within %s", test.within)
			}
		})
	}
}
