package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"leadproxy/internal/fake"
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

// submitCancelledPipeline submits job-070000, cancels it, and has the followers accept a chain of the
// given length that depends on it. The leader accepts the last job, whose ID is returned. Its status
// must be cancelled at once.
func (c *cluster) submitCancelledPipeline(length int) (last *wire.Job) {
	c.t.Helper()
	jobID := func(i int) string { return fmt.Sprintf("job-07%04d", i) }
	first := newClusterJob(jobID(0))
	c.submitTo(c.leader(), first)
	if code, status := c.users.RetryUntilFinal(fake.RequestCancel, first.ID, nil); status != wire.JobCancelled {
		c.t.Errorf("cancellation of the first job: %d %s, want %s", code, status, wire.JobCancelled)
	}
	for i := 1; i <= length; i++ {
		c.submitTo(c.follower(), newClusterJob(jobID(i), jobID(i-1)))
	}
	last = newClusterJob(jobID(length+1), jobID(length))
	c.submitTo(c.leader(), last)
	return last
}

// TestCancelledDependentIsNotCalledQueuedWhileTheWatchIsLost: the leader accepts a job whose
// predecessor another controller has accepted, and which is cancelled with it. No controller may then
// call it queued.
func TestCancelledDependentIsNotCalledQueuedWhileTheWatchIsLost(t *testing.T) {
	for _, length := range []int{1, 3} {
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
// while pipelines are submitted and cancelled and the leader restarts.
func TestPipelinesWithLossyReads(t *testing.T) {
	runWithSeeds(t, clusterConfig{maxMachines: 30}, func(c *cluster, random *rand.Rand) {
		time.Sleep(5 * time.Second) // all controllers have announced their capabilities
		c.watchFaults.Store(c.randomFaults(0.5, fake.ResponseLost, 0, 0))
		c.readFaults.Store(c.randomFaults(0.05, fake.ResponseLate, 0, 3*time.Second))
		c.cancelPipelinesWhileSubmitted(0, 10)
		for round := range 3 {
			c.restart(c.leader(), randomDuration(random, 200*time.Millisecond, 4*time.Second))
			c.cancelPipelinesWhileSubmitted(10*(round+1), 10)
		}
		c.readFaults.Store(c.randomFaults(0.05, fake.ResponseLost, 0, 0))
		c.cancelPipelinesWhileSubmitted(40, 10)
		c.watchFaults.Store(nil)
		c.readFaults.Store(nil)
	})
}
