package dispatch

import (
	"context"
	"errors"
	"testing"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// TestAskCore: a request ends with the core's reply, an error, or its context.
func TestAskCore(t *testing.T) {
	refused := errors.New("refused")
	cases := []struct {
		name    string
		respond func(request request, cancel context.CancelFunc)
		known   bool
		err     error
	}{
		{"a reply", func(r request, _ context.CancelFunc) { r.caller.Deliver(scheduler.UserReply{Known: true}) }, true, nil},
		{"no term", func(r request, _ context.CancelFunc) { r.caller.Reject(refused) }, false, refused},
		{"a reply to another request", func(r request, _ context.CancelFunc) { r.caller.Deliver(scheduler.PlanReply{}) }, false, errUnexpectedReply},
		{"no reply", func(_ request, cancel context.CancelFunc) { cancel() }, false, context.Canceled},
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

// TestUserReplies: the core's reply about a job becomes a state or a typed error.
func TestUserReplies(t *testing.T) {
	cases := []struct {
		name  string
		reply scheduler.UserReply
		err   error
	}{
		{"known", scheduler.UserReply{Known: true, Status: wire.JobStatus{ID: "job-1"}}, nil},
		{"unknown", scheduler.UserReply{}, ErrJobUnknown},
		{"its end is being written", scheduler.UserReply{Known: true, TerminalStatePending: true}, ErrTerminalStatePending},
		{"in a cell that does not answer", scheduler.UserReply{Known: true, CellUnreachable: true}, ErrCellUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := &Dispatcher{mailboxes: newMailboxes()}
			go func() { (<-d.mailboxes.userRequests).caller.Deliver(c.reply) }()
			status, err := d.Status(t.Context(), "job-1")
			if status.ID != c.reply.Status.ID || !errors.Is(err, c.err) {
				t.Errorf("%+v, error %v, want %v", status, err, c.err)
			}
		})
	}
}

// TestHeartbeatWithoutResponse: a reply without a response means that this controller can't
// answer as the leader, whether the caller waits or is called back.
func TestHeartbeatWithoutResponse(t *testing.T) {
	d := &Dispatcher{mailboxes: newMailboxes()}
	answer := func() { (<-d.mailboxes.heartbeats).caller.Deliver(scheduler.HeartbeatReply{}) }
	go answer()
	if _, err := d.Heartbeat(t.Context(), &wire.Heartbeat{}); !errors.Is(err, ErrNotLeader) {
		t.Errorf("waiting: %v", err)
	}
	outcome := make(chan error, 1)
	d.HeartbeatAsync(t.Context(), &wire.Heartbeat{}, func(_ scheduler.HeartbeatReply, err error) { outcome <- err })
	answer()
	if err := <-outcome; !errors.Is(err, ErrNotLeader) {
		t.Errorf("called back: %v", err)
	}
}
