package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// The key-value store loses answers, delays transactions, is slow or takes less. docs/failures.md lists the
// code that handles each combination. The same must hold for all: the checker checks it all
// the time, and runScenario ends a test only when all that was accepted is served.

// TestLostTransactionAnswers: a transaction is carried out at once and only its answer
// is lost, while other controllers read what it wrote.
func TestLostTransactionAnswers(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: longRunning(20 * time.Second)}, func(c *cluster, _ *rand.Rand) {
		c.writeFaults.Store(c.randomFaults(0.3, fake.ResponseLost, 0, 0))
		jobs := c.submitJobs(0, 20, 400*time.Millisecond, nil)
		for _, j := range everyOther(jobs) {
			c.users.Cancel(j)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		c.kill(c.leader())
		time.Sleep(20 * time.Second)
		c.writeFaults.Store(nil)
	})
}

// TestDelayedTransactions: a transaction without an answer is carried out 2 to 12 s
// later, after newer ones of the same controller; a record of unreachable machines and
// its withdrawal among them.
func TestDelayedTransactions(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: longRunning(20 * time.Second)}, func(c *cluster, _ *rand.Rand) {
		c.writeFaults.Store(c.randomFaults(0.25, fake.Delayed, 2*time.Second, 12*time.Second))
		jobs := c.submitJobs(0, 20, 400*time.Millisecond, nil)
		for _, agent := range everyOther(c.cloud.Agents()) {
			agent.SetOutboundCut(true)
		}
		for _, j := range everyOther(jobs) {
			c.users.Cancel(j)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(9 * time.Second)
		for _, agent := range c.cloud.Agents() {
			agent.SetOutboundCut(false)
		}
		c.restart(c.leader(), 500*time.Millisecond)
		c.submitJobs(100, 10, 400*time.Millisecond, nil)
		time.Sleep(20 * time.Second)
		c.writeFaults.Store(nil)
	})
}

// TestSlowStore: the key-value store answers slowly, or refuses the leader
// alone and then everybody for longer than cancel_s, while users cancel and query.
func TestSlowStore(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1600 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: longRunning(60 * time.Second)}, func(c *cluster) {
				jobs := c.submitJobs(0, 10, 300*time.Millisecond, nil)
				c.awaitRunning(10)
				c.store.SetDelay(delay)
				for _, j := range everyOther(jobs) {
					c.users.Cancel(j)
					time.Sleep(time.Second)
				}
				leader := c.leader()
				if leader >= 0 {
					c.store.SetRefused(c.controllerName(leader), true)
				}
				for _, j := range jobs[:4] {
					c.users.QueryEverywhere(j.ID, j)
					time.Sleep(500 * time.Millisecond)
				}
				c.store.SetOutage(true)
				for range 6 {
					c.users.QueryEverywhere(jobs[0].ID, jobs[0])
					c.users.Cancel(jobs[1])
					time.Sleep(cancelLimit / 5)
				}
				c.store.SetDelay(0)
				c.store.SetOutage(false)
				if leader >= 0 {
					c.store.SetRefused(c.controllerName(leader), false)
				}
			})
		})
	}
}

// TestStoreLimitsLowered: the key-value store takes smaller values, smaller transactions
// and fewer writes from some moment on, without notice: in the middle of work, as a
// leader ends, at the end of an outage, or before all controllers are known to be upgraded.
func TestStoreLimitsLowered(t *testing.T) {
	lowerLimits := settings.StoreLimits{RPS: 200, WriteRPS: 40, ValueKB: 1, TxnOps: 5}
	for name, scenario := range map[string]func(c *cluster, reduceLimits func()){
		"in the middle": func(_ *cluster, reduceLimits func()) { reduceLimits() },
		"as the leader ends": func(c *cluster, reduceLimits func()) {
			reduceLimits()
			c.restart(c.leader(), 2*time.Second)
		},
		"just before it ends": func(c *cluster, reduceLimits func()) {
			c.kill(c.leader())
			reduceLimits()
		},
		"at the end of an outage": func(c *cluster, reduceLimits func()) {
			c.store.SetOutage(true)
			time.Sleep(15 * time.Second)
			reduceLimits()
			c.store.SetOutage(false)
		},
		"while a controller is missing": func(c *cluster, reduceLimits func()) {
			c.kill(c.follower())
			reduceLimits()
		},
		"before all controllers are known": func(_ *cluster, reduceLimits func()) {
			time.Sleep(6 * time.Second)
			reduceLimits()
		},
	} {
		t.Run(name, func(t *testing.T) {
			// Every other task ends soon, and of the rest every other one a little later:
			// their ranges are more than a small value holds.
			runTime := func(task string) time.Duration {
				taskName, _ := wire.ParseTaskName(task)
				return []time.Duration{3 * time.Second, 25 * time.Second, 3 * time.Second, 63 * time.Second}[taskName.Index%4]
			}
			notStarted := 0
			if name == "before all controllers are known" {
				notStarted = 1
			}
			runScenario(t, clusterConfig{nextLimits: &lowerLimits, maxMachines: 40, runTime: runTime, notStarted: notStarted}, func(c *cluster) {
				jobs := c.submitJobs(0, 3, 500*time.Millisecond, func(_ int, j *wire.Job) { j.Tasks, j.CPUs = 600, 0.25 })
				c.awaitRunning(300)
				scenario(c, func() { c.store.SetLimits(lowerLimits) })
				time.Sleep(20 * time.Second)
				if largest := c.store.LargestValueBytes("fin/"); largest > 1024 && notStarted == 0 {
					t.Errorf("%d bytes of finished tasks in a value, all controllers being upgraded", largest)
				} else if largest <= 1024 && notStarted > 0 {
					t.Error("nothing was written as an older version reads it")
				}
				if c.store.Count("fin/job-000000/0.") == 0 {
					t.Error("no finished tasks are written in parts")
				}
				c.users.Cancel(jobs[2])
				c.submitJobs(100, 6, 500*time.Millisecond, nil)
				time.Sleep(20 * time.Second)
				c.startAll()
			})
		})
	}
}
