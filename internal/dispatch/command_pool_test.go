package dispatch

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"leadproxy/internal/transport"
)

// TestConnectionsToWorkers: they are kept as far as there are sockets, and no
// further.
func TestConnectionsToWorkers(t *testing.T) {
	var opened atomic.Int64
	workers := make([]*httptest.Server, 4)
	for i := range workers {
		workers[i] = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
		workers[i].Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				opened.Add(1)
			}
		}
		workers[i].Start()
		defer workers[i].Close()
	}
	var crowded atomic.Bool
	c := newCommandPool(transport.TCP{}, ConnectionLimits{MaxInFlight: 2, MaxIdle: 3, MaxIdleWhenScarce: 1, SocketsScarce: crowded.Load})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.run(ctx)
	round := func(what string, want int64) {
		t.Helper()
		before := opened.Load()
		for _, w := range workers {
			status, _, sent, err := c.call(ctx, w.Listener.Addr().String(), http.MethodPost, "/commands", []byte("{}"), func() bool { return true })
			if status != http.StatusOK || !sent || err != nil {
				t.Errorf("%s: %d %v %v", what, status, sent, err)
			}
		}
		if n := opened.Load() - before; n != want {
			t.Errorf("%s: %d connections opened, want %d", what, n, want)
		}
	}
	round("first", 4)
	round("three are kept", 1)
	crowded.Store(true)
	c.hangUp()
	round("one is kept", 3)
	if _, _, sent, err := c.call(ctx, workers[0].Listener.Addr().String(), http.MethodPost, "/commands", nil, func() bool { return false }); sent || err == nil {
		t.Errorf("past the term: sent %v, %v", sent, err)
	}
}
