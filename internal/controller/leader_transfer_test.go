package controller

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/leadertransfer"
)

// TestLeadershipTransfer: leadership moves to the named controller within a second, while jobs run.
// Without standbys the transfer is refused.
func TestLeadershipTransfer(t *testing.T) {
	runScenario(t, clusterConfig{runTime: longRunning(20 * time.Second)}, func(c *cluster) {
		operator := c.net.Host("operator")
		c.submitJobs(0, 4, time.Second, nil)
		time.Sleep(3 * time.Second)
		for range 4 {
			previous := c.leader()
			target := (previous + 1) % len(c.controllers)
			reply, err := leadertransfer.RequestTransfer(c.t.Context(), operator, c.controllers[0].platform, c.controllerName(target))
			if !c.operator.Standby.Follow {
				if err == nil || !strings.Contains(err.Error(), "has no standby") {
					t.Errorf("transfer without standbys: %v, error %v, want an error that says so", reply, err)
				}
				return
			}
			if err != nil {
				t.Errorf("transferring leadership: %v", err)
				return
			}
			c.await("the named controller leads", time.Second, func() bool { return c.leader() == target })
			c.submitJobs(100*target, 2, time.Second, nil)
			time.Sleep(4 * time.Second)
		}
		if text := c.standbyTable(); strings.Count(text, "following") != 2 || strings.Count(text, "leads term") != 1 || strings.Contains(text, "no standby") {
			t.Errorf("status, want one leader and two following standbys:\n%s", text)
		}
	})
}

// TestStandbyPartitionedFromLeader: standbys that can't reach the leader still follow it through the
// key-value store, and one of them takes over when the leader fails.
func TestStandbyPartitionedFromLeader(t *testing.T) {
	runScenarioOnce(t, clusterConfig{standby: true}, false, func(c *cluster) {
		previous := c.leader()
		c.isolate(previous, false)
		c.submitJobs(0, 6, time.Second, nil)
		c.await("both standbys follow", 5*time.Second, func() bool { return strings.Count(c.standbyTable(), "following") == 2 })
		c.kill(previous)
		c.await("another leader", 10*time.Second, func() bool { return c.leader() >= 0 && c.leader() != previous })
		c.submitJobs(10, 4, time.Second, nil)
		c.reconnect(previous)
		c.startAll()
		c.await("both standbys follow after the failover", 10*time.Second, func() bool { return strings.Count(c.standbyTable(), "following") == 2 })
	})
}

// standbyTable returns the state of the standbys as operators see it.
func (c *cluster) standbyTable() string {
	var table bytes.Buffer
	if err := leadertransfer.WriteStatus(c.t.Context(), &table, c.net.Host("operator"), c.controllers[0].platform); err != nil {
		c.t.Error(err)
	}
	return table.String()
}
