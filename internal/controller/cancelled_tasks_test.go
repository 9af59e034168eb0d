package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// Tasks of cancelled jobs on machines that the stop did not reach. Whoever answers such a
// machine renews its lease, and must have it stop them with that same answer.

// runUntilCancelled has all jobs but pipelines run until they are cancelled.
func runUntilCancelled(task string) time.Duration {
	if strings.HasPrefix(task, "job-0") {
		return time.Hour
	}
	return 8 * time.Second
}

// TestCancelledOnMachineBeingReturned: users were told that their jobs are cancelled, and
// tasks of them were still running a minute later, until their machines were deleted.
//
// Order of events: machines hung, for less than their lease; their jobs were cancelled and
// the stops did not arrive; after four rounds without an acknowledgement the leader asked the cloud to
// delete the machines, and the cloud was out of order; the machines continued and sent heartbeats.
//
// Cause: a machine whose deletion is asked for did not count as one that may be sent
// commands, so its heartbeats were answered with 200 and no commands. Each renewed its lease.
//
// Evidence: 7 of 8 simulated days with eight hung machines and the cloud out of order broke
// the rule, and none of 8 without the hang or without the cloud's outage. A leader's log of
// such a day has nothing about the task from its cancellation until the cloud answers again
// two minutes later and its machine is deleted.
func TestCancelledOnMachineBeingReturned(t *testing.T) {
	for _, test := range []struct {
		pace agentTimings
		hang time.Duration
	}{{defaultTimings, 15 * time.Second}, {rareHeartbeats, 33 * time.Second}} {
		t.Run(fmt.Sprint(test.pace.heartbeat), func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: runUntilCancelled, timings: test.pace}, func(c *cluster) {
				jobs := c.submitJobs(0, 8, 300*time.Millisecond, func(_ int, j *wire.Job) { j.CPUs = 4 })
				c.awaitRunning(20)
				// Not most machines and no whole zone: that would be taken for a cut, and
				// nothing would be returned.
				hung := map[string]*fake.Agent{}
				for i, agent := range c.cloud.Agents() {
					if i%3 == 0 {
						agent.SetHung(true)
						hung[agent.Addr()] = agent
					}
				}
				c.commandsDelayed = true // what a machine was fetching for when it hung begins when it continues
				lost := fake.FaultInjector(func(_ string, r *http.Request) fake.InjectedFault {
					if hung[r.Host] != nil {
						return fake.InjectedFault{Kind: fake.RequestLost}
					}
					return fake.InjectedFault{}
				})
				c.commandFaults.Store(&lost)
				c.deleteFaults.Store(c.randomFaults(1, fake.Unavailable, 0, 0))
				for _, j := range jobs {
					c.users.Cancel(j)
				}
				time.Sleep(test.hang)
				c.commandFaults.Store(nil)
				for _, agent := range hung {
					agent.SetHung(false)
				}
				time.Sleep(test.pace.cancel + 10*time.Second)
				c.deleteFaults.Store(nil)
			})
		})
	}
}

// TestCancelledDuringSeriesOfLeaders: users were told that their jobs are cancelled, and a
// minute later tasks of them were still running, with leaders ending one after the other and
// commands lost throughout.
//
// Cause: a new leader's first response to a worker had no commands, since what a machine lists
// before it acknowledges the term's fencing token may be an old copy. It renewed the lease all the same.
// Where heartbeats are rare, and a higher fencing token is no reason for another one so soon, that
// was the only answer that a worker got from each of several leaders.
//
// Evidence: 2 of 120 plays broke the rule; in others tasks outlived four leaders.
func TestCancelledDuringSeriesOfLeaders(t *testing.T) {
	for _, duration := range []time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprint(duration), func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: runUntilCancelled, timings: rareHeartbeats}, func(c *cluster) {
				jobs := c.submitJobs(0, 8, 300*time.Millisecond, func(_ int, j *wire.Job) { j.CPUs = 4 })
				c.awaitRunning(20)
				c.commandFaults.Store(c.randomFaults(1, fake.RequestLost, 0, 0))
				for _, j := range jobs {
					c.users.Cancel(j)
				}
				for range 12 {
					c.restart(c.leader(), 200*time.Millisecond)
					time.Sleep(duration)
					c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
				}
				c.commandFaults.Store(nil)
			})
		})
	}
}

// TestCancelledJobWhoseRecordIsDamaged: a job is cancelled and that is confirmed, the stops are lost, and
// the leader ends; the next one can't read the job's record. It knew nothing of the job, passed
// over its tasks in heartbeats, and answered them with 200: they would have run for ever.
//
// Evidence: in 6 of 6 plays all tasks were there when the test ended, each response having
// renewed the lease without a stop.
func TestCancelledJobWhoseRecordIsDamaged(t *testing.T) {
	runScenario(t, clusterConfig{runTime: runUntilCancelled}, func(c *cluster) {
		job := c.submitJobs(0, 1, time.Second, nil)[0]
		c.awaitRunning(1)
		c.commandFaults.Store(c.randomFaults(1, fake.RequestLost, 0, 0))
		c.users.Cancel(job)
		key := ledger.JobKey(job.ID)
		c.await("the cancellation recorded", 10*time.Second, func() bool { return strings.Contains(string(c.store.Value(key)), wire.JobCancelled) })
		original := string(c.store.Value(key))
		c.kill(c.leader())
		c.store.Put(key, "[]")
		time.Sleep(cancelLimit + 10*time.Second)
		if running, _ := c.checker.TaskCounts(job.ID); running > 0 {
			t.Errorf("%d of its tasks run on", running)
		}
		c.commandFaults.Store(nil)
		c.store.Put(key, original) // an operator mends it, and the next leader tidies up
		c.startAll()
		c.restart(c.leader(), time.Second)
	})
}
