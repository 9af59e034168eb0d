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

// start starts a controller's process.
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
		if err := runAtLevel(ctx, level, host, process.platform, c.operator, log); err != nil && !host.IsDown() {
			c.t.Errorf("%s ended: %v", process.platform.Name, err)
		}
	}(process.host, process.level, process.done)
}

// kill ends a controller's process: from that moment on nothing of it is delivered.
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

// restart kills a process and starts it again after a while.
func (c *cluster) restart(i int, after time.Duration) {
	c.kill(i)
	time.Sleep(after)
	c.start(i)
}

// startAll starts all controllers that are down.
func (c *cluster) startAll() {
	for i, process := range c.controllers {
		if process.cancel == nil {
			c.start(i)
		}
	}
}

// leader is the controller that the key-value store names, or -1.
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

// follower is some controller that does not lead and is up.
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

// isolate cuts a controller from all others. With hold, what they send is delivered when
// the connection is back, and else it is refused.
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
