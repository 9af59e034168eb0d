// Package jobapi serves the users' HTTP interface: submissions, status queries and
// cancellations. Every controller serves it. No response may be older than one that any controller
// has given before, so terminal states come from the leader in its term or from a fresh read of
// the key-value store. The package owns the batch of submissions that wait for their commit,
// and no other state.
package jobapi

import (
	"context"
	"log/slog"
	"net/http"

	"leadproxy/internal/election"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// Kind is the kind of a request. The values travel between controllers.
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
	JobID string // of a submission: as its body names the job, once that was read
	Body  []byte // of a submission
	// LocalOnly: no other controller is asked, since another one has forwarded the request
	// here or none of them answers.
	LocalOnly bool
}

// Peers forwards requests to other controllers.
type Peers interface {
	// Ask has a controller respond to a request. An error means that it did not.
	Ask(ctx context.Context, controller string, request Request) (Response, error)
	// Names lists the other controllers.
	Names() []string
}

// Dispatcher is the access to the leader's scheduler if this controller leads.
type Dispatcher interface {
	Status(ctx context.Context, job string) (wire.JobStatus, error)
	Cancel(ctx context.Context, job string) (wire.JobStatus, error)
	NotifyJobCreated(record scheduler.JobRecordEvent)
}

// MachineTypes returns the machine types, and whether they are known yet.
type MachineTypes func() ([]wire.MachineType, bool)

// Config is what the service needs of the other parts of a controller.
type Config struct {
	Platform     *settings.Platform
	Elector      *election.Elector
	Store        Store
	Dispatcher   Dispatcher
	Peers        Peers
	MachineTypes MachineTypes
	// StoreShare is this controller's share of the key-value store's writes.
	StoreShare float64
	// PipelinesSupported reports whether all controllers know jobs that depend on others.
	PipelinesSupported func() bool
	// Healthy reports whether this controller can serve users at all; nil: always.
	Healthy func() bool
	Log     *slog.Logger
}

// Service responds to users.
type Service struct {
	Config
	teams   map[string]settings.Team
	commits *groupCommit
}

// New makes the service and starts its group commit, which runs until ctx ends.
func New(ctx context.Context, config Config) *Service {
	facts := config.Platform.Facts
	s := &Service{Config: config, teams: map[string]settings.Team{}}
	for _, team := range facts.Teams {
		s.teams[team.Name] = team
	}
	// What is accepted now has to fit when the limits have fallen.
	s.commits = newGroupCommit(config.Store, config.StoreShare, facts.Store.LeastValueBytes())
	go s.commits.run(ctx)
	return s
}

// Handle responds to a request.
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
