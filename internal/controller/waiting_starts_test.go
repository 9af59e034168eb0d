package controller

import (
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// TestCancelWhileStartsWait guards against a start command that waits in the leader's batch of
// responses to forwarded heartbeats and is sent after its job's cancellation was confirmed. Machines
// are full and send heartbeats often, so that most start commands are in waiting responses, and jobs
// are cancelled when their first starts are decided.
func TestCancelWhileStartsWait(t *testing.T) {
	runTime := func(string) time.Duration { return 1500 * time.Millisecond }
	frequentHeartbeats := agentTimings{heartbeat: 600 * time.Millisecond, lease: agentLease, cancel: cancelLimit}
	runScenario(t, clusterConfig{maxMachines: 8, runTime: runTime, timings: frequentHeartbeats}, func(c *cluster) {
		for k := range 150 {
			job := c.submitJobs(k, 1, 100*time.Millisecond, func(_ int, j *wire.Job) { j.Tasks = 6 })[0]
			if k%3 == 0 {
				c.users.Go(func() { c.cancelAtFirstStart(job) })
			}
		}
	})
}

// cancelAtFirstStart cancels a job when the machine of its first task is recorded, which is right
// before the first start command.
func (c *cluster) cancelAtFirstStart(job *wire.Job) {
	for c.store.Value("host/"+job.ID+"/0") == nil && c.t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	c.users.RetryUntilFinal(fake.RequestCancel, job.ID, nil)
}
