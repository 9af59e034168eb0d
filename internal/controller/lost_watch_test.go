package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// In the tests of this file the leader's watch of the job records loses or delays its responses, so
// that the leader does not know jobs which other controllers have accepted.

// newClusterJob returns a job with one task that depends on other jobs.
func newClusterJob(jobID string, dependsOn ...string) *wire.Job {
	return fake.NewJob(jobID, 1, func(j *wire.Job) { j.DependsOn = dependsOn })
}

// submitTo submits a job to one controller until it is accepted, and returns the first status.
func (c *cluster) submitTo(controller int, j *wire.Job) (status string) {
	c.t.Helper()
	c.checker.RecordSubmission(j, true)
	for range 20 {
		code, status := c.users.Call(controller, fake.RequestSubmit, j.ID, j)
		if code == http.StatusCreated || code == http.StatusOK {
			return status
		}
		time.Sleep(time.Second)
	}
	c.t.Errorf("job %s was not accepted by %s", j.ID, c.controllerName(controller))
	return ""
}

// loseJobWatches loses all responses to the leader's watch of the job records from now on. It
// submits a job that the watch which is open already reports.
func (c *cluster) loseJobWatches() {
	c.watchFaults.Store(c.randomFaults(1, fake.ResponseLost, 0, 0))
	reported := newClusterJob("job-079999")
	c.submitTo(c.leader(), reported)
	c.users.Poll(reported)
	time.Sleep(time.Second)
}

// chainJobID returns the ID of the i-th job of a chain. A job's ID sorts before that of its
// predecessor.
func chainJobID(i int) string { return fmt.Sprintf("job-%06d", 79000-i) }

// submitCancelled submits the first job of a chain and cancels it.
func (c *cluster) submitCancelled() {
	c.t.Helper()
	first := newClusterJob(chainJobID(0))
	c.submitTo(c.leader(), first)
	if code, status := c.users.RetryUntilFinal(fake.RequestCancel, first.ID, nil); status != wire.JobCancelled {
		c.t.Errorf("cancellation of the first job: %d %s, want %s", code, status, wire.JobCancelled)
	}
}

// submitCancelledPipeline submits and cancels the first job of a chain, and has a follower accept the
// given number of jobs after it. The leader accepts the last job, which is returned.
func (c *cluster) submitCancelledPipeline(length int) (last *wire.Job) {
	c.t.Helper()
	c.submitCancelled()
	for i := 1; i <= length; i++ {
		c.submitTo(c.follower(), newClusterJob(chainJobID(i), chainJobID(i-1)))
	}
	last = newClusterJob(chainJobID(length+1), chainJobID(length))
	c.submitTo(c.leader(), last)
	return last
}

// TestCancelledDependentIsNotCalledQueuedWhileTheWatchIsLost: the leader accepts a job whose
// predecessor another controller has accepted, and which is cancelled with it. No controller may then
// call it queued.
func TestCancelledDependentIsNotCalledQueuedWhileTheWatchIsLost(t *testing.T) {
	for _, length := range []int{1, 3, 70} {
		t.Run(fmt.Sprintf("%d jobs that the leader has not seen", length), func(t *testing.T) {
			runScenarioOnce(t, clusterConfig{}, false, func(c *cluster) {
				time.Sleep(5 * time.Second) // all controllers have announced their capabilities
				c.loseJobWatches()
				last := c.submitCancelledPipeline(length)
				for range 5 {
					c.users.QueryEverywhere(last.ID, last)
					time.Sleep(time.Second)
				}
				c.watchFaults.Store(nil)
			})
		})
	}
}

