package controller

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"leadproxy/internal/dispatch"
)

// deciders sees to it that no two controllers decide at a time: once orders, commands or
// calls of a term have left its controller, none of an earlier term ever do, whatever its
// controller has lived through. It reads that from what the controllers log as they leave.
// (Time alone orders them: a search for a linearization would find no other order.)
type deciders struct {
	t      *testing.T
	newest chan leaderAct // holds the latest one of the newest term
}

// leaderAct is that something of a term has left its controller, and when.
type leaderAct struct {
	term uint64
	at   time.Time
}

func newDeciders(t *testing.T) *deciders {
	d := &deciders{t: t, newest: make(chan leaderAct, 1)}
	d.newest <- leaderAct{}
	return d
}

// Enabled takes all lines: the acts are told at the debug level.
func (d *deciders) Enabled(context.Context, slog.Level) bool { return true }

// Handle looks at what leaves.
func (d *deciders) Handle(_ context.Context, r slog.Record) error {
	if r.Message != dispatch.MessageLeaderAction {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "leader_term" {
			return true
		}
		term := a.Value.Uint64()
		newest := <-d.newest
		if term < newest.term {
			d.t.Errorf("term %d acts at %s, term %d has done so at %s", term, r.Time, newest.term, newest.at)
		} else {
			newest = leaderAct{term, r.Time}
		}
		d.newest <- newest
		return false
	})
	return nil
}

// WithAttrs and WithGroup keep the handler as it is.
func (d *deciders) WithAttrs([]slog.Attr) slog.Handler { return d }

// WithGroup keeps the handler as it is.
func (d *deciders) WithGroup(string) slog.Handler { return d }
