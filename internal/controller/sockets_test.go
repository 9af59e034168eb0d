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

// pipeListener is a listener without a network, so that a test needs no real time.
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

// TestResponsesWithMoreAgentsThanSockets: more workers than there are sockets send heartbeats
// round after round on connections that they keep, and some have died with theirs open. All
// get a response, and so does a health check.
func TestResponsesWithMoreAgentsThanSockets(t *testing.T) {
	cases := []struct {
		name          string
		sockets       int
		workers, dead int
	}{
		{"few workers keep their connections", 64, 20, 0},
		{"more workers than sockets", 64, 150, 0},
		{"and connections of dead workers", 64, 150, 12},
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
					resp, err := client.Get("http://node/")
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
				failed := make(chan error, 3*test.workers)
				for i := range test.workers {
					go func() {
						client, transport := dial()
						defer transport.CloseIdleConnections()
						for range 3 {
							time.Sleep(time.Duration(1+i*7%13) * time.Second)
							failed <- get(client)
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
				for range 3 * test.workers {
					if err := <-failed; err != nil {
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

// TestSocketBudgetWithinLimit: the connections that are kept to workers, with all others, never take
// more sockets than there are, however many come in.
func TestSocketBudgetWithinLimit(t *testing.T) {
	for _, sockets := range []int{16, 64, 1000, 2928, 3500} {
		budget := divideSockets(settings.Resources{Sockets: sockets})
		others := sockets / 16
		if needed := budget.inbound + budget.commands + budget.idleWhenScarce + others; sockets >= 64 && needed > sockets {
			t.Errorf("%d sockets: %d with all that may come in", sockets, needed)
		}
		if needed := budget.scarceAbove + budget.commands + budget.idle + others; sockets >= 64 && needed > sockets {
			t.Errorf("%d sockets: %d while many are kept", sockets, needed)
		}
		closed := 0
		connections := &connectionTracker{scarceAbove: int64(budget.scarceAbove), closeIdle: func() { closed++ }}
		for range budget.scarceAbove {
			connections.track(nil, http.StateNew)
		}
		if connections.scarce() || closed != 0 {
			t.Errorf("%d sockets: scarce with %d", sockets, budget.scarceAbove)
		}
		connections.track(nil, http.StateNew)
		connections.track(nil, http.StateNew)
		if !connections.scarce() || closed != 1 {
			t.Errorf("%d sockets: scarce %v, idle ones closed %d times, with two more", sockets, connections.scarce(), closed)
		}
	}
}
