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

// inheritedAttempt is one that the leader before has started.
const inheritedAttempt = 5<<termCounterBits | 3

// newInheritingHarness begins a term an hour after its process, with what the ledger holds of
// job-1, whose only task may be on vm-1.
func newInheritingHarness(t testingT, view *softstate.View) *harness {
	record := ledger.JobRecord{Job: newTestJob("job-1", 1, 1), AcceptedMS: time.Hour.Milliseconds()}
	cfg := testConfig(settings.Defaults(), settings.Team{Name: "t"})
	cfg.SoftState = view
	return newHarnessWithConfig(t, time.Hour, cfg, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 3, Record: record, Hosts: savedHosts("vm-1")}}})
}

func newSoftStateView(machines ...softstate.Machine) *softstate.View {
	view := &softstate.View{Term: 5, Machines: map[string]softstate.Machine{}}
	for _, m := range machines {
		view.Machines[m.Name] = m
	}
	return view
}

var inheritedMachine = softstate.Machine{Name: "vm-1", Address: "10.1.0.1:9000", AgentEpoch: 2,
	Allocations: []softstate.Allocation{{Task: "job-1/0", Attempt: inheritedAttempt, Running: 20 * time.Second}}}

// newInheritedHeartbeat is the heartbeat of vm-1 while the task runs there.
func newInheritedHeartbeat(h *harness, token uint64, status, why string) *wire.Heartbeat {
	heartbeat := h.newHeartbeat("vm-1", token, wire.TaskStatus{Task: "job-1/0", Attempt: inheritedAttempt, Status: status, ExitReason: why})
	heartbeat.AgentEpoch = 2
	return heartbeat
}

// TestInheritedMachinesAreProbedAtOnce: the addresses of the ledger's machines are known before
// the cloud's list, and the result resolves what an earlier leader has started.
func TestInheritedMachinesAreProbedAtOnce(t *testing.T) {
	h := newInheritingHarness(t, newSoftStateView(inheritedMachine, softstate.Machine{Name: "vm-9", Address: "10.1.0.9:9000", AgentEpoch: 1}))
	h.want("machines", len(h.core.machines.list), 1) // inherited soft state alone makes none
	h.want("probes", len(h.sentCommands), 1)
	probe := h.sentCommands[0]
	h.want("the probe", []any{probe.Address, probe.Request.AgentEpoch, probe.Request.FencingToken, len(probe.Request.Commands)}, []any{"10.1.0.1:9000", uint64(2), uint64(termToken), 0})
	h.want("unsettled", h.core.UnresolvedHosts(), 1)
	h.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandExecuted, Heartbeat: newInheritedHeartbeat(h, termToken, wire.TaskRunning, "")})
	h.want("unsettled after its answer", h.core.UnresolvedHosts(), 0)
	h.want("bookings", h.core.jobs.list[0].progress.allocated, 1)
}

// TestHeartbeatOverridesInheritedSoftState: the task that inherited soft state names is not on
// its machine, and is placed like any other; the machine has another address, and is not avoided
// for that.
func TestHeartbeatOverridesInheritedSoftState(t *testing.T) {
	h := newInheritingHarness(t, newSoftStateView(inheritedMachine))
	probe := h.sentCommands[0]
	h.sentCommands = nil
	h.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandNotSent})
	m := h.core.findOrAddMachine("vm-1")
	h.want("address, shunned, doubted", []any{m.agent.Address(), m.commands.noStartsUntil, m.agent.Unacknowledged()}, []any{"", time.Duration(0), false})
	h.want("bookings by the hint", h.core.jobs.list[0].progress.allocated, 0)
	for _, token := range []uint64{0, termToken} {
		heartbeat := h.newHeartbeat("vm-1", token)
		heartbeat.Address = "10.1.0.7:9000"
		h.sendHeartbeat(heartbeat)
	}
	h.want("address by its report", m.agent.Address(), "10.1.0.7:9000")
	h.want("starts", len(h.startCommands()), 1)
}

// TestRunTimesAreInherited: a task that ran before the term is learned from with the time in the
// inherited soft state, and not at all without: it seemed as short as the term.
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

// TestSoftStateIsInherited: the next term knows what one term has learned; what has changed
// since is passed on alone, in parts if it is much.
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
	h.want("parts", []any{len(first.Machines), first.More, len(second.Machines), second.More}, []any{softstate.MaxChanges, true, 1, false})
	h.want("what has changed since", len(requestSoftState(second.UpTo).Machines), 0)
	h.core.softState.machineChanged(h.core.findOrAddMachine("vm-1"))
	h.want("after a change", requestSoftState(second.UpTo).Machines[0].Name, "vm-1")
	successor := newInheritingHarness(t, &softstate.View{Term: 5, Machines: map[string]softstate.Machine{"vm-1": {Name: "vm-1"}}, Estimates: first.Estimates})
	successor.step(SoftStateRequest{ReplyTo: testRecipient("s")})
	if got := successor.otherEffects[len(successor.otherEffects)-1].(SoftStateReply).Estimates; !reflect.DeepEqual(got.BootSeconds, first.Estimates.BootSeconds) {
		t.Errorf("learned %+v, told %+v", got, first.Estimates)
	}
}
