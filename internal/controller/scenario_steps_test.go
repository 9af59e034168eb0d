package controller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// submitJobs submits n jobs of three tasks, one per interval, with IDs numbered from first. change,
// unless nil, alters the k-th job.
func (c *cluster) submitJobs(first, n int, interval time.Duration, change func(k int, j *wire.Job)) (jobs []*wire.Job) {
	for k := range n {
		j := fake.NewJob(fmt.Sprintf("job-%06d", first+k), 3, nil)
		if change != nil {
			change(k, j)
		}
		jobs = append(jobs, j)
		c.users.Submit(j)
		time.Sleep(interval)
	}
	return jobs
}

// longRunning makes the tasks of jobs with even numbers run for runTime, so that they are still
// running after the last fault. Other jobs, and those of pipelines, run for 8 s.
func longRunning(runTime time.Duration) func(task string) time.Duration {
	return func(task string) time.Duration {
		jobID := wire.JobIDOfTask(task)
		if strings.HasPrefix(jobID, "job-0") && strings.Contains("02468", jobID[len(jobID)-1:]) {
			return runTime
		}
		return 8 * time.Second
	}
}

// awaitRunning waits until at least n tasks are running.
func (c *cluster) awaitRunning(n int) {
	c.await(fmt.Sprintf("%d running tasks", n), time.Minute, func() bool { running, _ := c.checker.TaskCounts(""); return running >= n })
}

// awaitNewTerm waits until a new term begins, of the same or another controller.
func (c *cluster) awaitNewTerm() {
	previousVersion := c.store.Version(election.LeaderKey)
	c.await("a new term", 30*time.Second, func() bool { return c.leader() >= 0 && c.store.Version(election.LeaderKey) != previousVersion })
}

// unreachableModes are the ways in which a machine can be unreachable: its agent hangs, receives
// no connections ("deaf"), or can't open any ("mute").
var unreachableModes = map[string]func(agent *fake.Agent, on bool){
	"hang": (*fake.Agent).SetHung, "deaf": (*fake.Agent).SetInboundCut, "mute": (*fake.Agent).SetOutboundCut,
}

// everyOther returns every second element, starting with the first.
func everyOther[T any](all []T) (selected []T) {
	for i := 0; i < len(all); i += 2 {
		selected = append(selected, all[i])
	}
	return selected
}

// runWithSeeds runs a scenario with four seeds, which determine when its random faults occur.
func runWithSeeds(t *testing.T, config clusterConfig, scenario func(c *cluster, r *rand.Rand)) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			config := config
			config.seed = seed
			runScenario(t, config, func(c *cluster) { scenario(c, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

// randomDuration returns a random duration from shortest up to, but not including, longest.
func randomDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}
