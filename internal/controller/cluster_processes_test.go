package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/fake"
)

// start starts a controller's process. With the environment variable CLUSTER_LOG, its log is written
// to standard error; otherwise, on clusters with standbys, it goes to leaderActions.
func (c *cluster) start(i int) {
	process := c.controllers[i]
	ctx, cancel := context.WithCancel(context.Background())
	process.host, process.cancel, process.done = c.net.Host(process.platform.Name), cancel, make(chan struct{})
	handler := slog.Handler(slog.DiscardHandler)
	if c.operator.Standby.Follow {
		handler = c.leaderActions
	}
	if os.Getenv("CLUSTER_LOG") != "" {
		handler = slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})
	}
	log := slog.New(alarmHandler{c.t, handler})
	if os.Getenv("CLUSTER_LOG") != "" {
		log = log.With("node", process.platform.Name, "test", c.t.Name())
	}
	go func(host *fake.Host, level int, done chan struct{}) {
		defer close(done)
		operator := c.operator
		operator.MetricsAddress = process.metricsAddress
		if err := runAtLevel(ctx, level, host, process.platform, operator, log); err != nil && !host.IsDown() {
			c.t.Errorf("controller %s failed: %v", process.platform.Name, err)
		}
	}(process.host, process.level, process.done)
}

// kill ends a controller's process. Nothing that it sent is delivered from then on.
func (c *cluster) kill(i int) {
	process := c.controllers[i]
	if process.cancel == nil {
		return
	}
	process.host.Kill()
	process.cancel()
	<-process.done
	process.cancel = nil
}

// restart kills a controller's process and starts a new one after the given time.
func (c *cluster) restart(i int, after time.Duration) {
	c.kill(i)
	time.Sleep(after)
	c.start(i)
}

// startAll starts the controllers that have no process.
func (c *cluster) startAll() {
	for i, process := range c.controllers {
		if process.cancel == nil {
			c.start(i)
		}
	}
}

// leader returns the index of the controller that the key-value store names as the leader, or -1.
func (c *cluster) leader() int {
	var record struct {
		Node string `json:"node"`
	}
	if value := c.store.Value(election.LeaderKey); value == nil || json.Unmarshal(value, &record) != nil {
		return -1
	}
	for i, process := range c.controllers {
		if process.platform.Name == record.Node {
			return i
		}
	}
	return -1
}

// follower returns the index of a running controller that is not the leader, or -1.
func (c *cluster) follower() int {
	leader := c.leader()
	for i, process := range c.controllers {
		if i != leader && process.cancel != nil {
			return i
		}
	}
	return -1
}

func (c *cluster) controllerName(i int) string { return c.controllers[i].platform.Name }

// isolate partitions a controller from the other controllers. With hold, messages are delivered
// after reconnect; otherwise they are refused.
func (c *cluster) isolate(i int, hold bool) {
	for other := range c.controllers {
		if other != i {
			c.net.Partition(c.controllerName(i), c.controllerName(other), hold)
		}
	}
}

// reconnect ends the isolation of a controller.
func (c *cluster) reconnect(i int) {
	for other := range c.controllers {
		if other != i {
			c.net.Heal(c.controllerName(i), c.controllerName(other))
		}
	}
}
