package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// In the tests of this file leaders fail, are replaced and restart. docs/failures.md lists the code
// that handles each combination. In each test the checker verifies the invariants throughout, and
// runScenario fails unless all accepted jobs are served in the end.

// TestLeaderRestarts: leaders restart within a second; then all controllers fail, and one of them
// restarts some seconds before the others.
func TestLeaderRestarts(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: longRunning(40 * time.Second)}, func(c *cluster, r *rand.Rand) {
		c.submitJobs(0, 10, 300*time.Millisecond, nil)
		for range 3 {
			c.restart(c.leader(), randomDuration(r, 50*time.Millisecond, time.Second))
			time.Sleep(randomDuration(r, 100*time.Millisecond, 6*time.Second))
			c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
		}
		for i := range c.controllers {
			c.kill(i)
		}
		time.Sleep(randomDuration(r, 100*time.Millisecond, time.Second))
		c.start(r.IntN(len(c.controllers)))
		time.Sleep(randomDuration(r, 4*time.Second, 10*time.Second))
		c.startAll()
		c.submitJobs(100, 4, 300*time.Millisecond, nil)
	})
}

// TestAllControllersDown: all controllers are down for about the agents' lease, or twice as long.
func TestAllControllersDown(t *testing.T) {
	for _, downtime := range []time.Duration{agentLease - time.Second, agentLease + time.Second, 2 * agentLease} {
		t.Run(fmt.Sprint(downtime), func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: longRunning(50 * time.Second)}, func(c *cluster) {
				jobs := c.submitJobs(0, 10, 300*time.Millisecond, nil)
				c.awaitRunning(10)
				c.users.Cancel(jobs[0])
				time.Sleep(100 * time.Millisecond)
				for i := range c.controllers {
					c.kill(i)
				}
				time.Sleep(downtime)
				for i := range c.controllers {
					c.start(i)
				}
			})
		})
	}
}

// TestTenLeaderChanges: the leader restarts up to ten times in two minutes, also during an outage of
// the key-value store.
func TestTenLeaderChanges(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: longRunning(50 * time.Second)}, func(c *cluster, r *rand.Rand) {
		jobs := c.submitJobs(0, 10, 200*time.Millisecond, nil)
		for k := range 10 {
			if leader := c.leader(); leader >= 0 {
				c.restart(leader, randomDuration(r, 100*time.Millisecond, 4*time.Second))
			}
			if k == 4 {
				c.store.SetOutage(true)
			}
			if k == 6 {
				c.store.SetOutage(false)
			}
			if k%3 == 0 {
				c.users.Cancel(jobs[k])
			}
			time.Sleep(randomDuration(r, 2*time.Second, 12*time.Second))
		}
		c.store.SetOutage(false)
	})
}

// TestIsolatedLeader: the leader is partitioned from the key-value store and the other controllers,
// while agents and users still reach it, and jobs are cancelled through its successor.
func TestIsolatedLeader(t *testing.T) {
	for _, hold := range []bool{false, true} {
		for _, duration := range []time.Duration{5 * time.Second, agentLease + 3*time.Second, cancelLimit + 15*time.Second} {
			t.Run(fmt.Sprint(hold, duration), func(t *testing.T) {
				runScenario(t, clusterConfig{runTime: longRunning(80 * time.Second)}, func(c *cluster) {
					jobs := c.submitJobs(0, 10, 200*time.Millisecond, nil)
					c.awaitRunning(20)
					leader := c.leader()
					c.net.Partition(c.controllerName(leader), "state", hold)
					c.isolate(leader, hold)
					c.awaitNewTerm()
					for _, j := range everyOther(jobs) {
						c.users.Cancel(j)
					}
					time.Sleep(duration)
					c.net.Heal(c.controllerName(leader), "state")
					c.reconnect(leader)
				})
			})
		}
	}
}

// TestTasksEndFarApart: the tasks of jobs with two or three tasks end far apart, before and after a
// change of leader.
func TestTasksEndFarApart(t *testing.T) {
	runWithSeeds(t, clusterConfig{maxMachines: 2, runTime: longRunning(40 * time.Second)}, func(c *cluster, r *rand.Rand) {
		// The machines can't run all tasks of a job at the same time.
		c.submitJobs(0, 5, 200*time.Millisecond, func(k int, j *wire.Job) { j.Tasks, j.CPUs = 2+k%2, 5 })
		time.Sleep(randomDuration(r, 10*time.Second, 50*time.Second))
		c.restart(c.leader(), randomDuration(r, 100*time.Millisecond, 6*time.Second))
	})
}

