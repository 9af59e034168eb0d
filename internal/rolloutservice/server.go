// Package rolloutservice has the server and the client of the gRPC service with which operators
// create, control and list the plans that drain machines. Every controller serves it, but only the
// leader executes requests; the client tries one controller after the other. Package rollout
// defines the plans.
package rolloutservice

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/rollout"
	"leadproxy/internal/rolloutservice/rolloutpb"
	"leadproxy/internal/scheduler"
)

// Leader is the part of the controller's dispatcher that executes plans. Its methods return
// dispatch.ErrNotLeader if another controller leads.
type Leader interface {
	CreatePlan(ctx context.Context, spec rollout.Spec) error
	SteerPlan(ctx context.Context, name string, command rollout.Command, argument string) error
	ListPlans(ctx context.Context) (scheduler.PlanListReply, error)
}

// Server implements the gRPC service Rollouts.
type Server struct {
	rolloutpb.UnimplementedRolloutsServer
	leader Leader
}

// NewServer returns a server that passes requests on to the controller's dispatcher.
func NewServer(leader Leader) *Server { return &Server{leader: leader} }

// statusError converts an error of the leader to a gRPC status; nil stays nil. The code determines
// whether the client tries another controller.
func statusError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, dispatch.ErrNotLeader):
		return status.Error(codes.Unavailable, "this controller is not the leader")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return status.Error(codes.DeadlineExceeded, "not durable yet: check whether the command was recorded, and repeat it if not")
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

// Create creates a plan from its text. It responds once the plan is durable.
func (s *Server) Create(ctx context.Context, request *rolloutpb.CreateRequest) (*rolloutpb.CreateReply, error) {
	spec, err := rollout.ParseSpec(request.Text)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &rolloutpb.CreateReply{Name: spec.Name}, statusError(s.leader.CreatePlan(ctx, spec))
}

// Steer applies a command to a plan. It responds once the command is durable.
func (s *Server) Steer(ctx context.Context, request *rolloutpb.SteerRequest) (*rolloutpb.SteerReply, error) {
	return &rolloutpb.SteerReply{}, statusError(s.leader.SteerPlan(ctx, request.Name, rollout.Command(request.Command), request.Argument))
}

// List returns all plans and the disrupted jobs.
func (s *Server) List(ctx context.Context, _ *rolloutpb.ListRequest) (*rolloutpb.ListReply, error) {
	list, err := s.leader.ListPlans(ctx)
	if err != nil {
		return nil, statusError(err)
	}
	reply := &rolloutpb.ListReply{Term: list.Term}
	for _, plan := range list.Plans {
		reply.Plans = append(reply.Plans, encodePlan(&plan.Record, plan.WaitReasons))
	}
	for _, entry := range list.Disrupted {
		reply.Disrupted = append(reply.Disrupted, encodeDisruption(entry))
	}
	return reply, nil
}

func encodePlan(record *rollout.Record, waitReasons []string) *rolloutpb.Plan {
	return &rolloutpb.Plan{
		Name:      record.Spec.Name,
		Phase:     string(record.Phase),
		Paused:    record.Paused,
		Why:       record.Reason,
		Step:      int64(record.Step),
		Drained:   int64(record.Drained),
		CreatedMs: record.CreatedMS,
		PhaseMs:   record.PhaseMS,
		Batch:     record.Batch,
		Waits:     waitReasons,
	}
}

func encodeDisruption(entry rollout.Disruption) *rolloutpb.Disrupted {
	return &rolloutpb.Disrupted{
		Ref:   entry.Job.ID,
		Team:  entry.Job.Team,
		Class: entry.Job.Class,
		Cause: string(entry.Cause),
		ForMs: entry.Duration.Milliseconds(),
		Tasks: int64(entry.Tasks),
	}
}
