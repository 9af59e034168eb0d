package node

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

func TestWhoIsRelayed(t *testing.T) {
	type step struct {
		after  time.Duration
		leader string
		relay  bool
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"a first visit is sent to the leader", []step{{0, "n1", false}}},
		{"one that comes back is relayed, and stays so", []step{{0, "n1", false}, {9 * time.Second, "n1", true}, {3 * time.Second, "n1", true}}},
		{"one that comes after a long time is sent again", []step{{0, "n1", false}, {30 * time.Second, "n1", false}}},
		{"a new leader is tried first", []step{{0, "n1", false}, {9 * time.Second, "n1", true}, {3 * time.Second, "n2", false}}},
		{"the leader is tried again in time", []step{{0, "n1", false}, {9 * time.Second, "n1", true}, {15 * time.Second, "n1", true},
			{15 * time.Second, "n1", true}, {15 * time.Second, "n1", false}, {9 * time.Second, "n1", true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGate(t.Context(), "n0", nil, nil, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
				for i, s := range c.steps {
					time.Sleep(s.after)
					if got := g.mayRelay(t.Context(), "vm-1", s.leader); got != s.relay {
						t.Errorf("visit %d: relayed %v, want %v", i, got, s.relay)
					}
				}
			})
		})
	}
}