// TestFailoverFromProduction: a leader of this version takes over from the version in production and
// restores all its records. An open job continues with its unfinished tasks, which machines may still
// be running; ended jobs keep their status; and new jobs can depend on both.
func TestFailoverFromProduction(t *testing.T) {
	open := `{"job":{"ref":"job-800001","lane":"c","owner":"open","shape":"batch","urgency":"high","pieces":5,"vcpus":1,"gpus":0,"mem_gb":2,` +
		`"bundle":"i","size_gb":0.5,"flavors":["m8"],"room":"a","together":false,"spread":false,"loaners":true,"guess_s":8,"snapshot_s":0,"flush_s":0,"due_s":90},"accepted_ms":946684790123}`
	aborted := strings.Replace(strings.Replace(open, "job-800001", "job-800002", 1), `"accepted_ms":946684790123}`, `"accepted_ms":946684790123,"fate":"aborted","tasks":5,"done":2}`, 1)
	ledger := map[string]string{
		"job/job-800001": open, "fin/job-800001/0": `[0,1,4,4]`, "host/job-800001/0": `["vm-900001","vm-900002"]`,
		"job/job-800002": aborted, "host/job-800002/0": `["vm-900002"]`,
		"job/job-800003": `{"accepted_ms":946684790123,"fate":"done","tasks":5,"done":5,"class":"c","team":"open","cores":7.5,"run_s":8.25}`,
		"gone/vm-900002": `true`, "silent/7-1": `{"over_ms":946684800500,"machines":["vm-900001"]}`, "silent/7-2": `{"over_ms":0,"machines":[]}`,
		"hire/h7-1": `{"hire":{"hire":"h7-1","flavor":"m8","room":"a","loaners":true,"number":2}}`,
	}
	runScenario(t, clusterConfig{ledger: ledger}, func(c *cluster) {
		for _, jobID := range []string{"job-800001", "job-800002", "job-800003"} {
			c.checker.RecordSubmission(fake.NewJob(jobID, 5, nil), true)
		}
		for _, task := range []string{"1/0", "1/1", "1/4", "3/0", "3/1", "3/2", "3/3", "3/4"} {
			c.checker.RecordTaskEnd("job-80000"+task, "vm-900001", true)
		}
		c.checker.RecordCancellation("job-800002")
		c.users.Call(0, fake.RequestStatus, "job-800001", nil)
		for jobID, want := range map[string]string{"job-800002": wire.JobCancelled, "job-800003": wire.JobDone} {
			if _, status := c.users.RetryUntilFinal(fake.RequestStatus, jobID, nil); status != want {
				t.Errorf("%s is %s, want %s", jobID, status, want)
			}
		}
		time.Sleep(5 * time.Second) // all controllers have announced their capabilities
		c.users.Submit(fake.NewJob("job-800004", 1, func(j *wire.Job) { j.DependsOn = []string{"job-800001", "job-800003"} }))
		c.users.Submit(fake.NewJob("job-800005", 1, func(j *wire.Job) { j.DependsOn = []string{"job-800002"} }))
		c.await("completion of the open job", time.Minute, func() bool {
			_, status := c.users.Call(1, fake.RequestStatus, "job-800001", nil)
			return status == wire.JobDone
		})
		if _, done := c.checker.TaskCounts("job-800001"); done != 5 {
			t.Errorf("%d tasks of the open job done, want 5", done)
		}
	})
}

// TestJobsSurviveTheirLeader runs jobs while messages are lost, duplicated and delayed, and kills
// first the leader and then all controllers. Every task of a job that is not cancelled must complete.
func TestJobsSurviveTheirLeader(t *testing.T) {
	every := func(pattern ...fake.FaultKind) *fake.FaultInjector {
		calls := make(chan int, 1)
		calls <- 0
		inject := fake.FaultInjector(func(string, *http.Request) fake.InjectedFault {
			k := <-calls
			calls <- k + 1
			return fake.InjectedFault{Kind: pattern[k%len(pattern)], Delay: 3 * time.Second}
		})
		return &inject
	}
	const ok = fake.NoFault
	runScenario(t, clusterConfig{runTime: func(task string) time.Duration {
		if strings.HasPrefix(task, "job-000003/") {
			return time.Hour
		}
		return 700 * time.Millisecond
	}}, func(c *cluster) {
		c.writeFaults.Store(every(ok, ok, ok, fake.ResponseLost, ok, ok, fake.Duplicated, ok, ok, fake.Delayed, ok, ok, fake.Unavailable))
		c.commandsDelayed = true
		c.commandFaults.Store(every(ok, ok, fake.ResponseLost, ok, fake.RequestLost, ok, ok, fake.Delayed, fake.Duplicated))
		c.scaleOutFaults.Store(every(ok, ok, fake.ResponseLost, ok, ok, ok, fake.Unavailable))
		jobs := c.submitJobs(1, 3, 0, func(_ int, j *wire.Job) { j.Tasks = 30 })
		c.await("some tasks done", 30*time.Second, func() bool { _, done := c.checker.TaskCounts(""); return done > 10 })
		leader := c.leader()
		c.kill(leader)
		c.users.Cancel(jobs[2])
		time.Sleep(5 * time.Second)
		c.start(leader)
		c.await("more tasks done", 60*time.Second, func() bool { _, done := c.checker.TaskCounts(""); return done > 30 })
		for i := range c.controllers {
			c.kill(i)
		}
		time.Sleep(6 * time.Second)
		for i := range c.controllers {
			c.start(i)
		}
	})
}
