package controller

import (
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"leadproxy/internal/settings"
)

// socketBudget divides the sockets that the settings allow this process. On a large cluster
// the leader holds a connection of every worker, and those of machines that have died until
// they are closed; a client that finds no socket left does not even learn so, health checks
// included.
type socketBudget struct {
	inbound    int // users, workers and health checks
	closeAbove int // inbound, from here on workers are asked to hang up after each response
	commands   int // commands to workers in flight
	// idle is how many connections to workers are kept between two commands while at most
	// scarceAbove inbound ones are open, idleWhenScarce how many beyond.
	scarceAbove, idle, idleWhenScarce int
}

// The least that each purpose gets, however few sockets there are.
const (
	minInbound        = 8
	minCommands       = 4
	minIdle           = 2
	minIdleWhenScarce = 2
)

// divideSockets leaves a sixteenth besides for the key-value store, the cloud and the other
// controllers.
func divideSockets(r settings.Resources) socketBudget {
	budget := socketBudget{
		inbound:        max(minInbound, r.Sockets*3/4),
		commands:       max(minCommands, r.Sockets/8),
		idleWhenScarce: max(minIdleWhenScarce, r.Sockets/16),
		// Where the controllers share the workers, half of what is for them is free.
		scarceAbove: r.Sockets * 3 / 8,
		idle:        max(minIdle, r.Sockets*3/8),
	}
	budget.closeAbove = budget.inbound * 7 / 8
	return budget
}

// connectionTracker counts the inbound connections of users and workers.
type connectionTracker struct {
	open        atomic.Int64
	closeAbove  int64
	scarceAbove int64
	closeIdle   func() // called as sockets become scarce; nil: nothing to be done
}

// scarce reports whether sockets are too few to keep connections to workers.
func (t *connectionTracker) scarce() bool { return t.open.Load() > t.scarceAbove }

// track is the HTTP server's hook for connections that open and close.
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

// requestCloseIfCrowded asks a worker to hang up where connections are short: it comes back for
// its next heartbeat, and between two of them other clients can be served.
func (t *connectionTracker) requestCloseIfCrowded(w http.ResponseWriter) {
	if t.open.Load() > t.closeAbove {
		w.Header().Set("Connection", "close")
	}
}

// The time limits of the HTTP server.
const (
	headerTimeout = 10 * time.Second
	readTimeout   = 15 * time.Second
	writeTimeout  = 20 * time.Second
)

// newHTTPServer makes the server for users and workers. A client that has sent nothing for
// an agent's lease is gone.
func newHTTPServer(handler http.Handler, connections *connectionTracker, agentLease time.Duration, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ConnState: connections.track, IdleTimeout: agentLease,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}
