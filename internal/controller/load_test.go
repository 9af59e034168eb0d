package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// The tests of this file have high load, little capacity, or requests that must be rejected.
// docs/failures.md lists the code that handles each combination. In each test the checker verifies
// the invariants throughout, and runScenario fails unless all accepted jobs are served in the end.

// TestNoFailures: without faults all valid jobs are served within seconds, and invalid ones are
// rejected.
func TestNoFailures(t *testing.T) {
	runScenario(t, clusterConfig{}, func(c *cluster) {
		c.submitJobs(0, 6, time.Second, nil)
		c.users.SendInvalidRequests()
		time.Sleep(30 * time.Second)
		for k := range 6 {
			if _, done := c.checker.TaskCounts(fmt.Sprintf("job-%06d", k)); done != 3 {
				t.Errorf("%d tasks of job %d done, want 3", done, k)
			}
		}
	})
}

// TestManySmallJobs: users submit four one-task jobs per second for two minutes and cancel a quarter
// of them, which needs more writes than the key-value store's rate limit allows.
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

// TestOverload: jobs of all priorities need more than the machines' capacity, while the key-value
// store is slow and responses to commands are lost.
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

// TestTeamLimitDuringFailover: teams have used up their quotas when jobs on unreachable machines are
// cancelled and the leader changes. A task must not be released from its team's quota before it has
// certainly ended.
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

// TestZoneBoundJobs: machines crash or hang while they run jobs that are bound to one zone, gangs and
// spread jobs.
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