// TestNewLeaderDoesNotCallACancelledDependentQueued: a new leader accepts a job while it reads the
// ledger, which lacks the job's predecessor, and its watch reports the predecessor late.
func TestNewLeaderDoesNotCallACancelledDependentQueued(t *testing.T) {
	runScenarioOnce(t, clusterConfig{}, false, func(c *cluster) {
		time.Sleep(5 * time.Second) // all controllers have announced their capabilities
		c.submitCancelled()
		late := fake.FaultInjector(func(_ string, r *http.Request) fake.InjectedFault {
			if r.FormValue("under") != ledger.JobPrefix {
				return fake.InjectedFault{}
			}
			return fake.InjectedFault{Kind: fake.ResponseLate, Delay: 2 * time.Second}
		})
		c.readFaults.Store(&late)
		c.watchFaults.Store(&late)
		c.kill(c.leader())
		c.awaitNewTerm()
		time.Sleep(time.Second)
		c.submitTo(c.follower(), newClusterJob(chainJobID(1), chainJobID(0)))
		last := newClusterJob(chainJobID(2), chainJobID(1))
		c.submitTo(c.leader(), last)
		for range 30 {
			c.users.QueryEverywhere(last.ID, last)
			time.Sleep(200 * time.Millisecond)
		}
		c.readFaults.Store(nil)
		c.watchFaults.Store(nil)
		c.startAll()
	})
}

// TestDependentsAreAnsweredDuringALongOutage: the key-value store is out for longer than a job may go
// unanswered, right after the leader has accepted a job whose predecessors its watch has not reported.
func TestDependentsAreAnsweredDuringALongOutage(t *testing.T) {
	runScenarioOnce(t, clusterConfig{}, false, func(c *cluster) {
		time.Sleep(5 * time.Second) // all controllers have announced their capabilities
		c.loseJobWatches()
		last := c.submitCancelledPipeline(3)
		c.store.SetOutage(true)
		for range 20 {
			time.Sleep(5 * time.Second)
			for i := range 5 {
				c.wantAnswered(chainJobID(i), wire.JobCancelled)
			}
		}
		c.store.SetOutage(false)
		c.watchFaults.Store(nil)
		c.users.QueryEverywhere(last.ID, last)
	})
}

// wantAnswered fails the test unless a controller answers a status request with the given status.
func (c *cluster) wantAnswered(jobID, want string) {
	c.t.Helper()
	for i := range c.controllers {
		if _, status := c.users.Call(i, fake.RequestStatus, jobID, nil); status == want {
			return
		}
	}
	c.t.Errorf("no controller answers that %s is %s", jobID, want)
}

// TestDependentsOfAMalformedRecordAreAnswered: the record of a job can no longer be decoded. The jobs
// that depend on it must not run, but users are told that they are queued, until it is repaired.
func TestDependentsOfAMalformedRecordAreAnswered(t *testing.T) {
	runScenarioOnce(t, clusterConfig{}, false, func(c *cluster) {
		time.Sleep(5 * time.Second) // all controllers have announced their capabilities
		leader := c.leader()
		first := newClusterJob(chainJobID(0))
		c.submitTo(leader, first)
		c.submitTo(leader, newClusterJob(chainJobID(1), first.ID))
		c.submitTo(leader, newClusterJob(chainJobID(2), chainJobID(1)))
		key := ledger.JobKey(first.ID)
		record := string(c.store.Value(key))
		c.kill(leader)
		c.store.Put(key, `[]`)
		c.awaitNewTerm()
		time.Sleep(5 * time.Second)
		for _, jobID := range []string{chainJobID(1), chainJobID(2)} {
			for i := range c.controllers {
				if code, status := c.users.Call(i, fake.RequestStatus, jobID, nil); i != leader && status != wire.JobQueued {
					t.Errorf("status of %s at %s: %d %s, want %s", jobID, c.controllerName(i), code, status, wire.JobQueued)
				}
			}
		}
		c.store.Put(key, record)
		c.startAll()
		for i := range 3 {
			c.users.Poll(newClusterJob(chainJobID(i)))
		}
	})
}

