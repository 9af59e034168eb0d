package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// TestRepeatedTransactions guards against records that come back: transactions that were carried out and
// answered arrive again, after the keys that they created were deleted, while all, one or none of the
// controllers restart.
func TestRepeatedTransactions(t *testing.T) {
	for name, restart := range controllerRestarts {
		t.Run(name, func(t *testing.T) {
			runWithSeeds(t, clusterConfig{runTime: func(string) time.Duration { return time.Second }}, func(c *cluster, r *rand.Rand) {
				c.writeFaults.Store(c.randomFaults(1, fake.Repeated, time.Second, 15*time.Second))
				for range 3 {
					jobs := c.submitJobs(100*int(c.users.Random()*9000)+1, 8, 400*time.Millisecond, func(k int, j *wire.Job) { j.Tasks = 1 + k })
					c.users.Cancel(jobs[r.IntN(len(jobs))])
					time.Sleep(randomDuration(r, time.Second, 8*time.Second))
					restart(c, r)
					time.Sleep(5 * time.Second)
				}
				c.writeFaults.Store(nil)
				time.Sleep(16 * time.Second) // the last copies arrive
			})
		})
	}
}
