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

// The steps that scenarios of whole controllers share.

// submitJobs submits n jobs, one each interval, and returns them.
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

// longRunning has all jobs whose number is even run for long, so that their tasks still run
// when all faults are over. Pipelines are short.
func longRunning(runTime time.Duration) func(task string) time.Duration {
	return func(task string) time.Duration {
		jobID := wire.JobIDOfTask(task)
		if strings.HasPrefix(jobID, "job-0") && strings.Contains("02468", jobID[len(jobID)-1:]) {
			return runTime
		}
		return 8 * time.Second
	}
}

// awaitRunning waits until that many tasks are on machines.
func (c *cluster) awaitRunning(n int) {
	c.await(fmt.Sprintf("%d tasks on machines", n), time.Minute, func() bool { running, _ := c.checker.TaskCounts(""); return running >= n })
}

// awaitNewTerm waits until another controller leads than did, or the same in a new term.
func (c *cluster) awaitNewTerm() {
	was := c.store.Version(election.LeaderKey)
	c.await("another leader", 30*time.Second, func() bool { return c.leader() >= 0 && c.store.Version(election.LeaderKey) != was })
}

// unreachableModes are the ways in which a machine is unreachable.
var unreachableModes = map[string]func(agent *fake.Agent, on bool){
	"hang": (*fake.Agent).SetHung, "deaf": (*fake.Agent).SetInboundCut, "mute": (*fake.Agent).SetOutboundCut,
}

// everyOther returns every other one.
func everyOther[T any](all []T) (selected []T) {
	for i := 0; i < len(all); i += 2 {
		selected = append(selected, all[i])
	}
	return selected
}

// runWithSeeds runs a scenario with several seeds, since where the faults fall is
// left to chance in some.
func runWithSeeds(t *testing.T, config clusterConfig, scenario func(c *cluster, r *rand.Rand)) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			config := config
			config.seed = seed
			runScenario(t, config, func(c *cluster) { scenario(c, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

// randomDuration returns a random duration between two.
func randomDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}
