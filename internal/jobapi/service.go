// Package jobapi serves the users' HTTP interface: submissions, status queries and cancellations.
// Every controller serves it. No response may be staler than an earlier response of any controller,
// so terminal states are taken from the leader during its term or from a fresh read of the
// key-value store. The only state that the package owns is the queue of submissions that wait to be
// committed.
package jobapi

import (
	"context"
	"log/slog"
	"net/http"

	"leadproxy/internal/election"
	"leadproxy/internal/metrics"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// Kind is the kind of a request. The values are part of the protocol between controllers.
type Kind int

// The kinds of requests that controllers forward to one another.
const (
	Submit Kind = iota + 1
	Status
	Cancel
)

// Request is a user's request.
type Request struct {
	Kind  Kind
	JobID string // for a submission, set once its body was parsed
	Body  []byte // only for a submission
	// LocalOnly means that no other controller is asked, because the request was forwarded by
	// another one or because none of them responds.
	LocalOnly bool
}

// Peers forwards requests to other controllers.
type Peers interface {
	// Ask forwards a request to a controller and returns its response. It fails if the
	// controller does not respond.
	Ask(ctx context.Context, controller string, request Request) (Response, error)
	// Names returns the names of the other controllers.
	Names() []string
}

// Dispatcher gives access to the scheduler's core while this controller leads. Otherwise Status and
// Cancel return dispatch.ErrNotLeader.
type Dispatcher interface {
	Status(ctx context.Context, job string) (wire.JobStatus, error)
	Cancel(ctx context.Context, job string) (wire.JobStatus, error)
	NotifyJobRecord(record scheduler.JobRecordEvent)
}

// MachineTypes returns the machine types that the cloud offers, and whether they are known yet.
type MachineTypes func() ([]wire.MachineType, bool)

// Config contains the dependencies and settings of a Service.
type Config struct {
	Platform     *settings.Platform
	Elector      *election.Elector
	Store        Store
	Dispatcher   Dispatcher
	Peers        Peers
	MachineTypes MachineTypes
	// StoreShare is this controller's share of the key-value store's write rate, up to 1.
	StoreShare float64
	// PipelinesSupported reports whether all controllers support job dependencies.
	PipelinesSupported func() bool
	// Healthy reports whether this controller can serve users. If it is nil, the controller
	// counts as healthy.
	Healthy func() bool
	// Metrics counts the answers to users.
	Metrics *metrics.Metrics
	Log     *slog.Logger
}

// Service handles the requests of users.
type Service struct {
	Config
	teams   map[string]settings.Team
	commits *groupCommit
}

// New returns a service and starts its group commit, which runs until ctx ends.
func New(ctx context.Context, config Config) *Service {
	facts := config.Platform.Facts
	s := &Service{Config: config, teams: map[string]settings.Team{}}
	for _, team := range facts.Teams {
		s.teams[team.Name] = team
	}
	// A record that is accepted now must also fit after the announced lower limits take effect.
	s.commits = newGroupCommit(config.Store, config.StoreShare, facts.Store.MaxValueBytes())
	go s.commits.run(ctx)
	return s
}

// Handle handles a request and returns the response.
func (s *Service) Handle(ctx context.Context, request Request) Response {
	switch request.Kind {
	case Submit:
		return s.submit(ctx, request)
	case Status:
		return s.status(ctx, request)
	case Cancel:
		return s.cancel(ctx, request)
	}
	return errorResponse(http.StatusBadRequest, "unknown kind of request")
}
