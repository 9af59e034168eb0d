package dispatch

import (
	"context"
	"leadproxy/internal/drain"
	"leadproxy/internal/scheduler"
)

// CreatePlan begins a plan, if this node leads.
func (d *Dispatcher) CreatePlan(ctx context.Context, spec drain.Spec) error {
	return d.askPlan(ctx, func(to scheduler.Recipient) scheduler.Event { return scheduler.PlanAsked{Spec: &spec, To: to} })
}

// SteerPlan tells a plan something, if this node leads.
func (d *Dispatcher) SteerPlan(ctx context.Context, name string, command drain.Command, argument string) error {
	return d.askPlan(ctx, func(to scheduler.Recipient) scheduler.Event {
		return scheduler.PlanAsked{Name: name, Command: command, Argument: argument, To: to}
	})
}

func (d *Dispatcher) askPlan(ctx context.Context, event func(to scheduler.Recipient) scheduler.Event) error {
	answer, err := d.askLeader(ctx, event)
	if err != nil {
		return err
	}
	return answer.(scheduler.PlanAnswer).Err
}

// ListPlans lists the plans, if this node leads.
func (d *Dispatcher) ListPlans(ctx context.Context) (scheduler.PlanList, error) {
	answer, err := d.askLeader(ctx, func(to scheduler.Recipient) scheduler.Event { return scheduler.PlansListed{To: to} })
	if err != nil {
		return scheduler.PlanList{}, err
	}
	return answer.(scheduler.PlanList), nil
}
