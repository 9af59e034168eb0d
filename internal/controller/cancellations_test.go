package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// In the tests of this file users cancel jobs while several failures coincide. docs/failures.md lists
// the code that handles each combination. In each test the checker verifies the invariants
// throughout, and runScenario fails unless all accepted jobs are served in the end.

// TestCancelThenOutage: the key-value store refuses only the leader, cancellations are confirmed
// through another controller, and then the store is unavailable to all for longer than cancel_s,
// while agents keep sending heartbeats. A controller that renews agents' leases must know about the
// confirmed cancellations, or the cancelled tasks would run on.
func TestCancelThenOutage(t *testing.T) {
	for _, gap := range []time.Duration{0, 200 * time.Millisecond, time.Second, 2 * time.Second, 2500 * time.Millisecond, 2800 * time.Millisecond,
		2900 * time.Millisecond, 3 * time.Second, 3100 * time.Millisecond, 3300 * time.Millisecond, 3600 * time.Millisecond, 4 * time.Second, 5 * time.Second, 6 * time.Second} {
		for _, fault := range []string{"", "kill", "cut", "hang", "lost"} {
			t.Run(fmt.Sprint(gap, fault), func(t *testing.T) {
				runScenario(t, clusterConfig{runTime: longRunning(100 * time.Second)}, func(c *cluster) {
					jobs := c.submitJobs(0, 8, 300*time.Millisecond, nil)
					c.awaitRunning(10)
					leader := c.leader()
					c.store.SetRefused(c.controllerName(leader), true)
					if fault == "lost" {
						c.writeFaults.Store(c.randomFaults(1, fake.ResponseLost, 0, 0))
					}
					// Users cancel half of the jobs, repeating the requests, while the store
					// refuses only the leader.
					for _, j := range everyOther(jobs) {
						c.users.Cancel(j)
					}
					time.Sleep(gap)
					c.store.SetOutage(true)
					c.writeFaults.Store(nil)
					switch current := c.leader(); fault {
					case "kill": // and restart after 300 ms
						c.restart(leader, 300*time.Millisecond)
					case "cut":
						if current >= 0 {
							c.isolate(current, true)
						}
					case "hang":
						for _, agent := range everyOther(c.cloud.Agents()) {
							agent.SetHung(true)
						}
					}
					time.Sleep(15 * time.Second)
					for _, agent := range c.cloud.Agents() {
						agent.SetHung(false)
					}
					time.Sleep(cancelLimit)
					c.store.SetRefused(c.controllerName(leader), false)
					c.store.SetOutage(false)
					for i := range c.controllers {
						c.reconnect(i)
					}
				})
			})
		}
	}
}

// TestCancelThenOutageWithSlowStore: the key-value store refuses the leader and is so slow for the
// other controllers that they extend the leader's lease, since they can't distinguish that from an
// outage. Then one of them wins the election and users cancel jobs through it, while half of the
// agents reach only the former leader. Either the former leader stops responding to agents, or no
// other controller confirms a cancellation; and cancellations must be confirmed within 40 s.
func TestCancelThenOutageWithSlowStore(t *testing.T) {
	for _, delay := range []time.Duration{250 * time.Millisecond, 350 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: longRunning(100 * time.Second)}, func(c *cluster) {
				jobs := c.submitJobs(0, 8, 300*time.Millisecond, nil)
				c.awaitRunning(20)
				leader := c.leader()
				agents := everyOther(c.cloud.Agents())
				for _, agent := range agents {
					for i := range c.controllers {
						if i != leader {
							c.net.Partition(agent.Name(), c.controllerName(i), false)
						}
					}
				}
				c.store.SetDelay(delay)
				c.store.SetRefused(c.controllerName(leader), true)
				began := time.Now()
				for _, j := range everyOther(jobs) {
					for c.users.CancelAt((leader+1)%len(c.controllers), j) == false && time.Since(began) < time.Minute {
						time.Sleep(500 * time.Millisecond)
					}
				}
				if took := time.Since(began); took > 40*time.Second {
					t.Errorf("cancellations took %s, want at most 40s", took)
				}
				time.Sleep(cancelLimit + 10*time.Second)
				c.store.SetDelay(0)
				c.store.SetRefused(c.controllerName(leader), false)
				for _, agent := range agents {
					for i := range c.controllers {
						c.net.Heal(agent.Name(), c.controllerName(i))
					}
				}
			})
		})
	}
}

