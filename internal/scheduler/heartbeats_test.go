package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestMachineThatDoesNotReceiveResponses: a machine whose heartbeats arrive, but which receives
// neither responses nor commands, gets no new tasks, keeps its allocations until their tasks have
// certainly ended, and is replaced.
func TestMachineThatDoesNotReceiveResponses(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.bringUp("vm-2")
	h.bringUp("vm-3")
	h.submit(newTestJob("job-1", 1, 4))
	first := h.startCommands()[0]
	h.completeCommands(CommandExecuted)
	lastReceived := termToken
	advance := func(d time.Duration) {
		for end := h.now + d; h.now < end; {
			h.advance(time.Second)
			heartbeat := h.newHeartbeat("vm-1", uint64(lastReceived), newTaskStatus(first, wire.TaskRunning, ""))
			h.sendHeartbeat(heartbeat)
			h.acknowledge("vm-2")
			h.acknowledge("vm-3")
		}
	}
	advance(19 * time.Second) // a quarter of a lease until the token is raised, and two heartbeat intervals
	h.want("machine without responses is schedulable", h.core.machines.list[0].indexed.schedulable, false)
	h.submit(newTestJob("job-2", 2, 4))
	for _, sent := range h.sentCommands {
		if sent.Machine == "vm-1" {
			t.Error("a command was sent to a machine that does not receive responses")
		}
	}
	h.want("allocations of its job", h.core.jobs.list[0].progress.allocated, 1)
	advance(6 * time.Second)
	h.want("machines requested to be deleted", h.deletedMachines, []string{"vm-1"})
	h.want("allocations of its job before the deletion", h.core.jobs.list[0].progress.allocated, 1)
	h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
	h.want("waiting tasks after the deletion", len(h.core.jobs.list[0].progress.waiting), 1)
}

// TestLateCopiesOfHeartbeats: a copy of a heartbeat that arrives late, by seconds or by more than a
// lease, revives no machine, releases or duplicates no allocation, renews no lease and resolves no
// host whose tasks are in doubt.
func TestLateCopiesOfHeartbeats(t *testing.T) {
	startTask := func(h *harness) wire.Command {
		h.bringUp("vm-1")
		h.submit(newTestJob("job-1", 1, 1))
		start := h.startCommands()[0]
		h.completeCommands(CommandExecuted)
		return start
	}
	cases := []struct {
		name string
		run  func(h *harness)
	}{
		{"copy from within the term: no allocation released and no lease renewed", func(h *harness) {
			h.bringUp("vm-1")
			old := *h.newHeartbeat("vm-1", termToken)
			h.sendHeartbeat(&old)
			start := startTask(h)
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskRunning, "")))
			expiry := h.core.machines.list[0].agent.LeaseExpiry()
			h.advance(8 * time.Second)
			h.sendHeartbeat(&old)
			h.want("allocations", h.core.jobs.list[0].progress.allocated, 1)
			h.want("lease expiry", h.core.machines.list[0].agent.LeaseExpiry(), expiry)
		}},
		{"copy after the lease has expired: its tasks have ended", func(h *harness) {
			start := startTask(h)
			delayed := *h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskRunning, "")) // not received before
			h.advance(31 * time.Second)
			h.want("allocations after the lease has expired", h.core.jobs.list[0].progress.allocated, 0)
			if response := h.sendHeartbeat(&delayed); response != nil {
				t.Errorf("an epoch that has ended gets the response %v, want none", response)
			}
			h.want("allocations after the copy", h.core.jobs.list[0].progress.allocated, 0)
			h.bringUp("vm-2")
			h.want("starts on another machine", len(h.startCommands()), 1)
		}},
		{"copy after the machine was deleted", func(h *harness) {
			start := startTask(h)
			delayed := *h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskRunning, ""))
			h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
			if response := h.sendHeartbeat(&delayed); response != nil {
				t.Errorf("got the response %v, want none", response)
			}
			h.want("allocations", h.core.jobs.list[0].progress.allocated, 0)
			h.want("machine state", h.core.machines.list[0].state, machineGone)
		}},
		{"copy from before the term: nothing in doubt resolved and nothing allocated", func(h *harness) {
			saved := ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}}
			h2 := newHarness(t, saved)
			h2.bringUp("vm-9")
			old := wire.Command{Task: "job-1/0", Attempt: 6<<termCounterBits | 1}
			h2.sendHeartbeat(h2.newHeartbeat("vm-1", 6<<termCounterBits, newTaskStatus(old, wire.TaskRunning, "")))
			h2.want("allocations", h2.core.jobs.list[0].progress.allocated, 0)
			h2.want("starts", len(h2.startCommands()), 0)
			h2.want("commands to a machine on which the task may be running", len(h2.responseCommands), 0)
			h2.sendHeartbeat(h2.newHeartbeat("vm-1", termToken))
			h2.want("starts after the acknowledgement", len(h2.startCommands()), 1)
		}},
		{"copy from an earlier epoch", func(h *harness) {
			start := startTask(h)
			delayed := *h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskRunning, ""))
			heartbeat := h.newHeartbeat("vm-1", termToken)
			heartbeat.AgentEpoch = 2
			h.sendHeartbeat(heartbeat)
			h.acknowledge("vm-1")
			allocated := h.core.jobs.list[0].progress.allocated
			h.sendHeartbeat(&delayed)
			h.want("allocations", h.core.jobs.list[0].progress.allocated, allocated)
			h.want("agent epoch", h.core.machines.list[0].agent.Epoch(), 2)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) { test.run(newHarness(t, ledger.Snapshot{})) })
	}
}

