package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

func TestMachineThatCommandsDoNotReachIsAvoidedForAWhile(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	g.completeCommands(CommandNotSent)
	g.want("starts at once", len(g.startCommands()), 0)
	g.acknowledge("vm-1")
	g.want("starts after an echo", len(g.startCommands()), 0)
	g.advance(5 * time.Second)
	g.want("starts later", len(g.startCommands()), 1)
}

// TestOneLostCommandDoesNotMakeAMachineUnreachable: a machine that one command did not reach
// gets no work until its agent acknowledges a higher token, but is not given up at once.
func TestOneLostCommandDoesNotMakeAMachineUnreachable(t *testing.T) {
	for _, outcome := range []CommandOutcome{CommandOutcomeUnknown, CommandNotSent} {
		g := newHarness(t, ledger.Snapshot{})
		for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
			g.bringUp(name)
		}
		for range 30 {
			g.advance(time.Second)
			for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
				g.acknowledge(name)
			}
		}
		g.submit(newTestJob("job-1", 1, 4))
		g.completeCommands(outcome)
		g.want("open before the echo", g.core.agents.schedulable(g.core.machines.list[0]), false)
		g.advance(time.Second)
		g.want("deleted", len(g.deletedMachines), 0)
	}
}

func TestStartOfUnknownOutcome(t *testing.T) {
	cases := []struct {
		name  string
		act   func(g *harness, o wire.Command)
		again int // further starts
	}{
		{"stays booked while the token is not echoed", func(g *harness, o wire.Command) {
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken))
		}, 0},
		{"is given up once a raised token is echoed without it", func(g *harness, o wire.Command) {
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken+1))
		}, 1},
		{"stands when the echo shows it", func(g *harness, o wire.Command) {
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken+1, newTaskStatus(o, wire.TaskRunning, "")))
		}, 0},
		{"is given up with the session", func(g *harness, o wire.Command) {
			r := g.newHeartbeat("vm-1", termToken)
			r.AgentEpoch = 2
			g.sendHeartbeat(r)
			g.acknowledge("vm-1")
		}, 1},
		{"is not given up for a silent machine within its lease", func(g *harness, o wire.Command) {
			g.bringUp("vm-2")
			g.advance(6 * time.Second)
		}, 0},
		{"is given up when the machine is deleted", func(g *harness, o wire.Command) {
			g.bringUp("vm-2")
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
		}, 1},
		{"is kept when the deletion's outcome is unknown", func(g *harness, o wire.Command) {
			g.bringUp("vm-2")
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}, Err: autoscaler.ErrUnknownOutcome}})
		}, 0},
		{"is given up when the machine is listed as failed", func(g *harness, o wire.Command) {
			g.bringUp("vm-2")
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}, List: []wire.ListedMachine{{Name: "vm-1", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a"}, Status: wire.MachineFailed}}}})
		}, 1},
		{"absence from the list proves nothing", func(g *harness, o wire.Command) {
			g.bringUp("vm-2")
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}}})
		}, 0},
		{"a stale report proves nothing", func(g *harness, o wire.Command) {
			r := g.newHeartbeat("vm-1", termToken+1)
			r.Sequence = 1
			g.sendHeartbeat(r)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.submit(newTestJob("job-1", 1, 1))
			first := g.startCommands()[0]
			g.completeCommands(CommandOutcomeUnknown)
			g.want("token", g.sendHeartbeat(g.newHeartbeat("vm-1", termToken)).FencingToken, uint64(termToken+1))
			c.act(g, first)
			g.advance(startSuspension + time.Second/2)
			again := g.startCommands()
			g.want("further starts", len(again), c.again)
			if len(again) > 0 && again[0].Attempt == first.Attempt {
				t.Error("an attempt was used again")
			}
		})
	}
}
