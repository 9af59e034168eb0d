package dispatch

import (
	"context"
	"errors"
	"testing"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// TestAskCore checks that a request ends with the core's reply, with an error, or with its context.
func TestAskCore(t *testing.T) {
	refused := errors.New("refused")
	cases := []struct {
		name    string
		respond func(request request, cancel context.CancelFunc)
		known   bool
		err     error
	}{
		{"matching reply", func(request request, _ context.CancelFunc) { request.caller.Deliver(scheduler.UserReply{Known: true}) }, true, nil},
		{"rejected between terms", func(request request, _ context.CancelFunc) { request.caller.Reject(refused) }, false, refused},
		{"reply of another type", func(request request, _ context.CancelFunc) { request.caller.Deliver(scheduler.PlanReply{}) }, false, errUnexpectedReply},
		{"context cancelled before a reply", func(_ request, cancel context.CancelFunc) { cancel() }, false, context.Canceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			mailbox := make(chan request, 1)
			go func() { c.respond(<-mailbox, cancel) }()
			reply, err := askCore[scheduler.UserReply](ctx, mailbox, func(replyTo scheduler.Recipient) scheduler.Event {
				return scheduler.StatusRequest{ReplyTo: replyTo}
			})
			if reply.Known != c.known || !errors.Is(err, c.err) {
				t.Errorf("reply %+v, error %v, want known %v, error %v", reply, err, c.known, c.err)
			}
		})
	}
}

// TestUserReplies checks that the core's reply about a job is converted to a status or to the
// matching error.
func TestUserReplies(t *testing.T) {
	cases := []struct {
		name  string
		reply scheduler.UserReply
		err   error
	}{
		{"known job", scheduler.UserReply{Known: true, Status: wire.JobStatus{ID: "job-1"}}, nil},
		{"unknown job", scheduler.UserReply{}, ErrJobUnknown},
		{"terminal state pending", scheduler.UserReply{Known: true, TerminalStatePending: true}, ErrTerminalStatePending},
		{"unreachable cell", scheduler.UserReply{Known: true, CellUnreachable: true}, ErrCellUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := &Dispatcher{mailboxes: newMailboxes()}
			go func() { (<-d.mailboxes.userRequests).caller.Deliver(c.reply) }()
			status, err := d.Status(t.Context(), "job-1")
			if status.ID != c.reply.Status.ID || !errors.Is(err, c.err) {
				t.Errorf("status %+v, error %v, want the reply's job and error %v", status, err, c.err)
			}
		})
	}
}

// TestHeartbeatWithoutResponse checks that a reply without a response, with which the core says
// that it can't answer as the leader, becomes ErrNotLeader both for a caller that waits and for a
// callback.
func TestHeartbeatWithoutResponse(t *testing.T) {
	d := &Dispatcher{mailboxes: newMailboxes()}
	answer := func() { (<-d.mailboxes.heartbeats).caller.Deliver(scheduler.HeartbeatReply{}) }
	go answer()
	if _, err := d.Heartbeat(t.Context(), &wire.Heartbeat{}); !errors.Is(err, ErrNotLeader) {
		t.Errorf("Heartbeat: error %v, want ErrNotLeader", err)
	}
	outcome := make(chan error, 1)
	d.HeartbeatAsync(t.Context(), &wire.Heartbeat{}, func(_ scheduler.HeartbeatReply, err error) { outcome <- err })
	answer()
	if err := <-outcome; !errors.Is(err, ErrNotLeader) {
		t.Errorf("HeartbeatAsync: error %v, want ErrNotLeader", err)
	}
}
