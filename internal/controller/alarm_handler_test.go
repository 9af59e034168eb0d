package controller

import (
	"context"
	"log/slog"
	"testing"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/scheduler"
)

// alarmHandler fails the test when a controller logs a message that reports a violated invariant. It
// passes records on to next if next accepts them.
type alarmHandler struct {
	t    *testing.T
	next slog.Handler
}

// Enabled accepts what next accepts, and all errors.
func (a alarmHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelError || a.next.Enabled(ctx, level)
}

// Handle checks a record and passes it on.
func (a alarmHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Message == scheduler.MessageCancelledTaskOverdue || r.Message == dispatch.MessageForbiddenStart {
		text := ""
		r.Attrs(func(attribute slog.Attr) bool {
			text += " " + attribute.String()
			return true
		})
		a.t.Errorf("%s:%s", r.Message, text)
	}
	if !a.next.Enabled(ctx, r.Level) {
		return nil
	}
	return a.next.Handle(ctx, r)
}

// WithAttrs passes the attributes on.
func (a alarmHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return alarmHandler{a.t, a.next.WithAttrs(attrs)}
}

// WithGroup passes the group on.
func (a alarmHandler) WithGroup(name string) slog.Handler {
	return alarmHandler{a.t, a.next.WithGroup(name)}
}
