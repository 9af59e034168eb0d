// Package rolloutservice is the gRPC service by which operators create, steer and list the
// plans that drain machines, through any controller. Package rollout defines the plans.
package rolloutservice

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/rollout"
	"leadproxy/internal/rolloutservice/rolloutpb"
	"leadproxy/internal/rpc"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// callLimit bounds a call: a command waits until it is durable.
const callLimit = 5 * time.Second

// Leader is what plans need of the dispatcher.
type Leader interface {
	CreatePlan(ctx context.Context, spec rollout.Spec) error
	SteerPlan(ctx context.Context, name string, command rollout.Command, argument string) error
	ListPlans(ctx context.Context) (scheduler.PlanListReply, error)
}

// Server answers operators.
type Server struct {
	rolloutpb.UnimplementedRolloutsServer
	leader Leader
}

// NewServer makes a server for a controller.
func NewServer(leader Leader) *Server { return &Server{leader: leader} }

// statusOf tells an operator's program what became of a command: whether another controller
// may do better.
func statusOf(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, dispatch.ErrNotLeader):
		return status.Error(codes.Unavailable, "this controller does not lead")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return status.Error(codes.DeadlineExceeded, "not durable yet: look whether it was taken, and ask again")
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

// Create begins a plan.
func (s *Server) Create(ctx context.Context, r *rolloutpb.CreateRequest) (*rolloutpb.CreateReply, error) {
	spec, err := rollout.ParseSpec(r.Text)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &rolloutpb.CreateReply{Name: spec.Name}, statusOf(s.leader.CreatePlan(ctx, spec))
}

// Steer tells a plan something.
func (s *Server) Steer(ctx context.Context, r *rolloutpb.SteerRequest) (*rolloutpb.SteerReply, error) {
	return &rolloutpb.SteerReply{}, statusOf(s.leader.SteerPlan(ctx, r.Name, rollout.Command(r.Command), r.Argument))
}

// List tells how all plans stand.
func (s *Server) List(ctx context.Context, _ *rolloutpb.ListRequest) (*rolloutpb.ListReply, error) {
	list, err := s.leader.ListPlans(ctx)
	if err != nil {
		return nil, statusOf(err)
	}
	reply := &rolloutpb.ListReply{Term: list.Term}
	for _, p := range list.Plans {
		r := &p.Record
		reply.Plans = append(reply.Plans, &rolloutpb.Plan{Name: r.Spec.Name, Phase: string(r.Phase), Paused: r.Paused, Why: r.Why, Step: int64(r.Step),
			Drained: int64(r.Drained), CreatedMs: r.CreatedMS, PhaseMs: r.PhaseMS, Batch: r.Batch, Waits: p.Waits})
	}
	for _, d := range list.Disrupted {
		reply.Disrupted = append(reply.Disrupted, &rolloutpb.Disrupted{Ref: d.Job.Ref, Team: d.Job.Team, Class: d.Job.Class, Cause: string(d.Cause),
			ForMs: d.For.Milliseconds(), Tasks: int64(d.Tasks)})
	}
	return reply, nil
}

// ask asks the leader of a deployment.
func ask(ctx context.Context, n transport.Network, p *settings.Platform, do func(ctx context.Context, c rolloutpb.RolloutsClient) error) error {
	return rpc.CallLeader(ctx, n, p.Controllers(), callLimit, func(ctx context.Context, conn *grpc.ClientConn) error {
		return do(ctx, rolloutpb.NewRolloutsClient(conn))
	})
}

// Create begins a plan from its text and returns its name.
func Create(ctx context.Context, n transport.Network, p *settings.Platform, text string) (name string, err error) {
	err = ask(ctx, n, p, func(ctx context.Context, c rolloutpb.RolloutsClient) error {
		reply, err := c.Create(ctx, &rolloutpb.CreateRequest{Text: text})
		name = reply.GetName()
		return err
	})
	return name, err
}

// Steer tells a plan something.
func Steer(ctx context.Context, n transport.Network, p *settings.Platform, name string, command rollout.Command, argument string) error {
	return ask(ctx, n, p, func(ctx context.Context, c rolloutpb.RolloutsClient) error {
		_, err := c.Steer(ctx, &rolloutpb.SteerRequest{Name: name, Command: string(command), Argument: argument})
		return err
	})
}

// List asks how all plans stand.
func List(ctx context.Context, n transport.Network, p *settings.Platform) (reply *rolloutpb.ListReply, err error) {
	err = ask(ctx, n, p, func(ctx context.Context, c rolloutpb.RolloutsClient) error {
		var err error
		reply, err = c.List(ctx, &rolloutpb.ListRequest{})
		return err
	})
	return reply, err
}

// mostWaits is how many of the things that a plan waits for are shown.
const mostWaits = 20

// Write writes how all plans stand: what they wait for in words, and which jobs count as
// disrupted.
func Write(out io.Writer, l *rolloutpb.ListReply, now time.Time) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	age := func(ms int64) string { return now.Sub(time.UnixMilli(ms)).Round(time.Second).String() }
	fmt.Fprintln(w, "PLAN\tPHASE\tFOR\tSTEP\tDRAINED\tBATCH\tAGE\tWHY")
	for _, p := range l.Plans {
		phase := p.Phase
		if p.Paused {
			phase += ", paused"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", p.Name, phase, age(p.PhaseMs), p.Step, p.Drained, strings.Join(p.Batch, " "), age(p.CreatedMs), p.Why)
	}
	for _, p := range l.Plans {
		if len(p.Waits) == 0 {
			continue
		}
		fmt.Fprintf(w, "\n%s waits for\n", p.Name)
		for i, why := range p.Waits {
			if i == mostWaits {
				fmt.Fprintf(w, "  and %d more\n", len(p.Waits)-mostWaits)
				break
			}
			fmt.Fprintf(w, "  %s\n", why)
		}
	}
	fmt.Fprintln(w, "\nDISRUPTED\tTEAM\tCLASS\tCAUSE\tFOR\tTASKS TO REGAIN")
	for _, d := range l.Disrupted {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", d.Ref, d.Team, d.Class, d.Cause, (time.Duration(d.ForMs) * time.Millisecond).Round(time.Second), d.Tasks)
	}
	return w.Flush()
}
