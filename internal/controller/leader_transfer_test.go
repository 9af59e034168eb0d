package controller

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/leadertransfer"
)

// TestLeadershipTransfer: the leadership moves to the controller that is named, within a
// second, while jobs run, and is refused where no standby is complete.
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
					t.Errorf("without standbys: %v, %v", reply, err)
				}
				return
			}
			if err != nil {
				t.Errorf("not handed over: %v", err)
				return
			}
			c.await("the named controller leads", time.Second, func() bool { return c.leader() == target })
			c.submitJobs(100*target, 2, time.Second, nil)
			time.Sleep(4 * time.Second)
		}
		if text := c.standbyTable(); strings.Count(text, "following") != 2 || strings.Count(text, "leads term") != 1 || strings.Contains(text, "no standby") {
			t.Errorf("the table:\n%s", text)
		}
	})
}

// TestStandbyPartitionedFromLeader: standbys that can't reach the leader follow all the same, and
// one of them leads on its copy when the leader ends.
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
		c.await("a standby is complete again", 10*time.Second, func() bool { return strings.Count(c.standbyTable(), "following") == 2 })
	})
}

// standbyTable is the state of the standbys, as an operator sees it.
func (c *cluster) standbyTable() string {
	var table bytes.Buffer
	if err := leadertransfer.WriteStatus(c.t.Context(), &table, c.net.Host("operator"), c.controllers[0].platform); err != nil {
		c.t.Error(err)
	}
	return table.String()
}
