package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// MessageLeaderAction is the log message of an action that only the leader may take.
const MessageLeaderAction = "leader action"

// MessageForbiddenStart is logged as an error when the start of a task was about to be sent
// although the cancellation of its job had been confirmed. This must never happen, because the core
// withdraws such starts before it confirms the cancellation.
const MessageForbiddenStart = "start of a cancelled job was about to be sent"

// errWithdrawn means that all commands of a request were withdrawn before it was sent.
var errWithdrawn = errors.New("all commands were withdrawn")

// SendGuard decides, immediately before commands or calls are sent, whether they may still be sent.
// A decision of the core may have waited for a batch, a connection or a rate limiter, and its
// preconditions may no longer hold.
type SendGuard struct {
	leadership      Leadership
	log             *slog.Logger
	forbiddenStarts atomic.Int64 // number of starts that should have been withdrawn
}

// Leadership is the part of the elector that SendGuard uses. IsLeader reports whether this
// controller is certain to be the leader in the given term.
type Leadership interface {
	IsLeader(term uint64) bool
}

// NewSendGuard returns the send guard of a controller.
func NewSendGuard(leadership Leadership, log *slog.Logger) *SendGuard {
	return &SendGuard{leadership: leadership, log: log}
}

// MayAct reports whether this controller still leads in the given term. Call it immediately before
// an action that only the leader may take. It logs the action.
func (g *SendGuard) MayAct(term uint64, action string) bool {
	if !g.leadership.IsLeader(term) {
		g.log.Debug("action dropped because the term has ended or the lease has expired", "leader_term", term, "action", action)
		return false
	}
	g.logAction(term, action)
	return true
}

// FilterResponse returns the response to a heartbeat with those commands that may be sent now. The
// error is ErrNotLeader if the term has ended.
func (g *SendGuard) FilterResponse(term uint64, reply scheduler.HeartbeatReply) (wire.HeartbeatResponse, error) {
	if !g.leadership.IsLeader(term) {
		return wire.HeartbeatResponse{}, ErrNotLeader
	}
	sendable := g.takeSendable(term, reply.Response.Commands, reply.Starts)
	if len(sendable) > 0 {
		g.logAction(term, "heartbeat response")
	}
	return wire.HeartbeatResponse{FencingToken: reply.Response.FencingToken, Commands: sendable}, nil
}

// FilterCommandRequest returns a request to an agent with those commands that may be sent now. The
// error is ErrNotLeader if the term has ended, and errWithdrawn if all commands were withdrawn.
func (g *SendGuard) FilterCommandRequest(term uint64, effect scheduler.SendCommands) (wire.CommandRequest, error) {
	if !g.leadership.IsLeader(term) {
		return wire.CommandRequest{}, ErrNotLeader
	}
	request := effect.Request
	request.Commands = g.takeSendable(term, request.Commands, effect.Starts)
	if len(request.Commands) == 0 && len(effect.Request.Commands) > 0 {
		return wire.CommandRequest{}, errWithdrawn
	}
	return request, nil
}

// takeSendable returns the commands without those starts that were withdrawn. The remaining starts
// count as sent and can't be withdrawn any more.
func (g *SendGuard) takeSendable(term uint64, commands []wire.Command, starts scheduler.StartDeliveries) []wire.Command {
	sendable, forbidden := starts.TakeSendable(commands)
	for _, start := range forbidden {
		g.log.Error(MessageForbiddenStart, "leader_term", term, "task", start.Task, "attempt", start.Attempt, "count", g.forbiddenStarts.Add(1))
	}
	if len(starts) > 0 && g.log.Enabled(context.Background(), slog.LevelDebug) {
		g.logStarts(term, sendable)
	}
	return sendable
}

// logStarts logs the starts that are being sent, which may be some time after they were decided.
func (g *SendGuard) logStarts(term uint64, sent []wire.Command) {
	for _, command := range sent {
		if command.Verb == wire.VerbStart {
			g.log.Debug("start sent", "leader_term", term, "task", command.Task, "attempt", command.Attempt)
		}
	}
}

func (g *SendGuard) logAction(term uint64, action string) {
	if g.log.Enabled(context.Background(), slog.LevelDebug) {
		g.log.Debug(MessageLeaderAction, "leader_term", term, "action", action)
	}
}
