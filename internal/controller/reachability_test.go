package controller

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestAgentsUnreachable guards against a leader that keeps its term for as long as a partition lasts
// (50 s when it happened) although agents can't reach it and send heartbeats to other controllers.
func TestAgentsUnreachable(t *testing.T) {
	cases := []struct {
		name        string
		machines    int
		silent      time.Duration // since the last heartbeat received directly from an agent
		forwarded   bool          // whether other controllers forward heartbeats
		unanswered  int           // consecutive commands that no agent has answered
		atPeer      int           // heartbeats that another controller has received from agents
		responds    bool          // whether the other controller responds
		unreachable bool          // expected result
	}{
		{"agents use another controller", 1000, 5 * time.Second, false, 9, 400, true, true},
		{"agents use this controller", 1000, 0, false, 9, 400, true, false},
		{"a short silence", 1000, time.Second, false, 9, 400, true, false},
		{"agents reach no controller, since their zone is partitioned", 1000, 20 * time.Second, false, 9, 0, true, false},
		{"only a few agents can't reach this controller", 1000, 20 * time.Second, false, 9, 3, true, false},
		{"the other controller does not respond", 1000, 20 * time.Second, false, 9, 400, false, false},
		{"two machines, silent for less than a heartbeat interval", 2, 5 * time.Second, false, 9, 2, true, false},
		{"two machines, silent for more than a heartbeat interval", 2, 13 * time.Second, false, 9, 2, true, true},
		{"heartbeats are forwarded and commands answered", 1000, 5 * time.Second, true, 2, 400, true, false},
		{"heartbeats are forwarded, but commands not answered", 1000, 5 * time.Second, true, 3, 400, true, true},
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
				if got := monitor.agentsUnreachable(t.Context(), test.machines); got != test.unreachable {
					t.Errorf("agents unreachable: %v, want %v", got, test.unreachable)
				}
			})
		})
	}
}
