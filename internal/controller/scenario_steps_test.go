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

// What the scenarios of whole nodes share.

// stream submits n jobs, one each interval, and returns them.
func (c *cluster) stream(first, n int, every time.Duration, change func(k int, j *wire.Job)) (jobs []*wire.Job) {
	for k := range n {
		j := fake.NewJob(fmt.Sprintf("job-%06d", first+k), 3, nil)
		if change != nil {
			change(k, j)
		}
		jobs = append(jobs, j)
		c.users.Submit(j)
		time.Sleep(every)
	}
	return jobs
}

// long has all jobs whose number is even run for long, as their tasks would still
// go on when all troubles are over. Pipelines are short.
func long(d time.Duration) func(task string) time.Duration {
	return func(task string) time.Duration {
		ref, _, _ := wire.ParseTaskName(task)
		if strings.HasPrefix(ref, "job-0") && strings.Contains("02468", ref[len(ref)-1:]) {
			return d
		}
		return 8 * time.Second
	}
}

// running waits until so many tasks are on machines.
func (c *cluster) running(n int) {
	c.await(fmt.Sprintf("%d tasks on machines", n), time.Minute, func() bool { on, _ := c.check.On(""); return on >= n })
}

// changed waits until another node leads than did, or the same in a new term.
func (c *cluster) changed() {
	was := c.state.Version(election.LeaderKey)
	c.await("another leader", 30*time.Second, func() bool { return c.leader() >= 0 && c.state.Version(election.LeaderKey) != was })
}

// away are the ways in which a machine can't be reached.
var away = map[string]func(w *fake.Worker, on bool){
	"hang": (*fake.Worker).Hang, "deaf": (*fake.Worker).CutInbound, "mute": (*fake.Worker).CutOutbound,
}

// half is every other one.
func half[T any](all []T) (out []T) {
	for i := 0; i < len(all); i += 2 {
		out = append(out, all[i])
	}
	return out
}

// eachSeed runs a scenario with several seeds, since where the troubles fall is
// left to chance in some.
func eachSeed(t *testing.T, p plan, scenario func(c *cluster, r *rand.Rand)) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := p
			p.seed = seed
			inCluster(t, p, func(c *cluster) { scenario(c, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

// some picks a time between two.
func some(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}
