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

// fakePeers is a single peer that responds to pings or does not.
type fakePeers struct {
	responds   atomic.Bool
	heartbeats atomic.Int64 // that it reports
}

func (f *fakePeers) Names() []string { return []string{"n2"} }

func (f *fakePeers) Ping(ctx context.Context, _ string, _ time.Duration) (int, error) {
	if !f.responds.Load() {
		<-ctx.Done()
	}
	return int(f.heartbeats.Load()), ctx.Err()
}

// TestHealth: a controller is unhealthy only while it reaches neither the key-value store nor
// another controller. An outage of the store for all controllers must not make it unhealthy, since
// the others could not serve users better.
func TestHealth(t *testing.T) {
	type step struct {
		storeServing, peer bool // whether the key-value store serves and the peer responds
		healthy            bool // expected after five seconds
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"everything is reachable", []step{{true, true, true}}},
		{"the key-value store is down, but the peer responds", []step{{false, true, true}}},
		{"the peer does not respond", []step{{true, false, true}}},
		{"neither the key-value store nor the peer is reachable", []step{{true, true, true}, {false, false, false}}},
		{"isolated twice, with recoveries", []step{{false, false, false}, {true, false, true}, {false, false, false}, {false, true, true}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				storeServing, peers := make(chan bool, 1), &fakePeers{}
				storeServing <- true
				serving := func() bool { s := <-storeServing; storeServing <- s; return s }
				monitor := &healthMonitor{storeServing: serving, peers: peers, log: slog.New(slog.NewTextHandler(io.Discard, nil))}
				go monitor.run(t.Context())
				for i, step := range test.steps {
					synctest.Wait()
					<-storeServing
					storeServing <- step.storeServing
					peers.responds.Store(step.peer)
					time.Sleep(5 * time.Second)
					synctest.Wait()
					if monitor.Healthy() != step.healthy {
						t.Errorf("step %d: healthy %v, want %v", i, monitor.Healthy(), step.healthy)
					}
				}
			})
		})
	}
}
