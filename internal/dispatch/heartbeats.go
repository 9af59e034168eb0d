package dispatch

import (
	"context"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// Heartbeat passes an agent's heartbeat to the core and returns the reply. The caller must filter
// the reply through SendGuard.FilterResponse immediately before sending it. The error is
// ErrNotLeader if this controller is not the leader.
func (d *Dispatcher) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (scheduler.HeartbeatReply, error) {
	reply, err := askCore[scheduler.HeartbeatReply](ctx, d.mailboxes.heartbeats, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: replyTo}
	})
	if err != nil {
		return scheduler.HeartbeatReply{}, err
	}
	return heartbeatReply(reply)
}

// HeartbeatAsync passes an agent's heartbeat to the core, which replies by calling respond. respond
// is called at most once, and never if the term ends first. It must not block.
func (d *Dispatcher) HeartbeatAsync(ctx context.Context, heartbeat *wire.Heartbeat, respond func(scheduler.HeartbeatReply, error)) {
	callback := heartbeatCallback(respond)
	select {
	case d.mailboxes.heartbeats <- request{event: scheduler.HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: callback}, caller: callback}:
	case <-ctx.Done():
	}
}

// heartbeatCallback is a caller whose function receives the outcome of a heartbeat.
type heartbeatCallback func(scheduler.HeartbeatReply, error)

// Deliver implements scheduler.Recipient.
func (respond heartbeatCallback) Deliver(effect scheduler.Effect) { respond(heartbeatReply(effect)) }

// Reject implements caller.
func (respond heartbeatCallback) Reject(err error) { respond(scheduler.HeartbeatReply{}, err) }

// heartbeatReply converts an effect to the reply to a heartbeat. The error is ErrNotLeader if the
// reply contains no response, which means that the core can't answer as the leader.
func heartbeatReply(effect scheduler.Effect) (scheduler.HeartbeatReply, error) {
	if reply, ok := effect.(scheduler.HeartbeatReply); ok && reply.Response != nil {
		return reply, nil
	}
	return scheduler.HeartbeatReply{}, ErrNotLeader
}
