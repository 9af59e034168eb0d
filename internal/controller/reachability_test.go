package controller

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestWhetherTheWorkersAreLost: a leader that the workers can't reach any more
// held on to its term for the whole of a cut, 50 s, while others heard them.
func TestWhetherTheWorkersAreLost(t *testing.T) {
	cases := []struct {
		name       string
		up         int
		silent     time.Duration // since the last report that came here
		shared     bool          // whether others carry reports here
		unanswered int           // commands unanswered
		elsewhere  int           // reports that have come to another node
		answers    bool          // whether the others answer
		lost       bool
	}{
		{"they come to another node", 1000, 5 * time.Second, false, 9, 400, true, true},
		{"they come here", 1000, 0, false, 9, 400, true, false},
		{"a moment's silence", 1000, time.Second, false, 9, 400, true, false},
		{"they come to nobody: their zone is cut off", 1000, 20 * time.Second, false, 9, 0, true, false},
		{"one worker has lost its way", 1000, 20 * time.Second, false, 9, 3, true, false},
		{"nobody can tell", 1000, 20 * time.Second, false, 9, 400, false, false},
		{"few machines report seldom", 2, 5 * time.Second, false, 9, 2, true, false},
		{"few machines, and long", 2, 13 * time.Second, false, 9, 2, true, true},
		{"they come by way of another node, which answers their commands", 1000, 5 * time.Second, true, 2, 400, true, false},
		{"they come by way of another node, and no command arrives", 1000, 5 * time.Second, true, 3, 400, true, true},
		{"no machines", 0, 20 * time.Second, false, 9, 9, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				others := &fakePeers{}
				others.answers.Store(c.answers)
				others.reports.Store(int64(c.elsewhere))
				o := &reachability{heard: newTally(), shared: newTally(), unanswered: func() int { return c.unanswered }, report: 8 * time.Second, peers: others}
				o.heard.add()
				time.Sleep(time.Minute)
				o.heard.add()
				time.Sleep(c.silent)
				if c.shared {
					o.shared.add()
				}
				if got := o.lost(t.Context(), c.up); got != c.lost {
					t.Errorf("lost %v, want %v", got, c.lost)
				}
			})
		})
	}
}
