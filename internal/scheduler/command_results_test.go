package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestMachineThatCommandsDoNotReachIsAvoidedForAWhile: a machine that one command did not reach
// gets no starts for startSuspension, even if its agent acknowledges the raised token meanwhile.
func TestMachineThatCommandsDoNotReachIsAvoidedForAWhile(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 1, 1))
	h.completeCommands(CommandNotSent)
	h.want("starts right after the failed command", len(h.startCommands()), 0)
	h.acknowledge("vm-1")
	h.want("starts after the acknowledgement", len(h.startCommands()), 0)
	h.advance(5 * time.Second)
	h.want("starts after the suspension", len(h.startCommands()), 1)
}

// TestOneLostCommandDoesNotMakeAMachineUnreachable: a machine that one command did not reach gets
// no starts until its agent acknowledges a higher token, but is not deleted because of that alone.
func TestOneLostCommandDoesNotMakeAMachineUnreachable(t *testing.T) {
	for _, outcome := range []CommandOutcome{CommandOutcomeUnknown, CommandNotSent} {
		h := newHarness(t, ledger.Snapshot{})
		for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
			h.bringUp(name)
		}
		for range 30 {
			h.advance(time.Second)
			for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
				h.acknowledge(name)
			}
		}
		h.submit(newTestJob("job-1", 1, 4))
		h.completeCommands(outcome)
		h.want("schedulable before the acknowledgement", h.core.agents.schedulable(h.core.machines.list[0]), false)
		h.advance(time.Second)
		h.want("deleted machines", len(h.deletedMachines), 0)
	}
}

// TestStartOfUnknownOutcome guards against a task that runs twice or never: after a start of
// unknown outcome the task is started again only once it is certain that the first start will not
// run.
func TestStartOfUnknownOutcome(t *testing.T) {
	cases := []struct {
		name          string
		event         func(h *harness, start wire.Command)
		furtherStarts int
	}{
		{"kept while the raised token is not acknowledged", func(h *harness, start wire.Command) {
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken))
		}, 0},
		{"released once the raised token is acknowledged without it", func(h *harness, start wire.Command) {
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken+1))
		}, 1},
		{"confirmed by the acknowledging heartbeat", func(h *harness, start wire.Command) {
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken+1, newTaskStatus(start, wire.TaskRunning, "")))
		}, 0},
		{"released when a new agent epoch begins", func(h *harness, start wire.Command) {
			heartbeat := h.newHeartbeat("vm-1", termToken)
			heartbeat.AgentEpoch = 2
			h.sendHeartbeat(heartbeat)
			h.acknowledge("vm-1")
		}, 1},
		{"kept while its machine sends nothing within its lease", func(h *harness, start wire.Command) {
			h.bringUp("vm-2")
			h.advance(6 * time.Second)
		}, 0},
		{"released when its machine is deleted", func(h *harness, start wire.Command) {
			h.bringUp("vm-2")
			h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
		}, 1},
		{"kept when the outcome of the deletion is unknown", func(h *harness, start wire.Command) {
			h.bringUp("vm-2")
			h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}, Err: autoscaler.ErrUnknownOutcome}})
		}, 0},
		{"released when its machine is listed as failed", func(h *harness, start wire.Command) {
			h.bringUp("vm-2")
			h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}, List: []wire.ListedMachine{{Name: "vm-1", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a"}, Status: wire.MachineFailed}}}})
		}, 1},
		{"kept when its machine is absent from the list", func(h *harness, start wire.Command) {
			h.bringUp("vm-2")
			h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}}})
		}, 0},
		{"kept after a stale heartbeat without it", func(h *harness, start wire.Command) {
			heartbeat := h.newHeartbeat("vm-1", termToken+1)
			heartbeat.Sequence = 1
			h.sendHeartbeat(heartbeat)
		}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			h.submit(newTestJob("job-1", 1, 1))
			first := h.startCommands()[0]
			h.completeCommands(CommandOutcomeUnknown)
			h.want("token", h.sendHeartbeat(h.newHeartbeat("vm-1", termToken)).FencingToken, uint64(termToken+1))
			test.event(h, first)
			h.advance(startSuspension + time.Second/2)
			further := h.startCommands()
			h.want("further starts", len(further), test.furtherStarts)
			if len(further) > 0 && further[0].Attempt == first.Attempt {
				t.Error("the attempt number of the first start is reused")
			}
		})
	}
}
