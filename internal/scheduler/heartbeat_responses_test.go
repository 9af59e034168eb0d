package scheduler

import (
	"strings"
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestResponsesWaitForStarts: starts that a heartbeat made room for travel with its response,
// once their host is in the ledger; a direct command after each response was half of what a
// leader sent in a burst. A response that waits is sent all the same, and no start travels in
// two messages, nor with a response that its agent has given up.
func TestResponsesWaitForStarts(t *testing.T) {
	cases := []struct {
		name string
		then func(g *harness, report func())
		want string // responses with their commands, and direct commands
	}{
		{"durable soon", func(g *harness, _ func()) { g.releaseWrites() }, "answer with start start start start forget forget forget forget "},
		{"durable late", func(g *harness, _ func()) {
			g.now += maxResponseHold
			g.step(Tick{})
			g.releaseWrites()
		}, "answer with nothing, command with start start start start "},
		{"the worker has given it up", func(g *harness, report func()) {
			report()
			g.releaseWrites()
		}, "answer with nothing, answer with start start start start forget forget forget forget "},
		{"given up and late", func(g *harness, report func()) {
			report()
			g.now += maxResponseHold
			g.step(Tick{})
			g.releaseWrites()
		}, "answer with nothing, answer with nothing, command with start start start start "},
		{"a new session", func(g *harness, _ func()) {
			r := g.newHeartbeat("vm-1", termToken)
			r.AgentEpoch = 2
			g.step(HeartbeatEvent{Heartbeat: r, ReplyTo: testRecipient("w")})
			g.releaseWrites()
		}, "answer with nothing, answer with nothing"},
		{"the machine is gone", func(g *harness, _ func()) {
			g.core.removeMachine(g.core.findOrAddMachine("vm-1"), "deleted")
			g.releaseWrites()
		}, "no answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.submit(newTestJob("job-1", 4, 1))
			first := g.startCommands()
			g.completeCommands(CommandExecuted)
			var ended []wire.TaskStatus
			for _, o := range first {
				ended = append(ended, newTaskStatus(o, wire.TaskEnded, wire.ExitDone))
			}
			g.submit(newTestJob("job-2", 4, 1))
			g.want("started on a full machine", len(g.startCommands()), 0)

			g.holdWrites, g.recentEffects = true, nil
			report := func() {
				g.step(HeartbeatEvent{Heartbeat: g.newHeartbeat("vm-1", termToken, ended...), ReplyTo: testRecipient("w")})
			}
			report()
			g.want("answered at once", len(g.recentEffects), 0)
			c.then(g, report)
			got := ""
			add := func(s string) {
				if got != "" {
					got += ", "
				}
				got += s
			}
			for _, e := range g.recentEffects {
				switch a := e.(HeartbeatReply); {
				case a.Response == nil:
					add("no answer")
				case len(a.Response.Commands) == 0:
					add("answer with nothing")
				default:
					add("answer with " + commandVerbs(a.Response))
				}
			}
			for _, d := range g.sentCommands {
				add("command with " + commandVerbs(&wire.HeartbeatResponse{Commands: d.Request.Commands}))
			}
			g.want("sent", got, c.want)
			seen := map[string]bool{}
			for _, o := range g.startCommands() {
				if seen[o.Task] {
					t.Errorf("%s was started twice", o.Task)
				}
				seen[o.Task] = true
			}
		})
	}
}

func TestStartInAResponse(t *testing.T) {
	cases := []struct {
		name  string
		act   func(g *harness, o wire.Command)
		again int // further starts
	}{
		{"the answer to a direct command proves nothing: ours may be on its way", func(g *harness, o wire.Command) {
			g.step(CancelRequest{JobID: "job-9", ReplyTo: testRecipient("u")})
			g.step(CommandResult{CommandID: g.sentCommands[0].CommandID, Outcome: CommandExecuted, Heartbeat: g.newHeartbeat("vm-1", termToken)})
		}, 0},
		{"a late copy of the report proves nothing", func(g *harness, o wire.Command) {
			r := g.newHeartbeat("vm-1", termToken)
			r.Sequence = 1
			g.sendHeartbeat(r)
		}, 0},
		{"the next report without it gives it up", func(g *harness, o wire.Command) {
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken))
			g.want("starts before it shows that it hears us", len(g.startCommands()), 0)
			g.acknowledge("vm-1")
		}, 1},
		{"the next report with it confirms it", func(g *harness, o wire.Command) {
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskFetching, "")))
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.submit(newTestJob("job-9", 1, 3))
			nine := g.startCommands()[0]
			g.completeCommands(CommandExecuted)
			g.submit(newTestJob("job-1", 8, 2)) // no room for it beside the other
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(nine, wire.TaskRunning, "")))
			g.want("starts without room", len(g.startCommands()), 0)
			// The first job's host is in the ledger, so its next start can be sent at once.
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(nine, wire.TaskEnded, wire.ExitStopped)))
			g.want("starts in the answer", len(g.responseCommands), 2) // a forget and the start
			o := g.startCommands()[0]
			g.responseCommands = nil
			c.act(g, o)
			g.want("further starts", len(g.startCommands()), c.again)
		})
	}
}

func TestForget(t *testing.T) {
	cases := []struct {
		name    string
		outcome CommandOutcome
		token   uint64
		why     string
		durable bool
		want    int
	}{
		{"ends in the ledger", CommandExecuted, termToken, wire.ExitDone, true, minForgetBatch},
		{"ends not yet in the ledger", CommandExecuted, termToken, wire.ExitDone, false, 0},
		{"while the starts may still be repeated", CommandOutcomeUnknown, termToken, wire.ExitDone, true, 0},
		{"once the raised token is echoed", CommandOutcomeUnknown, termToken + 1, wire.ExitDone, true, minForgetBatch},
		{"failures", CommandExecuted, termToken, wire.ExitError, true, minForgetBatch},
		{"failures whose starts may still be repeated", CommandOutcomeUnknown, termToken, wire.ExitError, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.submit(newTestJob("job-1", minForgetBatch+1, 0.25))
			var ended []wire.TaskStatus
			for _, o := range g.startCommands()[:minForgetBatch] {
				ended = append(ended, newTaskStatus(o, wire.TaskEnded, c.why))
			}
			g.completeCommands(c.outcome)
			g.holdWrites = !c.durable
			g.sendHeartbeat(g.newHeartbeat("vm-1", c.token, ended...))
			got := commandVerbs(g.sendHeartbeat(g.newHeartbeat("vm-1", c.token, ended...)))
			g.want("forgotten", strings.Count(got, "forget"), c.want)
		})
	}
}

// TestForgetTravelsWithOtherCommands: a done task by itself is not worth the heartbeat that
// forgetting it causes, but travels along with a start.
func TestForgetTravelsWithOtherCommands(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 2, 1))
	orders := g.startCommands()
	g.completeCommands(CommandExecuted)
	done, runs := newTaskStatus(orders[0], wire.TaskEnded, wire.ExitDone), newTaskStatus(orders[1], wire.TaskRunning, "")
	g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, done, runs))
	g.want("alone", commandVerbs(g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, done, runs))), "")
	g.holdWrites = true // so that the start waits for the heartbeat
	g.submit(newTestJob("job-2", 1, 1))
	m := g.core.findOrAddMachine("vm-1")
	g.core.sendPlannedStarts(g.core.jobs.list[1], m)
	g.want("with a start", commandVerbs(g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, done, runs))), "start forget ")
}
