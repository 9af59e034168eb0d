package controller

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestAgentsUnreachable: a leader that the workers can't reach any more kept its term for the whole
// of a partition, 50 s, while others received their heartbeats.
func TestAgentsUnreachable(t *testing.T) {
	cases := []struct {
		name       string
		machines   int
		silent     time.Duration // since the last heartbeat that came straight here
		forwarded  bool          // whether others forward heartbeats here
		unanswered int           // commands unanswered
		atPeer     int           // heartbeats that have come to another controller
		responds   bool          // whether the others respond
		lost       bool
	}{
		{"they come to another controller", 1000, 5 * time.Second, false, 9, 400, true, true},
		{"they come here", 1000, 0, false, 9, 400, true, false},
		{"a short silence", 1000, time.Second, false, 9, 400, true, false},
		{"they come to no controller: their zone is partitioned", 1000, 20 * time.Second, false, 9, 0, true, false},
		{"one worker can't reach this controller", 1000, 20 * time.Second, false, 9, 3, true, false},
		{"no controller responds", 1000, 20 * time.Second, false, 9, 400, false, false},
		{"few machines, whose heartbeats are rare", 2, 5 * time.Second, false, 9, 2, true, false},
		{"few machines, and long", 2, 13 * time.Second, false, 9, 2, true, true},
		{"their heartbeats are forwarded, and they answer commands", 1000, 5 * time.Second, true, 2, 400, true, false},
		{"their heartbeats are forwarded, and no command arrives", 1000, 5 * time.Second, true, 3, 400, true, true},
		{"no machines", 0, 20 * time.Second, false, 9, 9, true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				others := &fakePeers{}
				others.responds.Store(test.responds)
				others.heartbeats.Store(int64(test.atPeer))
				monitor := &reachabilityMonitor{directHeartbeats: newRecentCounter(), forwardedHeartbeats: newRecentCounter(), unansweredCommands: func() int { return test.unanswered }, heartbeatInterval: 8 * time.Second, peers: others}
				monitor.directHeartbeats.increment()
				time.Sleep(time.Minute)
				monitor.directHeartbeats.increment()
				time.Sleep(test.silent)
				if test.forwarded {
					monitor.forwardedHeartbeats.increment()
				}
				if got := monitor.agentsUnreachable(t.Context(), test.machines); got != test.lost {
					t.Errorf("lost %v, want %v", got, test.lost)
				}
			})
		})
	}
}
