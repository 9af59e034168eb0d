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

// In the tests of this file the key-value store loses responses, delays transactions, is slow, or
// lowers its limits. docs/failures.md lists the code that handles each combination. In each test the
// checker verifies the invariants throughout, and runScenario fails unless all accepted jobs are
// served in the end.

// TestLostTransactionAnswers: transactions are applied immediately but their responses are lost, while
// other controllers read what they wrote.
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

// TestDelayedTransactions: unanswered transactions are applied 2 to 12 s late, after newer ones of the
// same controller. Among them are the record of unreachable machines and its withdrawal.
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

// TestSlowStore: the key-value store is slow, then also refuses the leader, and then all controllers
// for longer than cancel_s, while users cancel and query jobs.
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

// TestStoreLimitsLowered: without notice, the key-value store lowers its limits on the size of values,
// the size of transactions and the rate of writes: during normal operation, when a leader fails, at
// the end of an outage, or before all controllers are known to be upgraded.
func TestStoreLimitsLowered(t *testing.T) {
	lowerLimits := settings.StoreLimits{RPS: 200, WriteRPS: 40, ValueKB: 1, TxnOps: 5}
	for name, scenario := range map[string]func(c *cluster, reduceLimits func()){
		"during normal operation": func(_ *cluster, reduceLimits func()) { reduceLimits() },
		"before the leader restarts": func(c *cluster, reduceLimits func()) {
			reduceLimits()
			c.restart(c.leader(), 2*time.Second)
		},
		"after the leader has failed": func(c *cluster, reduceLimits func()) {
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
			// Of four consecutive tasks, two end after 3 s, one after 25 s and one after 63 s, so that
			// the ranges of finished tasks need more than one small value.
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
					t.Errorf("a value has %d bytes of finished tasks although all controllers are upgraded, want at most 1024", largest)
				} else if largest <= 1024 && notStarted > 0 {
					t.Error("no value of finished tasks has the format of the older version, want one above 1024 bytes")
				}
				if c.store.Count("fin/job-000000/0.") == 0 {
					t.Error("no finished tasks are written in parts, want some")
				}
				c.users.Cancel(jobs[2])
				c.submitJobs(100, 6, 500*time.Millisecond, nil)
				time.Sleep(20 * time.Second)
				c.startAll()
			})
		})
	}
}
