package scheduler

import (
	"reflect"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
	"leadproxy/internal/wire"
)

// inheritedAttempt is an attempt started by an earlier leader.
const inheritedAttempt = 5<<termCounterBits | 3

// newInheritingHarness returns a harness whose term begins an hour after the start of its process. The
// ledger holds job-1, whose only task may run on vm-1.
func newInheritingHarness(t testingT, view *softstate.View) *harness {
	record := ledger.JobRecord{Job: newTestJob("job-1", 1, 1), AcceptedMS: time.Hour.Milliseconds()}
	cfg := testConfig(settings.Defaults(), settings.Team{Name: "t"})
	cfg.SoftState = view
	return newHarnessWithConfig(t, time.Hour, cfg, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 3, Record: record, Hosts: savedHosts("vm-1")}}})
}

// newSoftStateView returns a view of the soft state of term 5.
func newSoftStateView(machines ...softstate.Machine) *softstate.View {
	view := &softstate.View{Term: 5, Machines: map[string]softstate.Machine{}}
	for _, m := range machines {
		view.Machines[m.Name] = m
	}
	return view
}

// inheritedMachine is the soft state of vm-1, where the inherited attempt had run for 20 s.
var inheritedMachine = softstate.Machine{Name: "vm-1", Address: "10.1.0.1:9000", AgentEpoch: 2,
	Allocations: []softstate.Allocation{{Task: "job-1/0", Attempt: inheritedAttempt, Running: 20 * time.Second}}}

// newInheritedHeartbeat returns a heartbeat of vm-1 that lists the inherited attempt with a status.
func newInheritedHeartbeat(h *harness, token uint64, status, exitReason string) *wire.Heartbeat {
	heartbeat := h.newHeartbeat("vm-1", token, wire.TaskStatus{Task: "job-1/0", Attempt: inheritedAttempt, Status: status, ExitReason: exitReason})
	heartbeat.AgentEpoch = 2
	return heartbeat
}

// TestInheritedMachinesAreProbedAtOnce checks that a new leader takes the addresses of hosts from the
// inherited soft state and probes them before it has the cloud's list, and that the result of the
// probe resolves the starts of the earlier leader.
func TestInheritedMachinesAreProbedAtOnce(t *testing.T) {
	h := newInheritingHarness(t, newSoftStateView(inheritedMachine, softstate.Machine{Name: "vm-9", Address: "10.1.0.9:9000", AgentEpoch: 1}))
	h.want("machines", len(h.core.machines.list), 1) // inherited soft state adds no machine
	h.want("probes", len(h.sentCommands), 1)
	probe := h.sentCommands[0]
	h.want("the probe", []any{probe.Address, probe.Request.AgentEpoch, probe.Request.FencingToken, len(probe.Request.Commands)}, []any{"10.1.0.1:9000", uint64(2), uint64(termToken), 0})
	h.want("unresolved hosts", h.core.UnresolvedHosts(), 1)
	h.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandExecuted, Heartbeat: newInheritedHeartbeat(h, termToken, wire.TaskRunning, "")})
	h.want("unresolved hosts after the result", h.core.UnresolvedHosts(), 0)
	h.want("allocations", h.core.jobs.list[0].progress.allocated, 1)
}

// TestHeartbeatOverridesInheritedSoftState checks that a heartbeat overrides wrong inherited soft state:
// a task that isn't on the machine is placed like any other, and a machine whose inherited address
// was wrong isn't avoided.
func TestHeartbeatOverridesInheritedSoftState(t *testing.T) {
	h := newInheritingHarness(t, newSoftStateView(inheritedMachine))
	probe := h.sentCommands[0]
	h.sentCommands = nil
	h.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandNotSent})
	m := h.core.findOrAddMachine("vm-1")
	h.want("address, no starts until, unacknowledged", []any{m.agent.Address(), m.commands.noStartsUntil, m.agent.Unacknowledged()}, []any{"", time.Duration(0), false})
	h.want("allocations from inherited soft state", h.core.jobs.list[0].progress.allocated, 0)
	for _, token := range []uint64{0, termToken} {
		heartbeat := h.newHeartbeat("vm-1", token)
		heartbeat.Address = "10.1.0.7:9000"
		h.sendHeartbeat(heartbeat)
	}
	h.want("address from the heartbeat", m.agent.Address(), "10.1.0.7:9000")
	h.want("starts", len(h.startCommands()), 1)
}

// TestRunTimesAreInherited guards against learning too short run times after a failover: the run time of
// a task that ran before the term includes the time in the inherited soft state, and without that
// is not learned from at all.
func TestRunTimesAreInherited(t *testing.T) {
	for _, inherited := range []bool{true, false} {
		var view *softstate.View
		if inherited {
			view = newSoftStateView(inheritedMachine)
		}
		h := newInheritingHarness(t, view)
		h.sendHeartbeat(newInheritedHeartbeat(h, 0, wire.TaskRunning, ""))
		h.sendHeartbeat(newInheritedHeartbeat(h, termToken, wire.TaskRunning, ""))
		h.advance(10 * time.Second)
		h.sendHeartbeat(newInheritedHeartbeat(h, termToken, wire.TaskEnded, wire.ExitDone))
		want := 1.0 // of the estimate, 10 s
		if inherited {
			want = 3 // 20 s before the term, and 10 s in it
		}
		h.want("run time against the estimate", h.core.estimates.ratio(h.core.jobs.list[0].request.class), want)
	}
}

// TestSoftStateIsInherited checks that a new leader has the estimates of the earlier one, and that a
// standby gets only the machines changed since its last request, in several replies if there are many.
func TestSoftStateIsInherited(t *testing.T) {
	h := newInheritingHarness(t, nil)
	for i := range softstate.MaxChanges {
		h.bringUp("vm-" + string(rune('a'+i%26)) + string(rune('a'+i/26)))
	}
	h.sendHeartbeat(newInheritedHeartbeat(h, 0, wire.TaskRunning, ""))
	h.core.estimates.addRatio(h.core.jobs.list[0].request.class, 2)
	h.core.types.list[0].bootTime = 33 * time.Second
	requestSoftState := func(since uint64) SoftStateReply {
		h.recentEffects = nil
		h.step(SoftStateRequest{Since: since, ReplyTo: testRecipient("s")})
		return h.otherEffects[len(h.otherEffects)-1].(SoftStateReply)
	}
	first := requestSoftState(0)
	second := requestSoftState(first.UpTo)
	h.want("machines and More of both replies", []any{len(first.Machines), first.More, len(second.Machines), second.More}, []any{softstate.MaxChanges, true, 1, false})
	h.want("changed machines since the last reply", len(requestSoftState(second.UpTo).Machines), 0)
	h.core.softState.machineChanged(h.core.findOrAddMachine("vm-1"))
	h.want("changed machine after a change", requestSoftState(second.UpTo).Machines[0].Name, "vm-1")
	successor := newInheritingHarness(t, &softstate.View{Term: 5, Machines: map[string]softstate.Machine{"vm-1": {Name: "vm-1"}}, Estimates: first.Estimates})
	successor.step(SoftStateRequest{ReplyTo: testRecipient("s")})
	if got := successor.otherEffects[len(successor.otherEffects)-1].(SoftStateReply).Estimates; !reflect.DeepEqual(got.BootSeconds, first.Estimates.BootSeconds) {
		t.Errorf("inherited %+v, want %+v", got, first.Estimates)
	}
}
