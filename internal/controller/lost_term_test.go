package controller

import (
	"net/http"
	"testing"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/fake"
)

// TestLeaderKeyRemovedWhileLeaseLives guards against a controller that continues as the leader after
// its ledger has stopped: an operator removes the leader key while its lease is still alive, and
// another controller is elected. Users that reach the former leader must still be served.
func TestLeaderKeyRemovedWhileLeaseLives(t *testing.T) {
	runScenarioOnce(t, clusterConfig{}, false, func(c *cluster) {
		former := c.leader()
		c.store.Remove(election.LeaderKey)
		c.await("another leader", 30*time.Second, func() bool { return c.leader() >= 0 && c.leader() != former })
		job := fake.NewJob("job-000001", 2, nil)
		c.users.Submit(job)
		time.Sleep(20 * time.Second)
		served := func() bool {
			code, _ := c.users.Call(former, fake.RequestCancel, job.ID, nil)
			return code == http.StatusOK
		}
		c.await("the former leader serving a cancellation", 20*time.Second, served)
		if !served() {
			t.Error("the former leader does not serve a cancellation")
		}
	})
}
