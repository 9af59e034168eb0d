package dispatch

import (
	"context"
	"errors"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// Errors of user requests.
var (
	// ErrJobUnknown means that the core has no job with that ID.
	ErrJobUnknown = errors.New("job is not known to the leader")
	// ErrTerminalStatePending means that the job's terminal state is being written, or that a job
	// it depends on is not known. Whether the job has ended is known only from a fresh read of
	// its record and those of its ancestors.
	ErrTerminalStatePending = errors.New("terminal state of the job is not known to the leader")
	// ErrCellUnreachable means that the job may run in another cell, which does not respond.
	// Its text is part of an HTTP response.
	ErrCellUnreachable = errors.New("the cell that may run the job does not answer")
)

// Status returns the status of a job.
func (d *Dispatcher) Status(ctx context.Context, job string) (wire.JobStatus, error) {
	return d.sendUserRequest(ctx, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.StatusRequest{JobID: job, ReplyTo: replyTo}
	})
}

// Cancel cancels a job and returns its status when the cancellation is durable.
func (d *Dispatcher) Cancel(ctx context.Context, job string) (wire.JobStatus, error) {
	return d.sendUserRequest(ctx, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.CancelRequest{JobID: job, ReplyTo: replyTo}
	})
}

// sendUserRequest sends a user's request to the core, with the lowest priority, and waits for the
// reply.
func (d *Dispatcher) sendUserRequest(ctx context.Context, newEvent eventBuilder) (wire.JobStatus, error) {
	reply, err := askCore[scheduler.UserReply](ctx, d.mailboxes.userRequests, newEvent)
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

// NotifyJobRecord posts a job record that was created or read to the core without waiting for the
// watch. If the mailbox is full, the record is dropped, because the watch delivers it too.
func (d *Dispatcher) NotifyJobRecord(record scheduler.JobRecordEvent) {
	select {
	case d.mailboxes.internalEvents <- record:
	default:
	}
}
