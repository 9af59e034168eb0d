package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/wire"
)

// largestCluster is the number of machines that every fixed limit must allow.
const largestCluster = 4000

// TestLargestCluster: 4,000 agents reach only one controller, which forwards their heartbeats to the
// leader. Each of them gets a task from the leader, and after its failure from its successor.
func TestLargestCluster(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterConfig{maxMachines: largestCluster, reportTo: []int{0}, writesPerSecond: 400, runTime: longRunning(40 * time.Second)})
		c.start(1) // alone, so that it becomes the leader
		c.await("a leader", 20*time.Second, func() bool { return c.leader() == 1 })
		c.start(0)
		c.start(2)
		c.submitJobs(0, 1, time.Second, func(_ int, j *wire.Job) { j.Tasks, j.CPUs = largestCluster, 8 })
		c.awaitRunning(largestCluster)
		c.kill(1)
		c.submitJobs(1, 1, time.Second, func(_ int, j *wire.Job) { j.Tasks, j.CPUs = largestCluster, 8 })
		c.await("another leader", 20*time.Second, func() bool { return c.leader() != 1 && c.leader() >= 0 })
		c.start(1)
		c.finish()
		for i := range c.controllers {
			c.kill(i)
		}
		time.Sleep(5 * time.Second)
	})
}
