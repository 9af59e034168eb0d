package dispatch

import (
	"context"

	"leadproxy/internal/rollout"
	"leadproxy/internal/scheduler"
)

// CreatePlan creates a drain plan and returns when it is durable. The error is ErrNotLeader unless
// this controller leads.
func (d *Dispatcher) CreatePlan(ctx context.Context, spec rollout.Spec) error {
	return d.sendPlanRequest(ctx, scheduler.PlanRequest{Spec: &spec})
}

// SteerPlan sends a command to a drain plan and returns when that is durable. The error is
// ErrNotLeader unless this controller leads.
func (d *Dispatcher) SteerPlan(ctx context.Context, name string, command rollout.Command, argument string) error {
	return d.sendPlanRequest(ctx, scheduler.PlanRequest{Name: name, Command: command, Argument: argument})
}

// sendPlanRequest sends a request about a drain plan to the core and waits until it is durable or
// rejected.
func (d *Dispatcher) sendPlanRequest(ctx context.Context, request scheduler.PlanRequest) error {
	reply, err := askLeader[scheduler.PlanReply](ctx, d, func(replyTo scheduler.Recipient) scheduler.Event {
		request.ReplyTo = replyTo
		return request
	})
	if err != nil {
		return err
	}
	return reply.Err
}

// ListPlans lists the drain plans. The error is ErrNotLeader unless this controller leads.
func (d *Dispatcher) ListPlans(ctx context.Context) (scheduler.PlanListReply, error) {
	return askLeader[scheduler.PlanListReply](ctx, d, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.PlanListRequest{ReplyTo: replyTo}
	})
}
