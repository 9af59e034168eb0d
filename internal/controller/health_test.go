package controller

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// fakePeers is one other node that answers or is silent.
type fakePeers struct {
	answers atomic.Bool
	reports atomic.Int64 // of workers that have come there
}

func (f *fakePeers) Names() []string { return []string{"n2"} }

func (f *fakePeers) Ping(ctx context.Context, _ string, _ time.Duration) (int, error) {
	if !f.answers.Load() {
		<-ctx.Done()
	}
	return int(f.reports.Load()), ctx.Err()
}

func TestHealth(t *testing.T) {
	type step struct {
		state, peer bool
		healthy     bool // after five seconds of that
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"all is well", []step{{true, true, true}}},
		{"the state service is out for all: others would not do better", []step{{false, true, true}}},
		{"connections between controllers are refused", []step{{true, false, true}}},
		{"workers only: neither state service nor controllers", []step{{true, true, true}, {false, false, false}}},
		{"back again", []step{{false, false, false}, {true, false, true}, {false, false, false}, {false, true, true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state, peers := make(chan bool, 1), &fakePeers{}
				state <- true
				serving := func() bool { s := <-state; state <- s; return s }
				h := &health{serving: serving, peers: peers, log: slog.New(slog.NewTextHandler(io.Discard, nil))}
				go h.run(t.Context())
				for i, s := range c.steps {
					synctest.Wait()
					<-state
					state <- s.state
					peers.answers.Store(s.peer)
					time.Sleep(5 * time.Second)
					synctest.Wait()
					if h.OK() != s.healthy {
						t.Errorf("step %d: healthy %v, want %v", i, h.OK(), s.healthy)
					}
				}
			})
		})
	}
}
