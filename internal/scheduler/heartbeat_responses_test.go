package scheduler

import (
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestAnswersWaitForStarts: starts that a report made room for go with its answer,
// once their machine is in the ledger; a direct command after each answer was half
// of what a leader sent in a burst. An answer that waits is given all the same, and
// no start goes with two messages, nor with an answer that its worker has given up.
func TestAnswersWaitForStarts(t *testing.T) {
	cases := []struct {
		name string
		then func(g *stage, report func())
		want string // answers with their orders, and direct commands
	}{
		{"durable soon", func(g *stage, _ func()) { g.release() }, "answer with start start start start forget forget forget forget "},
		{"durable late", func(g *stage, _ func()) {
			g.now += maxHold
			g.step(Tick{})
			g.release()
		}, "answer with nothing, command with start start start start "},
		{"the worker has given it up", func(g *stage, report func()) {
			report()
			g.release()
		}, "answer with nothing, answer with start start start start forget forget forget forget "},
		{"given up and late", func(g *stage, report func()) {
			report()
			g.now += maxHold
			g.step(Tick{})
			g.release()
		}, "answer with nothing, answer with nothing, command with start start start start "},
		{"a new session", func(g *stage, _ func()) {
			r := g.reportOf("vm-1", ours)
			r.AgentEpoch = 2
			g.step(HeartbeatEvent{Heartbeat: r, ReplyTo: recipient("w")})
			g.release()
		}, "answer with nothing, answer with nothing"},
		{"the machine is gone", func(g *stage, _ func()) {
			g.c.removeMachine(g.c.machineNamed("vm-1"), "deleted")
			g.release()
		}, "no answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newStage(t, ledger.Snapshot{})
			g.up("vm-1")
			g.submit(newTestJob("job-1", 4, 1))
			first := g.starts()
			g.settle(CommandExecuted)
			var ended []wire.TaskStatus
			for _, o := range first {
				ended = append(ended, taskIn(o, wire.TaskEnded, wire.ExitDone))
			}
			g.submit(newTestJob("job-2", 4, 1))
			g.want("started on a full machine", len(g.starts()), 0)

			g.held, g.out = true, nil
			report := func() { g.step(HeartbeatEvent{Heartbeat: g.reportOf("vm-1", ours, ended...), ReplyTo: recipient("w")}) }
			report()
			g.want("answered at once", len(g.out), 0)
			c.then(g, report)
			got := ""
			add := func(s string) {
				if got != "" {
					got += ", "
				}
				got += s
			}
			for _, e := range g.out {
				switch a := e.(HeartbeatReply); {
				case a.Response == nil:
					add("no answer")
				case len(a.Response.Commands) == 0:
					add("answer with nothing")
				default:
					add("answer with " + verbs(a.Response))
				}
			}
			for _, d := range g.start {
				add("command with " + verbs(&wire.HeartbeatResponse{Commands: d.Request.Commands}))
			}
			g.want("sent", got, c.want)
			seen := map[string]bool{}
			for _, o := range g.starts() {
				if seen[o.Task] {
					t.Errorf("%s was started twice", o.Task)
				}
				seen[o.Task] = true
			}
		})
	}
}
