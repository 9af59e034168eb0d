// Package dispatch runs the scheduler's core during the terms in which this controller leads. It
// passes heartbeats, user requests and results of I/O to the core as events, and executes the
// effects that the core returns. One goroutine owns the core; all others send it messages.
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
	"leadproxy/internal/metrics"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
	"leadproxy/internal/standby"
	"leadproxy/internal/transport"
)

// ErrNotLeader means that this controller is not the leader, or that its term has ended.
var ErrNotLeader = errors.New("this controller does not lead")

// Config contains the dependencies and settings of a Dispatcher.
type Config struct {
	Network     transport.Network
	Platform    *settings.Platform
	Operator    settings.Operator
	Elector     *election.Elector
	Store       *kvstore.Client
	Connections ConnectionLimits
	Log         *slog.Logger

	// PipelinesSupported reports whether all controllers support job dependencies, and thus can
	// read every record that this one writes.
	PipelinesSupported func() bool
	// TransfersSupported reports whether all controllers support transfers between cells.
	TransfersSupported func() bool
	// Standby has a replica of the ledger for a term that begins on this controller. It is nil
	// if the controller keeps none.
	Standby Standby
	// SoftState has the replicated soft state of an earlier leader. It is nil if the controller
	// keeps none.
	SoftState SoftStateViewer
	// Neighbours sends requests to the leaders of other cells.
	Neighbours Neighbours
	// Metrics counts reads of records and failures of the watch.
	Metrics *metrics.Metrics
	// TraceTransfer records the steps of transfers between cells.
	TraceTransfer func(federation.TransferStep)
}

// Standby keeps a replica of the ledger.
type Standby interface {
	// Promote returns a view of the ledger that is complete for the term, or an error if the
	// replica can't be used.
	Promote(ctx context.Context, term uint64) (standby.View, error)
	// Release ends the use of the view at the end of the term.
	Release()
}

// SoftStateViewer keeps the soft state that the leader replicates to the controllers that may lead
// next.
type SoftStateViewer interface {
	// View returns the soft state for a term that begins on this controller.
	View(ctx context.Context, term uint64) softstate.View
}

// Dispatcher gives the other parts of a controller access to the scheduler's core. It runs one core
// for each term that this controller leads, and rejects requests with ErrNotLeader between terms.
type Dispatcher struct {
	config           Config
	log              *slog.Logger
	elector          *election.Elector
	store            *kvstore.Client
	started          time.Time
	guard            *SendGuard
	agentConnections *connectionPool
	mailboxes        mailboxes
	// expectedMachines is the number of machines whose agents should be sending heartbeats to
	// this leader.
	expectedMachines atomic.Int64
	// unansweredCommands is the number of consecutive commands that no agent has answered.
	unansweredCommands atomic.Int64
	observations       observations
}

// NewDispatcher returns a dispatcher. Call Run to start it.
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

// readClocks returns the monotonic time since the start and the time of day, from a single clock
// reading. Lease expiry is converted from one to the other: if the process were suspended between
// two separate readings, leases would be considered expired too early.
func (d *Dispatcher) readClocks() (now time.Duration, wallMS int64) {
	current := time.Now()
	return current.Sub(d.started), current.UnixMilli()
}

// CloseIdleConnections closes idle connections to agents down to the number that is kept while
// sockets are scarce.
func (d *Dispatcher) CloseIdleConnections() { d.agentConnections.trimIdle() }

// UnansweredCommands returns the number of consecutive commands that no agent has answered.
func (d *Dispatcher) UnansweredCommands() int { return int(d.unansweredCommands.Load()) }

// ExpectedMachines returns the number of machines whose agents should be sending heartbeats to this
// controller. It is 0 while this controller is not the leader.
func (d *Dispatcher) ExpectedMachines() int { return int(d.expectedMachines.Load()) }
