package controller

import (
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"leadproxy/internal/settings"
)

// socketBudget divides the sockets that the settings allow this process among their uses. In a large
// cluster the leader may hold a connection of every agent, and those of dead machines until they are
// closed. When no socket is left, a new client, including a health check, does not even get an
// error.
type socketBudget struct {
	inbound    int // connections of users, agents and health checks
	closeAbove int // with more inbound connections, agents must close theirs after each response
	commands   int // commands to agents in flight
	// idle is the number of idle connections to agents that are kept for later commands while at
	// most scarceAbove inbound connections are open; idleWhenScarce is the number while more are.
	scarceAbove, idle, idleWhenScarce int
}

// The minimum number of sockets for each use, even if the settings allow fewer in total.
const (
	minInbound        = 8
	minCommands       = 4
	minIdle           = 2
	minIdleWhenScarce = 2
)

// divideSockets divides the sockets that the settings allow. A sixteenth is left for the key-value
// store, the cloud and the other controllers.
func divideSockets(r settings.Resources) socketBudget {
	budget := socketBudget{
		inbound:        max(minInbound, r.Sockets*3/4),
		commands:       max(minCommands, r.Sockets/8),
		idleWhenScarce: max(minIdleWhenScarce, r.Sockets/16),
		// While agents are spread over the controllers, half of the inbound sockets stay unused
		// and can hold idle connections to agents.
		scarceAbove: r.Sockets * 3 / 8,
		idle:        max(minIdle, r.Sockets*3/8),
	}
	budget.closeAbove = budget.inbound * 7 / 8
	return budget
}

// connectionTracker counts the inbound connections of users and agents.
type connectionTracker struct {
	open        atomic.Int64
	closeAbove  int64
	scarceAbove int64
	closeIdle   func() // called when sockets become scarce; may be nil
}

// scarce reports whether so many inbound connections are open that fewer idle connections to agents
// may be kept.
func (t *connectionTracker) scarce() bool { return t.open.Load() > t.scarceAbove }

// track is the HTTP server's ConnState hook, which counts open connections.
func (t *connectionTracker) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if t.open.Add(1) == t.scarceAbove+1 && t.closeIdle != nil {
			t.closeIdle()
		}
	case http.StateClosed, http.StateHijacked:
		t.open.Add(-1)
	}
}

// requestCloseIfCrowded makes an agent close its connection after the response if too many are
// open. The agent reconnects for its next heartbeat; in between, the socket can serve other clients.
func (t *connectionTracker) requestCloseIfCrowded(w http.ResponseWriter) {
	if t.open.Load() > t.closeAbove {
		w.Header().Set("Connection", "close")
	}
}

// Timeouts of the HTTP server.
const (
	headerTimeout = 10 * time.Second
	readTimeout   = 15 * time.Second
	writeTimeout  = 20 * time.Second
)

// newHTTPServer creates the server for users and agents. It closes connections that have been idle
// for an agent's lease, since their clients are gone.
func newHTTPServer(handler http.Handler, connections *connectionTracker, agentLease time.Duration, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ConnState: connections.track, IdleTimeout: agentLease,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}
