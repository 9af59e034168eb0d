package controller

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/netutil"

	"leadproxy/internal/settings"
)

// pipeListener accepts in-memory connections, so that the test can run on a fake clock.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l pipeListener) Close() error   { close(l); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestResponsesWithMoreAgentsThanSockets: more agents than there are sockets send several heartbeats
// each over connections that they keep, and dead machines have left connections open. All heartbeats
// must get a response, and so must a health check.
func TestResponsesWithMoreAgentsThanSockets(t *testing.T) {
	cases := []struct {
		name         string
		sockets      int
		agents, dead int
	}{
		{"few agents", 64, 20, 0},
		{"more agents than sockets", 64, 150, 0},
		{"more agents than sockets, and connections of dead ones", 64, 150, 12},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := divideSockets(settings.Resources{Sockets: test.sockets})
				connections := &connectionTracker{closeAbove: int64(budget.closeAbove)}
				listener := make(pipeListener, 1000)
				web := newHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					connections.requestCloseIfCrowded(w)
					w.WriteHeader(http.StatusOK)
				}), connections, time.Minute, slog.New(slog.NewTextHandler(io.Discard, nil)))
				go web.Serve(netutil.LimitListener(listener, budget.inbound))
				defer web.Close()
				dial := func() (*http.Client, *http.Transport) {
					transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
						client, server := net.Pipe()
						listener <- server
						return client, nil
					}}
					return &http.Client{Transport: transport, Timeout: 4 * time.Second}, transport
				}
				get := func(client *http.Client) error {
					resp, err := client.Get("http://controller/")
					if err != nil {
						return err
					}
					defer resp.Body.Close()
					_, err = io.Copy(io.Discard, resp.Body)
					return err
				}
				for range test.dead {
					client, server := net.Pipe()
					listener <- server
					defer client.Close()
				}
				results := make(chan error, 3*test.agents)
				for i := range test.agents {
					go func() {
						client, transport := dial()
						defer transport.CloseIdleConnections()
						for range 3 {
							time.Sleep(time.Duration(1+i*7%13) * time.Second)
							results <- get(client)
						}
						time.Sleep(10 * time.Second)
					}()
				}
				time.Sleep(15 * time.Second)
				for range 2 {
					client, transport := dial()
					if err := get(client); err != nil {
						t.Errorf("health check: %v", err)
					}
					transport.CloseIdleConnections()
				}
				failures := map[string]int{}
				for range 3 * test.agents {
					if err := <-results; err != nil {
						failures[fmt.Sprint(err)]++
					}
				}
				if len(failures) > 0 {
					t.Errorf("heartbeats without a response: %v", failures)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestSocketBudgetWithinLimit: idle connections to agents and all other connections together never
// need more sockets than the settings allow, however many inbound connections are open.
func TestSocketBudgetWithinLimit(t *testing.T) {
	for _, sockets := range []int{16, 64, 1000, 2928, 3500} {
		budget := divideSockets(settings.Resources{Sockets: sockets})
		others := sockets / 16
		if needed := budget.inbound + budget.commands + budget.idleWhenScarce + others; sockets >= 64 && needed > sockets {
			t.Errorf("%d sockets: %d needed with the most inbound connections", sockets, needed)
		}
		if needed := budget.scarceAbove + budget.commands + budget.idle + others; sockets >= 64 && needed > sockets {
			t.Errorf("%d sockets: %d needed with the most idle connections", sockets, needed)
		}
		closed := 0
		connections := &connectionTracker{scarceAbove: int64(budget.scarceAbove), closeIdle: func() { closed++ }}
		for range budget.scarceAbove {
			connections.track(nil, http.StateNew)
		}
		if connections.scarce() || closed != 0 {
			t.Errorf("%d sockets: scarce, or idle connections closed, with %d inbound connections", sockets, budget.scarceAbove)
		}
		connections.track(nil, http.StateNew)
		connections.track(nil, http.StateNew)
		if !connections.scarce() || closed != 1 {
			t.Errorf("%d sockets, two connections above the threshold: scarce %v, idle connections closed %d times, want true and once", sockets, connections.scarce(), closed)
		}
	}
}
