package controller

import (
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"leadproxy/internal/settings"
)

// sockets divides what the settings allow this process. On a large fleet the
// leader holds a connection of every worker, and those of machines that have
// died until they are given up; whoever finds no socket left is not even told
// so, health checks included.
type sockets struct {
	inbound int // users, workers and health checks
	crowded int // from here on workers are asked to hang up after each answer
	orders  int // direct commands on their way at once
	// kept is how many connections to workers are kept between two commands
	// while at most roomy are open for users and workers, few how many beyond.
	roomy, kept, few int
}

// divide leaves a sixteenth besides for the state service, the cloud and the
// other nodes.
func divide(r settings.Resources) sockets {
	s := sockets{inbound: max(8, r.Sockets*3/4), orders: max(4, r.Sockets/8), few: max(2, r.Sockets/16)}
	s.crowded = s.inbound * 7 / 8
	// Where the nodes share the workers, half of what is for them is free.
	s.roomy, s.kept = r.Sockets*3/8, max(2, r.Sockets*3/8)
	return s
}

// socketUse counts the connections of users and workers.
type socketUse struct {
	open     atomic.Int64
	crowded  int64
	roomy    int64
	makeRoom func() // called when more than roomy have come; nil: nothing to be done
}

// Crowded tells whether connections to workers are not to be kept.
func (s *socketUse) Crowded() bool { return s.open.Load() > s.roomy }

// track is the HTTP server's hook for connections that come and go.
func (s *socketUse) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.open.Add(1) == s.roomy+1 && s.makeRoom != nil {
			s.makeRoom()
		}
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// newServer makes the server for users and workers. Who has been silent for a
// worker's lease is gone.
func newServer(h http.Handler, s *socketUse, lease time.Duration, log *slog.Logger) *http.Server {
	return &http.Server{Handler: h, ConnState: s.track, IdleTimeout: lease,
		ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 15 * time.Second, WriteTimeout: 20 * time.Second,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
}

// yield asks a worker to hang up where connections are short: it comes back for
// its next report, and between two of them somebody else can be served.
func (s *socketUse) yield(w http.ResponseWriter) {
	if s.open.Load() > s.crowded {
		w.Header().Set("Connection", "close")
	}
}
