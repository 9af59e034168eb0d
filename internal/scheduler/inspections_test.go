package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestAgentThatRestarts: a heartbeat of an agent that has just restarted looks like a late copy of
// an old one until the agent is inspected. It also guards against a task that runs twice because of
// a late heartbeat of the incarnation that has ended.
func TestAgentThatRestarts(t *testing.T) {
	cases := []struct {
		name             string
		reportedSequence uint64 // in the inspection's result
		starts           int
	}{
		{"the heartbeat was a late copy", 90, 0},
		{"the agent has restarted", 2, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			h.submit(newTestJob("job-1", 1, 1))
			start := h.startCommands()[0]
			h.completeCommands(CommandExecuted)
			h.sequences["vm-1"] = 40
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskRunning, "")))
			stale := *h.newHeartbeat("vm-1", 0)
			stale.Sequence = 1
			h.sendHeartbeat(&stale)
			inspections := 0
			for _, effect := range h.recentEffects {
				if _, ok := effect.(InspectAgent); ok {
					inspections++
				}
			}
			h.want("inspections", inspections, 1)
			result := stale
			result.Sequence = test.reportedSequence
			if test.reportedSequence > 40 {
				result.FencingToken, result.Tasks = termToken, []wire.TaskStatus{newTaskStatus(start, wire.TaskRunning, "")}
			}
			h.step(InspectResult{Machine: "vm-1", Heartbeat: &result})
			h.sequences["vm-1"] = test.reportedSequence
			if test.reportedSequence < 40 {
				h.acknowledge("vm-1")
			}
			h.want("further starts", len(h.startCommands()), test.starts)
			h.want("allocations", h.core.jobs.list[0].progress.allocated, 1)
			if test.starts == 0 {
				return
			}
			// A late heartbeat of the incarnation that has ended has a higher position than those
			// of the present one. When it was accepted, the new attempt counted as missing, and the
			// task was started on another machine as well.
			newStart := h.startCommands()[0]
			h.completeCommands(CommandExecuted)
			old := *h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskRunning, ""))
			old.Sequence = 41
			h.sendHeartbeat(&old)
			h.want("allocations after the old heartbeat", h.core.jobs.list[0].progress.allocated, 1)
			h.want("new attempt is allocated", h.core.findOrAddMachine("vm-1").allocation(newStart.Attempt) != nil, true)
		})
	}
}

// TestInspectionsOfLateCopiesAreLimited: copies of old heartbeats may arrive for minutes and from
// all machines. An inspection for each of them would add as many requests to the agents.
func TestInspectionsOfLateCopiesAreLimited(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	takeInspected := func() (names []string) {
		for _, effect := range h.recentEffects {
			if inspection, ok := effect.(InspectAgent); ok {
				names = append(names, inspection.Machine)
			}
		}
		h.recentEffects = nil
		return names
	}
	const machines = 100
	name := func(i int) string { return fmt.Sprintf("vm-%d", i) }
	copies := map[string]*wire.Heartbeat{}
	for i := range machines {
		copies[name(i)] = h.newHeartbeat(name(i), 0)
		h.bringUp(name(i))
		h.sendHeartbeat(h.newHeartbeat(name(i), termToken))
	}
	h.recentEffects = nil
	for i := range machines {
		h.step(HeartbeatEvent{Heartbeat: copies[name(i)], ReplyTo: testRecipient("w")})
	}
	inspected := takeInspected()
	h.want("concurrent inspections", len(inspected), maxConcurrentInspections)
	for _, machine := range inspected {
		h.step(InspectResult{Machine: machine, Heartbeat: h.newHeartbeat(machine, termToken)})
	}
	count := 0
	for range 60 {
		h.advance(time.Second)
		h.acknowledge("vm-0")
		h.recentEffects = nil
		h.step(HeartbeatEvent{Heartbeat: copies["vm-0"], ReplyTo: testRecipient("w")})
		for _, machine := range takeInspected() {
			count++
			h.step(InspectResult{Machine: machine, Heartbeat: h.newHeartbeat(machine, termToken)})
		}
	}
	if count < 1 || count > 5 {
		t.Errorf("%d inspections in a minute of late copies, want 1 to 5", count)
	}
}

