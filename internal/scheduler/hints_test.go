package scheduler

import (
	"reflect"
	"testing"
	"time"

	"leadproxy/internal/hints"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// hintedAttempt is one that the leader before has started.
const hintedAttempt = 5<<tokenBits | 3

// newHintedStage begins a term an hour after its process, with what the ledger holds of
// job-1, whose only task may be on vm-1.
func newHintedStage(t tester, v *hints.View) *stage {
	record := ledger.JobRecord{Job: newTestJob("job-1", 1, 1), AcceptedMS: time.Hour.Milliseconds()}
	cfg := testConfig(settings.Defaults(), settings.Team{Name: "t"})
	cfg.Hints = v
	return newStageAt(t, time.Hour, cfg, ledger.Snapshot{Jobs: []ledger.SavedJob{{Ref: "job-1", Version: 3, Record: record, Hosts: savedHosts("vm-1")}}})
}

func hintsOf(machines ...hints.Machine) *hints.View {
	v := &hints.View{Term: 5, Machines: map[string]hints.Machine{}}
	for _, m := range machines {
		v.Machines[m.Name] = m
	}
	return v
}

var hintedMachine = hints.Machine{Name: "vm-1", Address: "10.1.0.1:9000", Session: 2,
	Bookings: []hints.Booking{{Task: "job-1/0", Attempt: hintedAttempt, Ran: 20 * time.Second}}}

// hintedReport is the report of vm-1 while the task runs there.
func hintedReport(g *stage, token uint64, status, why string) *wire.Report {
	r := g.reportOf("vm-1", token, wire.TaskReport{Task: "job-1/0", Attempt: hintedAttempt, Status: status, Why: why})
	r.Session = 2
	return r
}

// TestHintedMachinesAreProbedAtOnce: where the ledger's machines are reached is known before
// the cloud's list, and the answer settles what an earlier leader has started.
func TestHintedMachinesAreProbedAtOnce(t *testing.T) {
	g := newHintedStage(t, hintsOf(hintedMachine, hints.Machine{Name: "vm-9", Address: "10.1.0.9:9000", Session: 1}))
	g.want("machines", len(g.c.machines), 1) // a hint alone makes none
	g.want("probes", len(g.start), 1)
	probe := g.start[0]
	g.want("the probe", []any{probe.Address, probe.Commands.Session, probe.Commands.Token, len(probe.Commands.Orders)}, []any{"10.1.0.1:9000", uint64(2), uint64(ours), 0})
	g.want("unsettled", g.c.Unsettled(), 1)
	g.step(DirectBack{Call: probe.Call, Outcome: DirectDone, Report: hintedReport(g, ours, wire.TaskRunning, "")})
	g.want("unsettled after its answer", g.c.Unsettled(), 0)
	g.want("bookings", g.c.jobs[0].booked, 1)
}

// TestHintIsNotBelievedAgainstAReport: the task that a hint names is not on its machine, and
// is placed like any other; the machine is reached elsewhere, and is not shunned for that.
func TestHintIsNotBelievedAgainstAReport(t *testing.T) {
	g := newHintedStage(t, hintsOf(hintedMachine))
	probe := g.start[0]
	g.start = nil
	g.step(DirectBack{Call: probe.Call, Outcome: DirectNotSent})
	m := g.c.machineNamed("vm-1")
	g.want("address, shunned, doubted", []any{m.address, m.shunned, m.doubted}, []any{"", time.Duration(0), false})
	g.want("bookings by the hint", g.c.jobs[0].booked, 0)
	for _, token := range []uint64{0, ours} {
		r := g.reportOf("vm-1", token)
		r.Address = "10.1.0.7:9000"
		g.report(r)
	}
	g.want("address by its report", m.address, "10.1.0.7:9000")
	g.want("starts", len(g.starts()), 1)
}

// TestRunTimesTakenOver: a task that ran before the term is learned from with the time that
// a hint tells, and not at all without: it looked as short as the term was.
func TestRunTimesTakenOver(t *testing.T) {
	for _, hinted := range []bool{true, false} {
		var v *hints.View
		if hinted {
			v = hintsOf(hintedMachine)
		}
		g := newHintedStage(t, v)
		g.report(hintedReport(g, 0, wire.TaskRunning, ""))
		g.report(hintedReport(g, ours, wire.TaskRunning, ""))
		g.wait(10 * time.Second)
		g.report(hintedReport(g, ours, wire.TaskEnded, wire.WhyDone))
		want := 1.0 // of the estimate, 10 s
		if hinted {
			want = 3 // 20 s before the term, and 10 s in it
		}
		g.want("run time against the estimate", g.c.fleet.ratio(g.c.jobs[0].class), want)
	}
}

// TestHintsAreTakenOver: what one term has learned, the next one knows; what has changed
// since is told alone, in parts if it is much.
func TestHintsAreTakenOver(t *testing.T) {
	g := newHintedStage(t, nil)
	for i := range hints.MaxChanges {
		g.up("vm-" + string(rune('a'+i%26)) + string(rune('a'+i/26)))
	}
	g.report(hintedReport(g, 0, wire.TaskRunning, ""))
	g.c.fleet.learnRatio(g.c.jobs[0].class, 2)
	g.c.types[0].boot = 33 * time.Second
	ask := func(since uint64) HintsGiven {
		g.out = nil
		g.step(HintsAsked{Since: since, To: recipient("s")})
		return g.others[len(g.others)-1].(HintsGiven)
	}
	first := ask(0)
	second := ask(first.Upto)
	g.want("parts", []any{len(first.Machines), first.More, len(second.Machines), second.More}, []any{hints.MaxChanges, true, 1, false})
	g.want("what has changed since", len(ask(second.Upto).Machines), 0)
	g.c.changed(g.c.machineNamed("vm-1"))
	g.want("after a change", ask(second.Upto).Machines[0].Name, "vm-1")
	next := newHintedStage(t, &hints.View{Term: 5, Machines: map[string]hints.Machine{"vm-1": {Name: "vm-1"}}, Learned: first.Learned})
	next.step(HintsAsked{To: recipient("s")})
	if got := next.others[len(next.others)-1].(HintsGiven).Learned; !reflect.DeepEqual(got.Boots, first.Learned.Boots) {
		t.Errorf("learned %+v, told %+v", got, first.Learned)
	}
}
