package dispatch

import (
	"context"
	"leadproxy/internal/rollout"
	"leadproxy/internal/scheduler"
)

// CreatePlan begins a plan, if this node leads.
func (d *Dispatcher) CreatePlan(ctx context.Context, spec rollout.Spec) error {
	return d.askPlan(ctx, func(to scheduler.Recipient) scheduler.Event { return scheduler.PlanRequest{Spec: &spec, ReplyTo: to} })
}

// SteerPlan tells a plan something, if this node leads.
func (d *Dispatcher) SteerPlan(ctx context.Context, name string, command rollout.Command, argument string) error {
	return d.askPlan(ctx, func(to scheduler.Recipient) scheduler.Event {
		return scheduler.PlanRequest{Name: name, Command: command, Argument: argument, ReplyTo: to}
	})
}

func (d *Dispatcher) askPlan(ctx context.Context, event func(to scheduler.Recipient) scheduler.Event) error {
	answer, err := d.askLeader(ctx, event)
	if err != nil {
		return err
	}
	return answer.(scheduler.PlanReply).Err
}

// ListPlans lists the plans, if this node leads.
func (d *Dispatcher) ListPlans(ctx context.Context) (scheduler.PlanListReply, error) {
	answer, err := d.askLeader(ctx, func(to scheduler.Recipient) scheduler.Event { return scheduler.PlanListRequest{ReplyTo: to} })
	if err != nil {
		return scheduler.PlanListReply{}, err
	}
	return answer.(scheduler.PlanListReply), nil
}
