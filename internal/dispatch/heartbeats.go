package dispatch

import (
	"context"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// Heartbeat has the core answer a worker's heartbeat. What the reply holds may be sent only after
// the SendGuard has passed it.
func (d *Dispatcher) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (scheduler.HeartbeatReply, error) {
	reply, err := askCore[scheduler.HeartbeatReply](ctx, d.mailboxes.heartbeats, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: replyTo}
	})
	if err != nil {
		return scheduler.HeartbeatReply{}, err
	}
	return heartbeatReply(reply)
}

// HeartbeatAsync has the core answer a worker's heartbeat through respond, once, or never if
// the term ends meanwhile. respond must not wait.
func (d *Dispatcher) HeartbeatAsync(ctx context.Context, heartbeat *wire.Heartbeat, respond func(scheduler.HeartbeatReply, error)) {
	callback := heartbeatCallback(respond)
	select {
	case d.mailboxes.heartbeats <- request{event: scheduler.HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: callback}, caller: callback}:
	case <-ctx.Done():
	}
}

// heartbeatCallback is a caller that is called with the outcome of a heartbeat.
type heartbeatCallback func(scheduler.HeartbeatReply, error)

// Deliver takes the reply of the core.
func (respond heartbeatCallback) Deliver(effect scheduler.Effect) { respond(heartbeatReply(effect)) }

// Reject takes an error in place of a reply.
func (respond heartbeatCallback) Reject(err error) { respond(scheduler.HeartbeatReply{}, err) }

// heartbeatReply is the core's reply to a heartbeat. Without a response, the core can't answer as the
// leader.
func heartbeatReply(effect scheduler.Effect) (scheduler.HeartbeatReply, error) {
	if reply, ok := effect.(scheduler.HeartbeatReply); ok && reply.Response != nil {
		return reply, nil
	}
	return scheduler.HeartbeatReply{}, ErrNotLeader
}
