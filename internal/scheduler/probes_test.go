package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestANewLeaderProbesMachines: a new leader resolves what an earlier one started on a machine by a
// probe, without waiting for the agent's heartbeat to reach it.
func TestANewLeaderProbesMachines(t *testing.T) {
	cases := []struct {
		name    string
		respond func(h *harness, probe SendCommands)
		starts  int
	}{
		{"the result acknowledges the token", func(h *harness, probe SendCommands) {
			h.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandExecuted, Heartbeat: h.newHeartbeat("vm-1", probe.Request.FencingToken)})
		}, 1},
		{"a probe that names the wrong epoch is repeated", func(h *harness, probe SendCommands) {
			heartbeat := h.newHeartbeat("vm-1", 6<<termCounterBits)
			heartbeat.AgentEpoch = 3
			h.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandRejected, Heartbeat: heartbeat})
			repeated := h.sentCommands[len(h.sentCommands)-1]
			h.want("agent epoch of the repeated probe", repeated.Request.AgentEpoch, 3)
			heartbeat = h.newHeartbeat("vm-1", repeated.Request.FencingToken)
			heartbeat.AgentEpoch = 3
			h.step(CommandResult{CommandID: repeated.CommandID, Outcome: CommandExecuted, Heartbeat: heartbeat})
		}, 1},
		{"an unknown outcome resolves nothing", func(h *harness, probe SendCommands) {
			h.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandOutcomeUnknown})
		}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}})
			h.now += time.Second
			h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}, List: []wire.ListedMachine{
				{Name: "vm-1", Address: "10.1.0.1:9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true}, Status: wire.MachineRunning, AgeS: 90},
				{Name: "vm-2", Address: "10.1.0.2:9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true}, Status: wire.MachineBooting, AgeS: 90}}}})
			if len(h.sentCommands) != 1 || h.sentCommands[0].Machine != "vm-1" || len(h.sentCommands[0].Request.Commands) != 0 {
				t.Fatalf("sent %+v, want one probe of vm-1 without commands", h.sentCommands)
			}
			test.respond(h, h.sentCommands[0])
			h.want("starts", len(h.startCommands()), test.starts)
		})
	}
}

// TestNumberOfProbesFollowsTheirLatency: a new leader that is overloaded must not probe a thousand
// machines at once, and one that is not must not probe them slowly.
func TestNumberOfProbesFollowsTheirLatency(t *testing.T) {
	cases := []struct {
		name          string
		latency       time.Duration
		maxConcurrent int
	}{
		{"below fastProbeLatency", 50 * time.Millisecond, maxConcurrentProbes},
		{"between fastProbeLatency and slowProbeLatency", 300 * time.Millisecond, minConcurrentProbes},
		{"above slowProbeLatency", time.Second, minConcurrentProbes},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			var list []wire.ListedMachine
			for i := range 300 {
				list = append(list, wire.ListedMachine{Name: fmt.Sprintf("vm-%03d", i), Address: "10.1.0.1:9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a"}, Status: wire.MachineRunning, AgeS: 100})
			}
			h.now += time.Second
			h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}, List: list}})
			h.want("probes in flight at first", len(h.sentCommands), minConcurrentProbes)
			maxConcurrent := 0
			for len(h.sentCommands) > 0 && h.now < 8*time.Second {
				maxConcurrent = max(maxConcurrent, len(h.sentCommands))
				h.now += test.latency
				h.completeCommands(CommandExecuted)
			}
			h.want("most probes in flight", maxConcurrent, test.maxConcurrent)
		})
	}
}
