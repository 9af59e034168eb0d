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
func newInheritingHarness(t testingT, v *softstate.View) *harness {
	record := ledger.JobRecord{Job: newTestJob("job-1", 1, 1), AcceptedMS: time.Hour.Milliseconds()}
	cfg := testConfig(settings.Defaults(), settings.Team{Name: "t"})
	cfg.SoftState = v
	return newHarnessWithConfig(t, time.Hour, cfg, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 3, Record: record, Hosts: savedHosts("vm-1")}}})
}

func newSoftStateView(machines ...softstate.Machine) *softstate.View {
	v := &softstate.View{Term: 5, Machines: map[string]softstate.Machine{}}
	for _, m := range machines {
		v.Machines[m.Name] = m
	}
	return v
}

var inheritedMachine = softstate.Machine{Name: "vm-1", Address: "10.1.0.1:9000", AgentEpoch: 2,
	Allocations: []softstate.Allocation{{Task: "job-1/0", Attempt: inheritedAttempt, Running: 20 * time.Second}}}

// newInheritedHeartbeat is the heartbeat of vm-1 while the task runs there.
func newInheritedHeartbeat(g *harness, token uint64, status, why string) *wire.Heartbeat {
	r := g.newHeartbeat("vm-1", token, wire.TaskStatus{Task: "job-1/0", Attempt: inheritedAttempt, Status: status, ExitReason: why})
	r.AgentEpoch = 2
	return r
}

// TestInheritedMachinesAreProbedAtOnce: the addresses of the ledger's machines are known before
// the cloud's list, and the result resolves what an earlier leader has started.
func TestInheritedMachinesAreProbedAtOnce(t *testing.T) {
	g := newInheritingHarness(t, newSoftStateView(inheritedMachine, softstate.Machine{Name: "vm-9", Address: "10.1.0.9:9000", AgentEpoch: 1}))
	g.want("machines", len(g.core.machines.list), 1) // inherited soft state alone makes none
	g.want("probes", len(g.sentCommands), 1)
	probe := g.sentCommands[0]
	g.want("the probe", []any{probe.Address, probe.Request.AgentEpoch, probe.Request.FencingToken, len(probe.Request.Commands)}, []any{"10.1.0.1:9000", uint64(2), uint64(termToken), 0})
	g.want("unsettled", g.core.UnresolvedHosts(), 1)
	g.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandExecuted, Heartbeat: newInheritedHeartbeat(g, termToken, wire.TaskRunning, "")})
	g.want("unsettled after its answer", g.core.UnresolvedHosts(), 0)
	g.want("bookings", g.core.jobs.list[0].progress.allocated, 1)
}

// TestHeartbeatOverridesInheritedSoftState: the task that inherited soft state names is not on
// its machine, and is placed like any other; the machine has another address, and is not avoided
// for that.
func TestHeartbeatOverridesInheritedSoftState(t *testing.T) {
	g := newInheritingHarness(t, newSoftStateView(inheritedMachine))
	probe := g.sentCommands[0]
	g.sentCommands = nil
	g.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandNotSent})
	m := g.core.findOrAddMachine("vm-1")
	g.want("address, shunned, doubted", []any{m.agent.Address(), m.commands.noStartsUntil, m.agent.Unacknowledged()}, []any{"", time.Duration(0), false})
	g.want("bookings by the hint", g.core.jobs.list[0].progress.allocated, 0)
	for _, token := range []uint64{0, termToken} {
		r := g.newHeartbeat("vm-1", token)
		r.Address = "10.1.0.7:9000"
		g.sendHeartbeat(r)
	}
	g.want("address by its report", m.agent.Address(), "10.1.0.7:9000")
	g.want("starts", len(g.startCommands()), 1)
}

// TestRunTimesAreInherited: a task that ran before the term is learned from with the time in the
// inherited soft state, and not at all without: it seemed as short as the term.
func TestRunTimesAreInherited(t *testing.T) {
	for _, hinted := range []bool{true, false} {
		var v *softstate.View
		if hinted {
			v = newSoftStateView(inheritedMachine)
		}
		g := newInheritingHarness(t, v)
		g.sendHeartbeat(newInheritedHeartbeat(g, 0, wire.TaskRunning, ""))
		g.sendHeartbeat(newInheritedHeartbeat(g, termToken, wire.TaskRunning, ""))
		g.advance(10 * time.Second)
		g.sendHeartbeat(newInheritedHeartbeat(g, termToken, wire.TaskEnded, wire.ExitDone))
		want := 1.0 // of the estimate, 10 s
		if hinted {
			want = 3 // 20 s before the term, and 10 s in it
		}
		g.want("run time against the estimate", g.core.estimates.ratio(g.core.jobs.list[0].request.class), want)
	}
}

// TestSoftStateIsInherited: the next term knows what one term has learned; what has changed
// since is passed on alone, in parts if it is much.
func TestSoftStateIsInherited(t *testing.T) {
	g := newInheritingHarness(t, nil)
	for i := range softstate.MaxChanges {
		g.bringUp("vm-" + string(rune('a'+i%26)) + string(rune('a'+i/26)))
	}
	g.sendHeartbeat(newInheritedHeartbeat(g, 0, wire.TaskRunning, ""))
	g.core.estimates.addRatio(g.core.jobs.list[0].request.class, 2)
	g.core.types.list[0].bootTime = 33 * time.Second
	ask := func(since uint64) SoftStateReply {
		g.recentEffects = nil
		g.step(SoftStateRequest{Since: since, ReplyTo: testRecipient("s")})
		return g.otherEffects[len(g.otherEffects)-1].(SoftStateReply)
	}
	first := ask(0)
	second := ask(first.UpTo)
	g.want("parts", []any{len(first.Machines), first.More, len(second.Machines), second.More}, []any{softstate.MaxChanges, true, 1, false})
	g.want("what has changed since", len(ask(second.UpTo).Machines), 0)
	g.core.softState.machineChanged(g.core.findOrAddMachine("vm-1"))
	g.want("after a change", ask(second.UpTo).Machines[0].Name, "vm-1")
	next := newInheritingHarness(t, &softstate.View{Term: 5, Machines: map[string]softstate.Machine{"vm-1": {Name: "vm-1"}}, Estimates: first.Estimates})
	next.step(SoftStateRequest{ReplyTo: testRecipient("s")})
	if got := next.otherEffects[len(next.otherEffects)-1].(SoftStateReply).Estimates; !reflect.DeepEqual(got.BootSeconds, first.Estimates.BootSeconds) {
		t.Errorf("learned %+v, told %+v", got, first.Estimates)
	}
}
