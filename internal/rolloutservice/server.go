// Package rolloutservice is the gRPC service by which operators create, control and list the
// plans that drain machines, through any controller. Package rollout defines the plans.
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

// Server serves operators.
type Server struct {
	rolloutpb.UnimplementedRolloutsServer
	leader Leader
}

// NewServer returns a server for a controller.
func NewServer(leader Leader) *Server { return &Server{leader: leader} }

// statusError returns the status for an error of the leader. Its code tells the operator's program
// whether to try another controller.
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

// Create creates a plan from its text.
func (s *Server) Create(ctx context.Context, r *rolloutpb.CreateRequest) (*rolloutpb.CreateReply, error) {
	spec, err := rollout.ParseSpec(r.Text)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &rolloutpb.CreateReply{Name: spec.Name}, statusError(s.leader.CreatePlan(ctx, spec))
}

// Steer gives a command to a plan.
func (s *Server) Steer(ctx context.Context, r *rolloutpb.SteerRequest) (*rolloutpb.SteerReply, error) {
	return &rolloutpb.SteerReply{}, statusError(s.leader.SteerPlan(ctx, r.Name, rollout.Command(r.Command), r.Argument))
}

// List lists all plans and the disrupted jobs.
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
