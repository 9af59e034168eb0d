package controller

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"leadproxy/internal/dispatch"
)

// leaderActionChecker checks that no two controllers act as the leader at the same time: once
// commands or cloud calls of a term have left a controller, none of an earlier term may be sent. It
// reads the actions from the controllers' logs, where time alone orders them, so no search for a
// linearization is needed.
type leaderActionChecker struct {
	t      *testing.T
	newest chan leaderAction // holds the latest one of the newest term
}

// leaderAction is the latest action of a term.
type leaderAction struct {
	term     uint64
	loggedAt time.Time
}

func newLeaderActionChecker(t *testing.T) *leaderActionChecker {
	c := &leaderActionChecker{t: t, newest: make(chan leaderAction, 1)}
	c.newest <- leaderAction{}
	return c
}

// Enabled accepts all records, since actions are logged at the debug level.
func (c *leaderActionChecker) Enabled(context.Context, slog.Level) bool { return true }

// Handle checks the actions of leaders.
func (c *leaderActionChecker) Handle(_ context.Context, r slog.Record) error {
	if r.Message != dispatch.MessageLeaderAction {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "leader_term" {
			return true
		}
		term := a.Value.Uint64()
		newest := <-c.newest
		if term < newest.term {
			c.t.Errorf("term %d acts at %s, after term %d acted at %s", term, r.Time, newest.term, newest.loggedAt)
		} else {
			newest = leaderAction{term, r.Time}
		}
		c.newest <- newest
		return false
	})
	return nil
}

// WithAttrs returns the handler unchanged.
func (c *leaderActionChecker) WithAttrs([]slog.Attr) slog.Handler { return c }

// WithGroup returns the handler unchanged.
func (c *leaderActionChecker) WithGroup(string) slog.Handler { return c }
