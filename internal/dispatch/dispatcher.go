// Package dispatch runs the scheduler's core for the terms that this controller leads: it
// passes heartbeats, user requests and results of I/O to the core as events, and executes
// the effects that follow. Its goroutine owns the core; everybody else sends it messages.
package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/federation"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
	"leadproxy/internal/standby"
	"leadproxy/internal/transport"
)

// ErrNotLeader means that this controller runs no term, or that its term has ended.
var ErrNotLeader = errors.New("this controller does not lead")

// Config is what a dispatcher needs of the other parts of a controller.
type Config struct {
	Network     transport.Network
	Platform    *settings.Platform
	Operator    settings.Operator
	Elector     *election.Elector
	Store       *kvstore.Client
	Connections ConnectionLimits
	Log         *slog.Logger

	// PipelinesSupported reports whether all controllers run a version that reads what
	// this one writes.
	PipelinesSupported func() bool
	// TransfersSupported reports whether all controllers know transfers between cells.
	TransfersSupported func() bool
	// Standby has a copy of the ledger for a term that begins here; nil: there is none.
	Standby Standby
	// SoftState has what an earlier leader held in memory; nil: there is nothing.
	SoftState SoftStateViewer
	// Neighbours calls the leaders of other cells.
	Neighbours Neighbours
	// TraceTransfer records the steps of transfers between cells.
	TraceTransfer func(federation.TransferStep)
}

// Standby keeps a copy of the ledger.
type Standby interface {
	// Promote returns the view that a term may decide on, or why there is none.
	Promote(ctx context.Context, term uint64) (standby.View, error)
	// Release ends the use of the view: the term is over.
	Release()
}

// SoftStateViewer keeps the soft state that a leader has replicated to the controllers that
// may lead next.
type SoftStateViewer interface {
	// View returns the soft state for a term that begins here.
	View(ctx context.Context, term uint64) softstate.View
}

// Dispatcher gives the other parts of a controller access to the scheduler's core. It runs
// one core for each term that this controller leads, and rejects requests in between.
type Dispatcher struct {
	config           Config
	log              *slog.Logger
	elector          *election.Elector
	store            *kvstore.Client
	started          time.Time
	guard            *SendGuard
	agentConnections *connectionPool
	mailboxes        mailboxes
	// expectedMachines is how many machines should be sending heartbeats to this leader.
	expectedMachines atomic.Int64
	// unansweredCommands is how many commands in a row no worker has answered.
	unansweredCommands atomic.Int64
}

// NewDispatcher makes a dispatcher; Run starts it.
func NewDispatcher(config Config) *Dispatcher {
	return &Dispatcher{
		config:           config,
		log:              config.Log,
		elector:          config.Elector,
		store:            config.Store,
		started:          time.Now(),
		guard:            NewSendGuard(config.Elector, config.Log),
		agentConnections: newConnectionPool(config.Network, config.Connections),
		mailboxes:        newMailboxes(),
	}
}

// readClocks reads the monotonic time and the time of day at one moment. Lease expiry is
// converted from the one to the other: if the process stood still between two readings,
// leases would be found expired too early.
func (d *Dispatcher) readClocks() (now time.Duration, wallMS int64) {
	t := time.Now()
	return t.Sub(d.started), t.UnixMilli()
}

// CloseIdleConnections closes the idle connections to workers beyond those that are kept
// while sockets are scarce.
func (d *Dispatcher) CloseIdleConnections() { d.agentConnections.trimIdle() }

// UnansweredCommands is how many commands in a row no worker has answered.
func (d *Dispatcher) UnansweredCommands() int { return int(d.unansweredCommands.Load()) }

// ExpectedMachines is how many machines should be sending heartbeats to this controller as
// the leader.
func (d *Dispatcher) ExpectedMachines() int { return int(d.expectedMachines.Load()) }