// TestStartDuringInspection guards against a task that runs twice: an agent was reset, and during
// the inspection it executes a start that the inspection's result does not list yet. Only a
// heartbeat that acknowledges a token raised since then shows which tasks the agent has.
func TestStartDuringInspection(t *testing.T) {
	deliverCommandResult := func(h *harness, id uint64, tasks ...wire.TaskStatus) {
		result := *h.newHeartbeat("vm-1", termToken, tasks...)
		result.Sequence = 2
		h.step(CommandResult{CommandID: id, Outcome: CommandExecuted, Heartbeat: &result})
	}
	deliverInspectResult := func(h *harness) {
		result := *h.newHeartbeat("vm-1", 0)
		result.Sequence = 1
		h.step(InspectResult{Machine: "vm-1", Heartbeat: &result})
	}
	cases := []struct {
		name    string
		start   func(h *harness) wire.Command // sends a start to vm-1 after the inspection began
		results func(h *harness, start wire.Command, commandID uint64)
	}{
		{"direct command, executed before the inspection's result", startByDirectCommand, func(h *harness, start wire.Command, commandID uint64) {
			deliverCommandResult(h, commandID, newTaskStatus(start, wire.TaskRunning, ""))
			deliverInspectResult(h)
		}},
		{"direct command, executed after the inspection's result", startByDirectCommand, func(h *harness, start wire.Command, commandID uint64) {
			deliverInspectResult(h)
			deliverCommandResult(h, commandID, newTaskStatus(start, wire.TaskRunning, ""))
		}},
		{"direct command of unknown outcome", startByDirectCommand, func(h *harness, _ wire.Command, commandID uint64) {
			h.step(CommandResult{CommandID: commandID, Outcome: CommandOutcomeUnknown})
			deliverInspectResult(h)
		}},
		{"response to a heartbeat", startInNextResponse, func(h *harness, _ wire.Command, _ uint64) { deliverInspectResult(h) }},
	}
	for _, test := range cases {
		for _, executesStart := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, the agent executes the start: %v", test.name, executesStart), func(t *testing.T) {
				h := newHarness(t, ledger.Snapshot{})
				h.bringUp("vm-1")
				h.sequences["vm-1"] = 40
				h.sendHeartbeat(h.newHeartbeat("vm-1", termToken))
				reset := *h.newHeartbeat("vm-1", 0)
				reset.Sequence = 1
				h.sendHeartbeat(&reset)
				start := test.start(h)
				h.bringUp("vm-2")
				commandID := uint64(0)
				for _, command := range h.sentCommands {
					commandID = command.CommandID
				}
				h.sentCommands, h.responseCommands = nil, nil
				test.results(h, start, commandID)
				h.advance(time.Second)
				h.want("starts while the agent may have the task", len(h.startCommands()), 0)
				h.sequences["vm-1"] = 2
				var tasks []wire.TaskStatus
				if executesStart {
					tasks = append(tasks, newTaskStatus(start, wire.TaskRunning, ""))
				}
				h.acknowledge("vm-1", tasks...)
				h.want("starts once the agent has reported its tasks", len(h.startCommands()), map[bool]int{true: 0, false: 1}[executesStart])
				h.want("allocations", h.core.jobs.list[0].progress.allocated, 1)
			})
		}
	}
}

// startByDirectCommand submits job-1 and returns the start of its task, which a direct command
// carries.
func startByDirectCommand(h *harness) wire.Command {
	h.submit(newTestJob("job-1", 1, 1))
	return h.startCommands()[0]
}

// startInNextResponse submits job-1 and returns the start of its task, which the response to a
// heartbeat of vm-1 carries. The heartbeat is of the earlier incarnation, which the inspection has
// not shown to have ended yet.
func startInNextResponse(h *harness) wire.Command {
	h.holdWrites = true
	h.submit(newTestJob("job-1", 1, 1))
	h.sequences["vm-1"] = 41
	h.step(HeartbeatEvent{Heartbeat: h.newHeartbeat("vm-1", termToken), ReplyTo: testRecipient("w")})
	h.releaseWrites()
	h.want("direct commands", len(h.sentCommands), 0)
	return h.startCommands()[0]
}

// TestLeaseOfARestartedAgent guards against a task that runs twice: an agent was reset, executed a
// start and can't be reached any more. Its lease began with the reset or with the last response
// since then, not with the last heartbeat before the reset.
func TestLeaseOfARestartedAgent(t *testing.T) {
	const resetAt, sinceHeartbeat = 20 * time.Second, 10 * time.Second
	for _, heartbeatsAfter := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d heartbeats after the inspection", heartbeatsAfter), func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			h.sequences["vm-1"] = 40
			h.advance(resetAt - sinceHeartbeat)
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken))
			start := startByDirectCommand(h)
			h.advance(sinceHeartbeat)
			reset := *h.newHeartbeat("vm-1", 0)
			reset.Sequence = 1
			h.sendHeartbeat(&reset)
			result := reset
			result.Sequence, result.Tasks = 2, []wire.TaskStatus{newTaskStatus(start, wire.TaskRunning, "")}
			h.step(InspectResult{Machine: "vm-1", Heartbeat: &result})
			for range heartbeatsAfter {
				h.now += time.Second
				result.Sequence++
				heartbeat := result
				h.sendHeartbeat(&heartbeat)
			}
			h.wantRestartOnlyAfterLease()
		})
	}
}

// TestResultOfACommandShowsARestart guards against a task that runs twice: an agent was reset,
// executed a start and can't be reached any more. Only the result of the command shows the reset,
// with which the agent's lease began.
func TestResultOfACommandShowsARestart(t *testing.T) {
	const sinceHeartbeat = 10 * time.Second
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.sequences["vm-1"] = 40
	h.sendHeartbeat(h.newHeartbeat("vm-1", termToken))
	start := startByDirectCommand(h)
	commandID := h.sentCommands[0].CommandID
	h.now += sinceHeartbeat
	result := *h.newHeartbeat("vm-1", termToken, newTaskStatus(start, wire.TaskRunning, ""))
	result.Sequence = 1
	h.step(CommandResult{CommandID: commandID, Outcome: CommandExecuted, Heartbeat: &result})
	h.wantRestartOnlyAfterLease()
}

// wantRestartOnlyAfterLease lets the length of a lease pass, in which vm-2 is schedulable and vm-1
// sends nothing. It checks that the task of vm-1 is started again after the lease and not before.
func (h *harness) wantRestartOnlyAfterLease() {
	h.t.Helper()
	h.sentCommands, h.responseCommands = nil, nil
	for end := h.now + 30*time.Second; h.now < end; {
		h.advance(time.Second)
		h.bringUpOrAcknowledge("vm-2")
	}
	h.want("starts within its lease", len(h.startCommands()), 0)
	for range 3 {
		h.advance(time.Second)
		h.bringUpOrAcknowledge("vm-2")
	}
	h.want("starts after its lease", len(h.startCommands()), 1)
}

// bringUpOrAcknowledge sends a heartbeat of a machine's agent that acknowledges the latest token,
// and brings the machine up first if it has sent none.
func (h *harness) bringUpOrAcknowledge(name string) {
	if h.sequences[name] == 0 {
		h.bringUp(name)
	}
	h.acknowledge(name)
}
