package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

func TestWhoIsRelayed(t *testing.T) {
	type step struct {
		after  time.Duration
		leader string
		relay  bool
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"a first visit is sent to the leader", []step{{0, "n1", false}}},
		{"one that comes back is relayed, and stays so", []step{{0, "n1", false}, {9 * time.Second, "n1", true}, {3 * time.Second, "n1", true}}},
		{"one that comes after a long time is sent again", []step{{0, "n1", false}, {30 * time.Second, "n1", false}}},
		{"a new leader is tried first", []step{{0, "n1", false}, {9 * time.Second, "n1", true}, {3 * time.Second, "n2", false}}},
		{"the leader is tried again in time", []step{{0, "n1", false}, {9 * time.Second, "n1", true}, {15 * time.Second, "n1", true},
			{15 * time.Second, "n1", true}, {15 * time.Second, "n1", false}, {9 * time.Second, "n1", true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGate(t.Context(), "n0", nil, nil, nil, 100, slog.New(slog.NewTextHandler(io.Discard, nil)))
				for i, s := range c.steps {
					time.Sleep(s.after)
					if got := g.mayRelay(t.Context(), "vm-1", s.leader); got != s.relay {
						t.Errorf("visit %d: relayed %v, want %v", i, got, s.relay)
					}
				}
			})
		})
	}
}

// eager answers every report, as a dispatcher would that does not know that its
// term is over.
type eager struct{}

func (eager) Report(context.Context, *wire.Report) (*wire.ReportAnswer, error) {
	return &wire.ReportAnswer{Token: 1, Orders: []wire.Order{{Verb: wire.Start, Task: "job-1/0", Attempt: 1}}}, nil
}

// TestNoAnswerPastTheTerm: a node that is not in its term sends workers on, with
// no orders, so that they find another node before their leases end.
func TestNoAnswerPastTheTerm(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	e := election.New("n1", settings.Operator{LeaderLease: time.Second}, nil, log)
	g := newGate(t.Context(), "n1", e, eager{}, nil, 100, log)
	body := []byte(`{"host":"vm-1","address":"10.1.0.1:9000","flavor":"m","room":"a","tenure":1,"tick":4,"baton":0,"pieces":[]}`)
	a := g.relayedHere(t.Context(), body)
	if a.Status != http.StatusMisdirectedRequest || strings.Contains(string(a.Body), "boss") || strings.Contains(string(a.Body), "start") {
		t.Errorf("answered %d %s", a.Status, a.Body)
	}
}
