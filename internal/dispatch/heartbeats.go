package dispatch

import (
	"context"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// Heartbeat has the core answer a worker's heartbeat.
func (d *Dispatcher) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (*wire.HeartbeatResponse, error) {
	reply, err := ask[scheduler.HeartbeatReply](ctx, d.mailboxes.heartbeats, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: replyTo}
	})
	if err != nil {
		return nil, err
	}
	return heartbeatResponse(reply)
}

// HeartbeatAsync has the core answer a worker's heartbeat through respond, once, or never if
// the term ends meanwhile. respond must not wait.
func (d *Dispatcher) HeartbeatAsync(ctx context.Context, heartbeat *wire.Heartbeat, respond func(*wire.HeartbeatResponse, error)) {
	callback := heartbeatCallback(respond)
	select {
	case d.mailboxes.heartbeats <- request{event: scheduler.HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: callback}, caller: callback}:
	case <-ctx.Done():
	}
}

// heartbeatCallback is a caller that is called with the outcome of a heartbeat.
type heartbeatCallback func(*wire.HeartbeatResponse, error)

// Deliver takes the reply of the core.
func (respond heartbeatCallback) Deliver(effect scheduler.Effect) { respond(heartbeatResponse(effect)) }

// Reject takes an error in place of a reply.
func (respond heartbeatCallback) Reject(err error) { respond(nil, err) }

// heartbeatResponse is the response that a reply of the core holds. Without one, the core
// can't answer as the leader.
func heartbeatResponse(effect scheduler.Effect) (*wire.HeartbeatResponse, error) {
	if reply, ok := effect.(scheduler.HeartbeatReply); ok && reply.Response != nil {
		return reply.Response, nil
	}
	return nil, ErrNotLeader
}
