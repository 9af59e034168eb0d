package dispatch

import (
	"context"
	"errors"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// Errors of users' requests.
var (
	// ErrJobUnknown means that the core has no job of that name.
	ErrJobUnknown = errors.New("the job is not known to the leader")
	// ErrTerminalStatePending means that the job's terminal state is being written: only a
	// fresh read of its record can tell whether the job has ended.
	ErrTerminalStatePending = errors.New("the job's terminal state is being written")
	// ErrCellUnreachable means that the job may run in another cell, which does not answer.
	ErrCellUnreachable = errors.New("the cell that may run the job does not answer")
)

// Status returns a job's state.
func (d *Dispatcher) Status(ctx context.Context, job string) (wire.JobStatus, error) {
	return d.sendUserRequest(ctx, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.StatusRequest{JobID: job, ReplyTo: replyTo}
	})
}

// Cancel has a job cancelled and waits until that is durable.
func (d *Dispatcher) Cancel(ctx context.Context, job string) (wire.JobStatus, error) {
	return d.sendUserRequest(ctx, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.CancelRequest{JobID: job, ReplyTo: replyTo}
	})
}

// sendUserRequest has the core answer a user's request, after all else that waits.
func (d *Dispatcher) sendUserRequest(ctx context.Context, event eventBuilder) (wire.JobStatus, error) {
	reply, err := askCore[scheduler.UserReply](ctx, d.mailboxes.userRequests, event)
	switch {
	case err != nil:
		return wire.JobStatus{}, err
	case reply.TerminalStatePending:
		return wire.JobStatus{}, ErrTerminalStatePending
	case reply.CellUnreachable:
		return wire.JobStatus{}, ErrCellUnreachable
	case !reply.Known:
		return wire.JobStatus{}, ErrJobUnknown
	}
	return reply.Status, nil
}

// NotifyJobCreated passes a job record to the core before the watch does. The watch brings it
// too, so it is dropped rather than waited for.
func (d *Dispatcher) NotifyJobCreated(record scheduler.JobRecordEvent) {
	select {
	case d.mailboxes.internalEvents <- record:
	default:
	}
}
