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

// startAgents starts HTTP servers that accept every command. opened counts the connections to them.
func startAgents(t *testing.T, count int) (addresses []string, opened *atomic.Int64) {
	t.Helper()
	opened = &atomic.Int64{}
	for range count {
		agent := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
		agent.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		}
		agent.Start()
		t.Cleanup(agent.Close)
		addresses = append(addresses, agent.Listener.Addr().String())
	}
	return addresses, opened
}

// newCommandRequest returns an empty command request to an agent.
func newCommandRequest(address string) agentRequest {
	return agentRequest{address: address, method: http.MethodPost, path: "/commands", body: []byte("{}")}
}

// TestIdleConnectionLimits checks that connections are reused, and that the number of idle ones
// stays within MaxIdle, or within MaxIdleWhenScarce while sockets are scarce.
func TestIdleConnectionLimits(t *testing.T) {
	agents, opened := startAgents(t, 4)
	var scarce atomic.Bool
	pool := newConnectionPool(transport.TCP{}, ConnectionLimits{MaxInFlight: 2, MaxIdle: 3, MaxIdleWhenScarce: 1, SocketsScarce: scarce.Load})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go pool.run(ctx)
	callAll := func(name string, wantOpened int64) {
		t.Helper()
		before := opened.Load()
		for _, address := range agents {
			response, err := pool.call(ctx, newCommandRequest(address), func() bool { return true })
			if response.status != http.StatusOK || !response.sent || err != nil {
				t.Errorf("%s: status %d, sent %v, error %v, want 200 and sent", name, response.status, response.sent, err)
			}
		}
		if n := opened.Load() - before; n != wantOpened {
			t.Errorf("%s: %d connections opened, want %d", name, n, wantOpened)
		}
	}
	callAll("no idle connections", 4)
	callAll("three idle connections", 1)
	scarce.Store(true)
	pool.trimIdle()
	callAll("sockets scarce, one idle connection", 3)
}

// TestCommandIsNotSentPastTheTerm checks that leadership is checked again after the connection was
// opened, before anything is sent: opening it may outlast the term.
func TestCommandIsNotSentPastTheTerm(t *testing.T) {
	agents, _ := startAgents(t, 1)
	pool := newConnectionPool(transport.TCP{}, ConnectionLimits{MaxInFlight: 2, MaxIdle: 3, MaxIdleWhenScarce: 1, SocketsScarce: func() bool { return false }})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go pool.run(ctx)
	response, err := pool.call(ctx, newCommandRequest(agents[0]), func() bool { return false })
	if response.sent || !errors.Is(err, ErrNotLeader) {
		t.Errorf("sent %v, error %v, want not sent and ErrNotLeader", response.sent, err)
	}
}
