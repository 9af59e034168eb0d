package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/wire"
)

// largestFleet is the least number of machines below which no fixed limit may stand.
const largestFleet = 4000

// TestLargestFleet: 4,000 workers reach one node alone, which forwards their reports
// to the leader. Each of them gets work from it, and from the next leader when the
// first ends.
func TestLargestFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, plan{machines: largestFleet, reportTo: []int{0}, writes: 400, run: long(40 * time.Second)})
		c.start(1) // the only candidate so far
		c.await("a leader", 20*time.Second, func() bool { return c.leader() == 1 })
		c.start(0)
		c.start(2)
		c.stream(0, 1, time.Second, func(_ int, j *wire.Job) { j.Tasks, j.CPUs = largestFleet, 8 })
		c.running(largestFleet)
		c.kill(1)
		c.stream(1, 1, time.Second, func(_ int, j *wire.Job) { j.Tasks, j.CPUs = largestFleet, 8 })
		c.await("another leader", 20*time.Second, func() bool { return c.leader() != 1 && c.leader() >= 0 })
		c.start(1)
		c.finish()
		for i := range c.nodes {
			c.kill(i)
		}
		time.Sleep(5 * time.Second)
	})
}
