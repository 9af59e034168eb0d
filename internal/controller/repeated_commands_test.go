package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// controllerRestarts are the ways in which controllers restart in the middle of a scenario.
var controllerRestarts = map[string]func(c *cluster, r *rand.Rand){
	"no controller restarts": func(*cluster, *rand.Rand) {},
	"the leader restarts": func(c *cluster, r *rand.Rand) {
		if leader := c.leader(); leader >= 0 {
			c.restart(leader, randomDuration(r, 100*time.Millisecond, time.Second))
		}
	},
	"all controllers restart": func(c *cluster, r *rand.Rand) {
		for i := range c.controllers {
			c.kill(i)
		}
		time.Sleep(randomDuration(r, time.Second, 7*time.Second))
		c.startAll()
	},
}

// TestRepeatedStarts guards against a task that a repeated command starts on a second machine: tasks
// move off machines with termination notices, their ended attempts are forgotten there, and copies of
// the commands that started them arrive while all, one or none of the controllers restart.
func TestRepeatedStarts(t *testing.T) {
	const (
		noticeTime = 12 * time.Second
		rounds     = 4
	)
	for name, restart := range controllerRestarts {
		t.Run(name, func(t *testing.T) {
			runWithSeeds(t, clusterConfig{maxMachines: 24, runTime: longRunning(40 * time.Second), directStarts: true}, func(c *cluster, r *rand.Rand) {
				c.commandFaults.Store(c.randomFaults(1, fake.Repeated, 500*time.Millisecond, 9*time.Second))
				for round := range rounds {
					// A first job leaves idle machines, on which direct commands start the others.
					c.submitJobs(100*round+1, 1, time.Second, func(_ int, j *wire.Job) { j.Tasks = 40 })
					c.awaitJobDone(fmt.Sprintf("job-%06d", 100*round+1))
					// Jobs with odd numbers can't save and keep their machines from being returned.
					c.submitJobs(100*round+10, 8, 100*time.Millisecond, func(k int, j *wire.Job) {
						if k%2 == 0 {
							j.CheckpointIntervalS, j.CheckpointDurationS = 5, 0.2
						}
					})
					noticed := everyOther(c.cloud.Agents())
					for _, agent := range noticed {
						agent.NoticeTermination(noticeTime)
					}
					time.Sleep(randomDuration(r, time.Second, 3*time.Second))
					restart(c, r)
					time.Sleep(noticeTime)
					for _, agent := range noticed {
						c.cloud.Terminate(agent.Name())
					}
				}
				c.commandFaults.Store(nil)
				time.Sleep(10 * time.Second) // the last copies arrive
			})
		})
	}
}

// awaitJobDone waits until all tasks of a job are done.
func (c *cluster) awaitJobDone(jobID string) {
	c.await("completion of "+jobID, 2*time.Minute, func() bool {
		_, done := c.checker.TaskCounts(jobID)
		return done == c.checker.Job(jobID).Tasks
	})
}
