package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"

	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// MessageLeaderAction is the log message of a leader as it does something that only a
// leader may do.
const MessageLeaderAction = "leader action"

// MessageForbiddenStart is logged as an error when a start of a job whose cancellation was
// confirmed was about to leave the controller. It must never happen: the core withdraws such
// starts before.
const MessageForbiddenStart = "start of a cancelled job was about to be sent"

// errWithdrawn means that all commands of a message were withdrawn before it was sent.
var errWithdrawn = errors.New("all commands were withdrawn")

// SendGuard decides, right before something leaves this controller, whether it still may: a
// decision can wait for a batch, a connection or its turn, and what it rested on can end
// meanwhile.
type SendGuard struct {
	elector         Leadership
	log             *slog.Logger
	forbiddenStarts atomic.Int64 // starts that should have been withdrawn
}

// Leadership tells whether this controller leads.
type Leadership interface {
	IsLeader(term uint64) bool
}

// NewSendGuard makes a guard for a controller.
func NewSendGuard(elector Leadership, log *slog.Logger) *SendGuard {
	return &SendGuard{elector: elector, log: log}
}

// MayAct reports whether this controller still leads a term. It is called right before an action
// that only the leader may take.
func (g *SendGuard) MayAct(term uint64, action string) bool {
	if !g.elector.IsLeader(term) {
		g.log.Debug("action dropped: not the leader any more", "leader_term", term, "action", action)
		return false
	}
	g.logAction(term, action)
	return true
}

// FilterResponse returns what may leave now of the response to a heartbeat, or ErrNotLeader past the end
// of the term.
func (g *SendGuard) FilterResponse(term uint64, reply scheduler.HeartbeatReply) (wire.HeartbeatResponse, error) {
	if !g.elector.IsLeader(term) {
		return wire.HeartbeatResponse{}, ErrNotLeader
	}
	sendable := g.takeSendable(term, reply.Response.Commands, reply.Starts)
	if len(sendable) > 0 {
		g.logAction(term, "heartbeat response")
	}
	return wire.HeartbeatResponse{FencingToken: reply.Response.FencingToken, Commands: sendable}, nil
}

// FilterCommandRequest returns what may leave now of the direct commands to a worker: ErrNotLeader past
// the end of the term, errWithdrawn if no command is left.
func (g *SendGuard) FilterCommandRequest(term uint64, effect scheduler.SendCommands) (wire.CommandRequest, error) {
	if !g.elector.IsLeader(term) {
		return wire.CommandRequest{}, ErrNotLeader
	}
	request := effect.Request
	request.Commands = g.takeSendable(term, request.Commands, effect.Starts)
	if len(request.Commands) == 0 && len(effect.Request.Commands) > 0 {
		return wire.CommandRequest{}, errWithdrawn
	}
	return request, nil
}

// takeSendable returns the commands whose starts were not withdrawn. They count as sent from then on.
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

// logStarts logs the starts that leave: their decision may be a while ago.
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