// TestHeartbeatOfAnIncarnationBeforeOurTerm: an agent restarted just before the term began, and its
// sequence numbers start at 1 again. A late heartbeat of its earlier incarnation, which this leader
// has not seen, has a higher sequence number and an older token: its task list must not be used.
func TestHeartbeatOfAnIncarnationBeforeOurTerm(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 1, 1))
	h.startCommands()
	h.completeCommands(CommandExecuted)
	old := *h.newHeartbeat("vm-1", (testTerm-1)<<termCounterBits)
	old.Sequence = 90
	h.sendHeartbeat(&old)
	h.want("allocations after the late heartbeat", h.core.jobs.list[0].progress.allocated, 1)
	h.want("starts after the late heartbeat", len(h.startCommands()), 0)
	// The agent may also have restarted in fact, with higher numbers. It then sends the same status
	// with the token from the response.
	again := *h.newHeartbeat("vm-1", h.core.findOrAddMachine("vm-1").agent.FencingToken())
	again.Sequence = 91
	h.sendHeartbeat(&again)
	h.want("starts after the acknowledgement", len(h.startCommands()), 1)
}

// TestMachineIsUsedOnlyOnceItAcknowledgesOurToken guards against tasks started twice: until an
// agent acknowledges this term's token, it may still execute commands of an earlier leader.
func TestMachineIsUsedOnlyOnceItAcknowledgesOurToken(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.submit(newTestJob("job-1", 1, 1))
	// The token is an earlier leader's, whose commands can still arrive.
	h.want("token in the response", h.sendHeartbeat(h.newHeartbeat("vm-1", 6<<termCounterBits)).FencingToken, uint64(termToken))
	h.want("starts before the acknowledgement", len(h.startCommands()), 0)
	h.sendHeartbeat(h.newHeartbeat("vm-1", termToken))
	h.want("starts after the acknowledgement", len(h.startCommands()), 1)
}

func TestHeartbeatOfANewerTermIsRefused(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	if response := h.sendHeartbeat(h.newHeartbeat("vm-1", (testTerm+1)<<termCounterBits)); response != nil {
		t.Errorf("got the response %v, want none", response)
	}
}
