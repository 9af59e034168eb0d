package dispatch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"leadproxy/internal/transport"
)

// startAgents starts HTTP servers that accept every command. opened counts their connections.
func startAgents(t *testing.T, count int) (addresses []string, opened *atomic.Int64) {
	t.Helper()
	opened = &atomic.Int64{}
	for range count {
		worker := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
		worker.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				opened.Add(1)
			}
		}
		worker.Start()
		t.Cleanup(worker.Close)
		addresses = append(addresses, worker.Listener.Addr().String())
	}
	return addresses, opened
}

func newCommandRequest(address string) agentRequest {
	return agentRequest{address: address, method: http.MethodPost, path: "/commands", body: []byte("{}")}
}

// TestIdleConnectionLimits: connections are kept between commands as far as there are
// sockets, and no further.
func TestIdleConnectionLimits(t *testing.T) {
	workers, opened := startAgents(t, 4)
	var scarce atomic.Bool
	pool := newConnectionPool(transport.TCP{}, ConnectionLimits{MaxInFlight: 2, MaxIdle: 3, MaxIdleWhenScarce: 1, SocketsScarce: scarce.Load})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go pool.run(ctx)
	callAll := func(name string, wantOpened int64) {
		t.Helper()
		before := opened.Load()
		for _, address := range workers {
			response, err := pool.call(ctx, newCommandRequest(address), func() bool { return true })
			if response.status != http.StatusOK || !response.sent || err != nil {
				t.Errorf("%s: %d %v %v", name, response.status, response.sent, err)
			}
		}
		if n := opened.Load() - before; n != wantOpened {
			t.Errorf("%s: %d connections opened, want %d", name, n, wantOpened)
		}
	}
	callAll("no connection is open", 4)
	callAll("three are kept", 1)
	scarce.Store(true)
	pool.trimIdle()
	callAll("sockets are scarce: one is kept", 3)
}

// TestCommandIsNotSentPastTheTerm: once the connection is open, the leadership is checked
// again before anything is sent.
func TestCommandIsNotSentPastTheTerm(t *testing.T) {
	workers, _ := startAgents(t, 1)
	pool := newConnectionPool(transport.TCP{}, ConnectionLimits{MaxInFlight: 2, MaxIdle: 3, MaxIdleWhenScarce: 1, SocketsScarce: func() bool { return false }})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go pool.run(ctx)
	response, err := pool.call(ctx, newCommandRequest(workers[0]), func() bool { return false })
	if response.sent || !errors.Is(err, ErrNotLeader) {
		t.Errorf("sent %v, error %v", response.sent, err)
	}
}
