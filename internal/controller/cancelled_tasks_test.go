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

// The tests of this file have tasks of cancelled jobs on machines that the stop commands did not
// reach. A response to such a machine's heartbeat renews its lease, so the same response must stop
// these tasks.

// runUntilCancelled makes all jobs except pipelines run until they are cancelled.
func runUntilCancelled(task string) time.Duration {
	if strings.HasPrefix(task, "job-0") {
		return time.Hour
	}
	return 8 * time.Second
}

// TestCancelledOnMachineBeingReturned guards against tasks of a cancelled job that run on after the
// bound. Machines hung for less than their lease, their jobs were cancelled, and the stop commands
// were lost. After four rounds without an acknowledgement the leader asked the cloud to delete the
// machines, but the cloud was unavailable. When the machines resumed, the leader sent no commands to
// machines that were being deleted, but responded to their heartbeats with 200, which renewed their
// leases. The tasks ran for two minutes more, until the cloud deleted the machines. This took both
// the hang and the cloud's outage: 7 of 8 simulated days with eight hung machines failed with both,
// none of 8 with one alone.
func TestCancelledOnMachineBeingReturned(t *testing.T) {
	for _, test := range []struct {
		timings      agentTimings
		hangDuration time.Duration
	}{{defaultTimings, 15 * time.Second}, {rareHeartbeats, 33 * time.Second}} {
		t.Run(fmt.Sprint(test.timings.heartbeat), func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: runUntilCancelled, timings: test.timings}, func(c *cluster) {
				jobs := c.submitJobs(0, 8, 300*time.Millisecond, func(_ int, j *wire.Job) { j.CPUs = 4 })
				c.awaitRunning(20)
				// Neither most machines nor a whole zone hangs: the leader would take that for a
				// network partition and return no machine.
				hung := map[string]*fake.Agent{}
				for i, agent := range c.cloud.Agents() {
					if i%3 == 0 {
						agent.SetHung(true)
						hung[agent.Addr()] = agent
					}
				}
				c.commandsDelayed = true // a task whose image was being fetched during the hang starts after it
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
				time.Sleep(test.hangDuration)
				c.commandFaults.Store(nil)
				for _, agent := range hung {
					agent.SetHung(false)
				}
				time.Sleep(test.timings.cancel + 10*time.Second)
				c.deleteFaults.Store(nil)
			})
		})
	}
}

// TestCancelledDuringSeriesOfLeaders guards against tasks of cancelled jobs that still run a minute
// later because leaders fail one after the other while all commands are lost. A new leader's first
// response to an agent had no commands, since a heartbeat that does not acknowledge the term's
// fencing token may be a late copy, but it renewed the agent's lease. With rare heartbeats, and a
// new fencing token being no reason for the next heartbeat to come sooner, that was the only
// response the agent got from each of several leaders. 2 of 120 runs failed; in others tasks outlived
// four leaders.
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

// TestCancelledJobWhoseRecordIsDamaged guards against tasks that run forever after a confirmed
// cancellation: the stop commands are lost, the leader fails, and the next leader can't read the
// job's record. It did not know the job, ignored its tasks in heartbeats and responded with 200,
// which renewed the lease without stopping them: in 6 of 6 runs all tasks were still running at the
// end.
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
			t.Errorf("%d tasks of the cancelled job still run, want none", running)
		}
		c.commandFaults.Store(nil)
		c.store.Put(key, original) // an operator repairs the record, and the next leader cleans up
		c.startAll()
		c.restart(c.leader(), time.Second)
	})
}
