package controller

import (
	"context"
	"log/slog"
	"testing"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/scheduler"
)

// alarmHandler fails a test when a controller logs what must never happen.
type alarmHandler struct {
	t    *testing.T
	next slog.Handler // takes the other lines
}

// Enabled takes what next takes, and all errors.
func (a alarmHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelError || a.next.Enabled(ctx, level)
}

// Handle checks a line and passes it on.
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

// WithAttrs passes them on.
func (a alarmHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return alarmHandler{a.t, a.next.WithAttrs(attrs)}
}

// WithGroup passes it on.
func (a alarmHandler) WithGroup(name string) slog.Handler {
	return alarmHandler{a.t, a.next.WithGroup(name)}
}
