//go:build measure

package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/wire"
)

// TestFailoverOfLargestCluster kills the leader of a cluster whose 4,000 machines all run a task. The
// successor has a replica of the ledger, alternately without and with soft state. The log has the
// phases of each failover; docs/operations-standby.md has the command.
func TestFailoverOfLargestCluster(t *testing.T) {
	for round := range 2 {
		for _, softState := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/hints=%t", round, softState), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, clusterConfig{maxMachines: largestCluster, writesPerSecond: 400, runTime: longRunning(3 * time.Minute), standby: true, seed: uint64(round)})
					c.operator.Standby.SoftState = softState
					for i := range c.controllers {
						c.start(i)
					}
					c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
					for k := range 10 {
						c.submitJobs(2*k, 1, time.Second, func(_ int, j *wire.Job) { j.Tasks, j.CPUs = largestCluster/10, 8 })
					}
					c.awaitRunning(largestCluster)
					time.Sleep(10 * time.Second)
					c.kill(c.leader())
					time.Sleep(30 * time.Second)
					c.startAll()
					c.finish()
					for i := range c.controllers {
						c.kill(i)
					}
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}
