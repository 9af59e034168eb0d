package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestANewLeaderProbesMachines: it need not wait until the agents' heartbeats find it.
func TestANewLeaderProbesMachines(t *testing.T) {
	cases := []struct {
		name   string
		answer func(g *harness, d SendCommands)
		starts int
	}{
		{"the answer is an echo", func(g *harness, d SendCommands) {
			g.step(CommandResult{CommandID: d.CommandID, Outcome: CommandExecuted, Heartbeat: g.newHeartbeat("vm-1", d.Request.FencingToken)})
		}, 1},
		{"another session is tried once more", func(g *harness, d SendCommands) {
			r := g.newHeartbeat("vm-1", 6<<termCounterBits)
			r.AgentEpoch = 3
			g.step(CommandResult{CommandID: d.CommandID, Outcome: CommandRejected, Heartbeat: r})
			again := g.sentCommands[len(g.sentCommands)-1]
			g.want("session", again.Request.AgentEpoch, 3)
			r = g.newHeartbeat("vm-1", again.Request.FencingToken)
			r.AgentEpoch = 3
			g.step(CommandResult{CommandID: again.CommandID, Outcome: CommandExecuted, Heartbeat: r})
		}, 1},
		{"no answer settles nothing", func(g *harness, d SendCommands) {
			g.step(CommandResult{CommandID: d.CommandID, Outcome: CommandOutcomeUnknown})
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}})
			g.now += time.Second
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}, List: []wire.ListedMachine{
				{Name: "vm-1", Address: "10.1.0.1:9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true}, Status: wire.MachineRunning, AgeS: 90},
				{Name: "vm-2", Address: "10.1.0.2:9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true}, Status: wire.MachineBooting, AgeS: 90}}}})
			if len(g.sentCommands) != 1 || g.sentCommands[0].Machine != "vm-1" || len(g.sentCommands[0].Request.Commands) != 0 {
				t.Fatalf("probed with %+v, want vm-1 without orders", g.sentCommands)
			}
			c.answer(g, g.sentCommands[0])
			g.want("starts", len(g.startCommands()), c.starts)
		})
	}
}

// TestNumberOfProbesFollowsTheirLatency: a new leader that is short of time must not
// probe a thousand machines at once; one that is not must not take long over it.
func TestNumberOfProbesFollowsTheirLatency(t *testing.T) {
	cases := []struct {
		name  string
		takes time.Duration
		most  int // on their way at once, at the end
	}{
		{"at once", 50 * time.Millisecond, maxConcurrentProbes},
		{"neither soon nor late", 300 * time.Millisecond, minConcurrentProbes},
		{"late", time.Second, minConcurrentProbes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			var list []wire.ListedMachine
			for i := range 300 {
				list = append(list, wire.ListedMachine{Name: fmt.Sprintf("vm-%03d", i), Address: "10.1.0.1:9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a"}, Status: wire.MachineRunning, AgeS: 100})
			}
			g.now += time.Second
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}, List: list}})
			g.want("at first", len(g.sentCommands), minConcurrentProbes)
			most := 0
			for len(g.sentCommands) > 0 && g.now < 8*time.Second {
				most = max(most, len(g.sentCommands))
				g.now += c.takes
				g.completeCommands(CommandExecuted)
			}
			g.want("at most", most, c.most)
		})
	}
}
