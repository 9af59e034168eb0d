package controller

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/metrics"
	"leadproxy/internal/transport"
)

// scrape returns the values of a controller's metrics by name and labels.
func (c *cluster) scrape(controller int) map[string]float64 {
	c.t.Helper()
	conn := transport.NewConn(c.net.Host("prometheus"), c.controllers[controller].metricsAddress)
	defer conn.Close()
	if err := conn.Open(c.t.Context(), time.Second); err != nil {
		c.t.Errorf("connect to the metrics of %s: %v", c.controllerName(controller), err)
		return nil
	}
	response, err := conn.Do(time.Now().Add(time.Second), transport.Request{Method: http.MethodGet, Path: metrics.Path})
	if err != nil || response.Status != http.StatusOK {
		c.t.Errorf("scrape %s: %d, %v", c.controllerName(controller), response.Status, err)
	}
	values := map[string]float64{}
	for _, line := range strings.Split(string(response.Body), "\n") {
		name, text, _ := strings.Cut(line, " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values
}

// TestMetricsShowALostWatch: the metrics tell who leads, that the leader's watch of job records lags,
// and what the answers to users rested on.
func TestMetricsShowALostWatch(t *testing.T) {
	runScenarioOnce(t, clusterConfig{}, false, func(c *cluster) {
		time.Sleep(5 * time.Second) // all controllers have announced their capabilities
		leader, follower := c.leader(), c.follower()
		c.loseJobWatches()
		before := c.scrape(leader)
		c.submitCancelledPipeline(2)
		time.Sleep(10 * time.Second)
		during, atFollower := c.scrape(leader), c.scrape(follower)
		for name, holds := range map[string]bool{
			"the leader leads":               during["leadproxy_leader"] == 1 && during["leadproxy_leader_lease_remaining_seconds"] > 0,
			"the follower does not":          atFollower["leadproxy_leader"] == 0 && atFollower["leadproxy_leader_lease_remaining_seconds"] == 0,
			"both know the term":             during["leadproxy_leader_term"] > 0 && during["leadproxy_leader_term"] == atFollower["leadproxy_leader_term"],
			"the watch is old":               during["leadproxy_job_watch_age_seconds"] > 8,
			"the watch lags":                 during["leadproxy_job_watch_revision"] < during["leadproxy_store_revision"],
			"the watch has not moved":        during["leadproxy_job_watch_revision"] == before["leadproxy_job_watch_revision"],
			"the follower watches nothing":   atFollower["leadproxy_job_watch_revision"] == 0 && atFollower["leadproxy_job_watch_age_seconds"] == 0,
			"the leader answered":            during[`leadproxy_answers_total{request="submission",source="records"}`] > 0,
			"the follower answered":          atFollower[`leadproxy_answers_total{request="submission",source="records"}`] == 2,
			"the cancellation was from here": during[`leadproxy_answers_total{request="cancellation",source="leader_memory"}`] > 0,
			"nothing is unknown for long":    during["leadproxy_unknown_predecessors"] == 0,
			"the store is available":         during["leadproxy_store_available"] == 1,
		} {
			if !holds {
				t.Errorf("%s: not so; leader %v, follower %v", name, during, atFollower)
			}
		}
		time.Sleep(15 * time.Second)
		if failures := c.scrape(leader)["leadproxy_job_watch_failures_total"]; failures == 0 {
			t.Error("no failure of the watch was counted, want some")
		}
		c.watchFaults.Store(nil)
	})
}