// TestCancelConfirmedByRecord: the leader writes a cancellation, but the store's response is lost;
// other controllers read the record and report the job as cancelled. Then the store is unavailable to
// all for longer than cancel_s, and the leader keeps its term through extensions that the others
// grant, without learning that its write was applied.
func TestCancelConfirmedByRecord(t *testing.T) {
	runScenario(t, clusterConfig{runTime: longRunning(100 * time.Second)}, func(c *cluster) {
		jobs := c.submitJobs(0, 8, 300*time.Millisecond, nil)
		c.awaitRunning(10)
		for k, j := range everyOther(jobs) {
			parent := j.ID
			for i := range 2 { // a chain of two dependent jobs
				child := fake.NewJob(fmt.Sprintf("job-%06d", 200+100*i+k), 1, func(j *wire.Job) { j.DependsOn = []string{parent} })
				if c.users.SubmitAndAwait(child) {
					c.users.Poll(child)
				}
				parent = child.ID
			}
		}
		c.writeFaults.Store(c.randomFaults(1, fake.ResponseLost, 0, 0))
		for _, j := range everyOther(jobs) {
			c.users.Cancel(j)
		}
		time.Sleep(300 * time.Millisecond)
		for _, j := range everyOther(jobs) {
			c.users.QueryEverywhere(j.ID, j)
		}
		time.Sleep(200 * time.Millisecond)
		c.store.SetOutage(true)
		c.writeFaults.Store(nil)
		time.Sleep(cancelLimit + 20*time.Second)
		c.store.SetOutage(false)
	})
}

// TestCancelAtLastTask: a cancellation, a query or a repeated submission arrives when a job's last
// task ends, with no other fault.
func TestCancelAtLastTask(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: func(string) time.Duration { return 4 * time.Second }}, func(c *cluster, r *rand.Rand) {
		c.submitJobs(0, 1, 20*time.Second, nil) // machines have booted after that
		for k := range 30 {
			j := fake.NewJob(fmt.Sprintf("job-%06d", 10+k), 1, nil)
			c.users.Submit(j)
			done := func() bool { _, n := c.checker.TaskCounts(j.ID); return n == 1 }
			for end := time.Now().Add(30 * time.Second); !done() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(randomDuration(r, 0, 15*time.Millisecond))
			c.users.Cancel(j)
			c.users.QueryEverywhere(j.ID, j)
		}
	})
}

// TestCancelAtOnce: users cancel a job at the moment of its acceptance, through all controllers, and
// query it and repeat its submission everywhere.
func TestCancelAtOnce(t *testing.T) {
	runWithSeeds(t, clusterConfig{}, func(c *cluster, r *rand.Rand) {
		for k := range 30 {
			j := fake.NewJob(fmt.Sprintf("job-%06d", k), 2, nil)
			c.users.Submit(j)
			time.Sleep(randomDuration(r, 0, 12*time.Millisecond))
			for i := range c.controllers {
				c.users.Go(func() { c.users.Call(i, fake.RequestCancel, j.ID, nil) })
			}
			c.users.QueryEverywhere(j.ID, j)
			c.users.Cancel(j)
			time.Sleep(randomDuration(r, 100*time.Millisecond, 2*time.Second))
			if k == 15 {
				c.kill(c.leader())
			}
		}
		c.startAll()
	})
}

// TestCancelDuringLeaderChange: jobs are cancelled during the seconds in which leadership passes
// from one controller to another.
func TestCancelDuringLeaderChange(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: longRunning(60 * time.Second)}, func(c *cluster, r *rand.Rand) {
		jobs := c.submitJobs(0, 16, 200*time.Millisecond, nil)
		c.awaitRunning(20)
		c.users.Go(func() {
			for _, j := range everyOther(jobs) {
				c.users.Cancel(j)
				time.Sleep(randomDuration(r, 100*time.Millisecond, 900*time.Millisecond))
			}
		})
		time.Sleep(500 * time.Millisecond)
		c.restart(c.leader(), 800*time.Millisecond)
		time.Sleep(4 * time.Second)
		c.store.SetRefused(c.controllerName(max(c.leader(), 0)), true)
		time.Sleep(5 * time.Second)
		for i := range c.controllers {
			c.store.SetRefused(c.controllerName(i), false)
		}
	})
}