// cancelPipelinesWhileSubmitted submits pipelines of all shapes one after the other. The first job of
// each is cancelled while the others are submitted, all of them at random controllers.
func (c *cluster) cancelPipelinesWhileSubmitted(firstNumber, count int) {
	for i := range count {
		c.users.Go(func() {
			jobID := func(stage int) string { return fmt.Sprintf("job-0%04d%d", firstNumber+i, stage) }
			for stage, parents := range pipelineShapes[i%len(pipelineShapes)].dependsOn {
				j := newClusterJob(jobID(stage))
				for _, parent := range parents {
					j.DependsOn = append(j.DependsOn, jobID(parent))
				}
				if !c.users.SubmitAndAwait(j) {
					c.t.Errorf("job %s was not accepted", j.ID)
				}
				c.users.QueryEverywhere(j.ID, j)
				c.users.Poll(j)
				if stage == 0 {
					c.users.Cancel(j)
				}
			}
		})
		time.Sleep(2 * time.Second)
	}
}

// TestPipelinesWithLossyReads: watches, reads and listings lose or delay a share of their responses,
// while pipelines are submitted and cancelled, the leader restarts and the store is compacted.
func TestPipelinesWithLossyReads(t *testing.T) {
	runWithSeeds(t, clusterConfig{maxMachines: 30}, func(c *cluster, random *rand.Rand) {
		time.Sleep(5 * time.Second) // all controllers have announced their capabilities
		c.watchFaults.Store(c.randomFaults(0.5, fake.ResponseLost, 0, 0))
		c.readFaults.Store(c.randomFaults(0.05, fake.ResponseLate, 0, 3*time.Second))
		c.cancelPipelinesWhileSubmitted(0, 10)
		for round := range 3 {
			c.restart(c.leader(), randomDuration(random, 200*time.Millisecond, 4*time.Second))
			c.cancelPipelinesWhileSubmitted(10*(round+1), 5)
			c.store.Compact() // the leader's next watch has it read all records anew
			c.cancelPipelinesWhileSubmitted(10*(round+1)+5, 5)
		}
		c.readFaults.Store(c.randomFaults(0.05, fake.ResponseLost, 0, 0))
		c.cancelPipelinesWhileSubmitted(40, 10)
		c.watchFaults.Store(nil)
		c.readFaults.Store(nil)
	})
}

// TestTasksSurviveAFailoverWhileElectionWatchesAreLost: the followers' watches of the leader key lose
// their responses, and the leader fails at different moments of these watches. A new one must lead
// before the agents' leases expire.
func TestTasksSurviveAFailoverWhileElectionWatchesAreLost(t *testing.T) {
	for offset := 30 * time.Second; offset < 54*time.Second; offset += 4 * time.Second {
		t.Run(fmt.Sprint("the leader fails after ", offset), func(t *testing.T) {
			config := clusterConfig{runTime: func(string) time.Duration { return 2 * time.Minute }}
			runScenarioOnce(t, config, false, func(c *cluster) {
				c.submitJobs(0, 4, time.Second, nil)
				c.awaitRunning(12)
				c.electionFaults.Store(c.randomFaults(1, fake.ResponseLost, 0, 0))
				time.Sleep(offset) // the watches that were open before have ended
				failed := time.Now()
				c.kill(c.leader())
				c.awaitNewTerm()
				if took := time.Since(failed); took >= agentLease {
					t.Errorf("a new leader was elected %s after the failure, want less than the agents' lease of %s", took, agentLease)
				}
				time.Sleep(agentLease)
				for task, runs := range countRuns(c.checker.TaskRuns()) {
					if runs > 1 {
						t.Errorf("task %s was started %d times, want once", task, runs)
					}
				}
				c.electionFaults.Store(nil)
				c.startAll()
			})
		})
	}
}

// countRuns returns how often each task was started.
func countRuns(runs []fake.TaskRun) map[string]int {
	counts := map[string]int{}
	for _, run := range runs {
		counts[run.Task]++
	}
	return counts
}
