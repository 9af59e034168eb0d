package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// Much work, little room, and requests that can't be taken. docs/failures.md lists the
// code that handles each combination. The same must hold for all: the checker checks it all
// the time, and runScenario ends a test only when all that was accepted is served.

// TestNoFailures: without faults all is served, and what can't be is refused.
func TestNoFailures(t *testing.T) {
	runScenario(t, clusterConfig{}, func(c *cluster) {
		c.submitJobs(0, 6, time.Second, nil)
		c.users.SendInvalidRequests()
		time.Sleep(30 * time.Second)
		for k := range 6 {
			if _, done := c.checker.TaskCounts(fmt.Sprintf("job-%06d", k)); done != 3 {
				t.Errorf("%d tasks of job %d done", done, k)
			}
		}
	})
}

// TestManySmallJobs: one-task jobs come four a second for minutes, a quarter of
// them cancelled, which wants more writes than a small key-value store takes.
func TestManySmallJobs(t *testing.T) {
	runScenario(t, clusterConfig{writesPerSecond: 30, runTime: func(string) time.Duration { return 5 * time.Second }}, func(c *cluster) {
		for k := range 480 {
			j := fake.NewJob(fmt.Sprintf("job-%06d", k), 1, nil)
			c.users.Submit(j)
			if k%4 == 0 {
				c.users.Go(func() {
					time.Sleep(time.Duration(c.users.Random() * float64(6*time.Second)))
					c.users.Cancel(j)
				})
			}
			time.Sleep(250 * time.Millisecond)
			if k == 240 {
				c.kill(c.leader())
			}
		}
		c.startAll()
	})
}

// TestOverload: there is more work than room, urgent and not, over slow links.
func TestOverload(t *testing.T) {
	runScenario(t, clusterConfig{maxMachines: 4, runTime: longRunning(25 * time.Second)}, func(c *cluster) {
		c.store.SetDelay(300 * time.Millisecond)
		c.commandsDelayed = true
		c.commandFaults.Store(c.randomFaults(0.2, fake.ResponseLost, 0, 0))
		jobs := c.submitJobs(0, 24, 300*time.Millisecond, func(k int, j *wire.Job) {
			j.Tasks, j.CPUs = 8, 2
			j.Priority = []string{"idle", "standard", "high", "critical"}[k%4]
		})
		c.users.Cancel(jobs[3])
		time.Sleep(30 * time.Second)
		c.kill(c.leader())
		c.store.SetDelay(0)
		c.commandFaults.Store(nil)
		time.Sleep(time.Minute)
		c.startAll()
	})
}

// TestTeamLimitDuringFailover: teams are at their limit while jobs are cancelled whose
// machines are cut off, hang or can't be asked, and the leader changes: what frees
// room in the limit must surely be gone.
func TestTeamLimitDuringFailover(t *testing.T) {
	for name, setUnreachable := range unreachableModes {
		t.Run(name, func(t *testing.T) {
			runScenario(t, clusterConfig{teamLimits: map[string]float64{"tight": 12, "open": 24}, runTime: longRunning(60 * time.Second)}, func(c *cluster) {
				jobs := c.submitJobs(0, 12, 200*time.Millisecond, func(k int, j *wire.Job) {
					j.Tasks, j.Team = 6, []string{"tight", "open"}[k/2%2]
				})
				c.awaitRunning(30)
				agents := everyOther(c.cloud.Agents())
				for _, agent := range agents {
					setUnreachable(agent, true)
				}
				time.Sleep(time.Second)
				for _, j := range jobs[:4] {
					c.users.Cancel(j)
				}
				time.Sleep(500 * time.Millisecond)
				c.kill(c.leader())
				for _, j := range jobs[4:6] {
					c.users.Cancel(j)
				}
				time.Sleep(12 * time.Second)
				for _, agent := range agents {
					setUnreachable(agent, false)
				}
				c.startAll()
			})
		})
	}
}

// TestZoneBoundJobs: jobs bound to one zone, arrays that have to stay
// together or be spread too, lose machines.
func TestZoneBoundJobs(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: longRunning(30 * time.Second)}, func(c *cluster, r *rand.Rand) {
		zone := "b"
		c.submitJobs(0, 12, 300*time.Millisecond, func(k int, j *wire.Job) {
			j.Tasks = 5
			switch k % 4 {
			case 0:
				j.Zone = &zone
			case 1:
				j.Gang = true
			case 2:
				j.Spread = true
			}
		})
		c.awaitRunning(20)
		for range 4 {
			agents := c.cloud.Agents()
			agent := agents[r.IntN(len(agents))]
			if r.IntN(2) == 0 {
				c.cloud.Terminate(agent.Name())
			} else {
				agent.SetHung(true)
				c.users.Go(func() { time.Sleep(25 * time.Second); agent.SetHung(false) })
			}
			time.Sleep(randomDuration(r, time.Second, 8*time.Second))
		}
		c.restart(c.leader(), time.Second)
	})
}
