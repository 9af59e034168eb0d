package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

func TestFailureAttribution(t *testing.T) {
	cases := []struct {
		name       string
		ends       []string // how the starts of one job end on vm-1, vm-2, ...
		quarantine int
	}{
		{"one failure alone blames nobody", []string{wire.ExitError}, 0},
		{"a success elsewhere blames the machine", []string{wire.ExitError, wire.ExitDone}, 1},
		{"a job that fails everywhere blames no machine", []string{wire.ExitError, wire.ExitError, wire.ExitError}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			for i := range c.ends {
				g.bringUp(fmt.Sprintf("vm-%d", i+1))
			}
			g.submit(newTestJob("job-1", 2, 3)) // two tasks, one fits on each machine
			for len(c.ends) > 0 {
				d := g.sentCommands[0]
				g.sentCommands = g.sentCommands[1:]
				g.step(CommandResult{CommandID: d.CommandID, Outcome: CommandExecuted})
				g.sendHeartbeat(g.heartbeatOf(d.Machine, termToken, taskIn(d.Request.Commands[0], wire.TaskEnded, c.ends[0])))
				c.ends = c.ends[1:]
			}
			n := 0
			for _, m := range g.c.machines.list {
				if m.health.quarantined {
					n++
				}
			}
			g.want("machines quarantined", n, c.quarantine)
		})
	}
}

func TestUnreachableMachine(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 1, 4))
	g.endCommands(CommandExecuted)
	g.wait(14 * time.Second)
	g.want("asked to delete", g.deleted, []string{"vm-1"})
	g.bringUp("vm-2")
	g.want("starts before it is surely gone", len(g.starts()), 0)
	g.wait(17 * time.Second) // its lease is over
	g.bringUp("vm-3")
	g.want("starts after", len(g.starts()), 1)
}

func TestWhichUnreachableMachinesAreDeleted(t *testing.T) {
	cases := []struct {
		name    string
		zones   map[string]string // of the machines that fall silent
		talking map[string]string // of the others
		deleted int
	}{
		{"some of a zone", map[string]string{"vm-1": "a", "vm-2": "b"}, map[string]string{"vm-3": "a", "vm-4": "b", "vm-5": "a"}, 2},
		{"a whole zone may be cut off", map[string]string{"vm-1": "a", "vm-2": "a"}, map[string]string{"vm-3": "b", "vm-4": "b", "vm-5": "b"}, 0},
		{"most machines: rather we are cut off", map[string]string{"vm-1": "a", "vm-2": "b", "vm-3": "a"}, map[string]string{"vm-4": "b", "vm-5": "a"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			tell := func(zones map[string]string) {
				for name, zone := range zones {
					r := g.heartbeatOf(name, termToken)
					r.Zone = zone
					g.sendHeartbeat(r)
				}
			}
			tell(c.zones)
			tell(c.talking)
			for range 14 {
				g.wait(time.Second)
				tell(c.talking)
			}
			g.want("deleted", len(g.deleted), c.deleted)
		})
	}
}

func TestMachinesThatComeBackOneByOneAfterACutAreNotDeleted(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	machines := []string{"vm-1", "vm-2", "vm-3", "vm-4"}
	for _, name := range machines {
		g.bringUp(name)
	}
	g.wait(14 * time.Second) // all are silent: we are cut off
	for _, name := range machines {
		g.bringUp(name)
		g.wait(time.Second)
	}
	g.want("deleted", len(g.deleted), 0)
}

func TestSilenceDuringASuspensionCountsForNothing(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.bringUp("vm-2")
	g.bringUp("vm-3")
	g.now += 20 * time.Second // no ticks: the leader was suspended
	g.step(Tick{})
	g.bringUp("vm-2")
	g.bringUp("vm-3")
	g.wait(time.Second)
	g.want("deleted", len(g.deleted), 0)
}

func TestMachineThatCommandsDoNotReachIsAvoidedForAWhile(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	g.endCommands(CommandNotSent)
	g.want("starts at once", len(g.starts()), 0)
	g.acknowledge("vm-1")
	g.want("starts after an echo", len(g.starts()), 0)
	g.wait(5 * time.Second)
	g.want("starts later", len(g.starts()), 1)
}

func TestGoneMachinesAreRecordedWhileAJobNamesThem(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.bringUp("vm-2")
	g.submit(newTestJob("job-1", 2, 4))
	g.endCommands(CommandExecuted)
	g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
	g.want("noted", g.c.machines.list[0].recorded.gone, true)
	g.step(CancelRequest{JobID: "job-1", ReplyTo: recipient("u")})
	g.sendHeartbeat(g.heartbeatOf("vm-2", termToken))
	g.wait(time.Second)
	g.want("noted after the job is over", g.c.machines.list[0].recorded.gone, false)
}

func TestUnreachableHostAfterAFailoverIsDeleted(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}})
	g.wait(13 * time.Second)
	g.want("asked to delete", g.deleted, []string{"vm-1"})
}

// TestMachineThatDoesNotReceiveResponses: a machine whose reports come in, but which hears
// neither answers nor commands, gets no new work, keeps what is booked there
// until that is surely over, and is replaced.
func TestMachineThatDoesNotReceiveResponses(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.bringUp("vm-2")
	g.bringUp("vm-3")
	g.submit(newTestJob("job-1", 1, 4))
	first := g.starts()[0]
	g.endCommands(CommandExecuted)
	deaf := termToken
	tell := func(d time.Duration) {
		for end := g.now + d; g.now < end; {
			g.wait(time.Second)
			r := g.heartbeatOf("vm-1", uint64(deaf), taskIn(first, wire.TaskRunning, ""))
			g.sendHeartbeat(r)
			g.acknowledge("vm-2")
			g.acknowledge("vm-3")
		}
	}
	tell(19 * time.Second) // a quarter of a lease until it is raisedAt, two rounds to wait
	g.want("deaf machine is closed", g.c.machines.list[0].indexed.schedulable, false)
	g.submit(newTestJob("job-2", 2, 4))
	for _, d := range g.sentCommands {
		if d.Machine == "vm-1" {
			t.Error("new work for a machine that does not hear")
		}
	}
	g.want("its task stays booked", g.c.jobs.list[0].progress.allocated, 1)
	tell(6 * time.Second)
	g.want("asked to delete", g.deleted, []string{"vm-1"})
	g.want("its task stays booked until then", g.c.jobs.list[0].progress.allocated, 1)
	g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
	g.want("and waits again afterwards", len(g.c.jobs.list[0].progress.waiting), 1)
}

// TestLateCopiesOfHeartbeats: a copy that comes seconds or more than a lease late
// revives no machine, frees or doubles no booking, renews no lease in our books
// and ends no doubt.
func TestLateCopiesOfHeartbeats(t *testing.T) {
	running := func(g *harness) wire.Command {
		g.bringUp("vm-1")
		g.submit(newTestJob("job-1", 1, 1))
		o := g.starts()[0]
		g.endCommands(CommandExecuted)
		return o
	}
	cases := []struct {
		name string
		act  func(g *harness)
	}{
		{"within the term: it frees nothing and renews nothing", func(g *harness) {
			g.bringUp("vm-1")
			old := *g.heartbeatOf("vm-1", termToken)
			g.sendHeartbeat(&old)
			o := running(g)
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskRunning, "")))
			over := g.c.machines.list[0].agent.leaseExpiry
			g.wait(8 * time.Second)
			g.sendHeartbeat(&old)
			g.want("bookings", g.c.jobs.list[0].progress.allocated, 1)
			g.want("the end of the lease", g.c.machines.list[0].agent.leaseExpiry, over)
		}},
		{"after its lease: what it lists is over", func(g *harness) {
			o := running(g)
			held := *g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskRunning, "")) // not seen before
			g.wait(31 * time.Second)
			g.want("bookings once the lease is over", g.c.jobs.list[0].progress.allocated, 0)
			if a := g.sendHeartbeat(&held); a != nil {
				t.Errorf("a session that is over is kept alive with %v", a)
			}
			g.want("bookings after the copy", g.c.jobs.list[0].progress.allocated, 0)
			g.bringUp("vm-2")
			g.want("starts elsewhere", len(g.starts()), 1)
		}},
		{"after its machine was deleted", func(g *harness) {
			o := running(g)
			held := *g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskRunning, ""))
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
			if a := g.sendHeartbeat(&held); a != nil {
				t.Errorf("answered with %v", a)
			}
			g.want("bookings", g.c.jobs.list[0].progress.allocated, 0)
			g.want("state", g.c.machines.list[0].state, machineGone)
		}},
		{"from before a takeover: it ends no doubt and books nothing", func(g *harness) {
			saved := ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}}
			g2 := newHarness(t, saved)
			g2.bringUp("vm-9")
			old := wire.Command{Task: "job-1/0", Attempt: 6<<tokenBits | 1}
			g2.sendHeartbeat(g2.heartbeatOf("vm-1", 6<<tokenBits, taskIn(old, wire.TaskRunning, "")))
			g2.want("bookings", g2.c.jobs.list[0].progress.allocated, 0)
			g2.want("starts", len(g2.starts()), 0)
			g2.want("orders: it may run there after all", len(g2.answered), 0)
			g2.sendHeartbeat(g2.heartbeatOf("vm-1", termToken))
			g2.want("starts after an echo", len(g2.starts()), 1)
		}},
		{"from an earlier session", func(g *harness) {
			o := running(g)
			held := *g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskRunning, ""))
			r := g.heartbeatOf("vm-1", termToken)
			r.AgentEpoch = 2
			g.sendHeartbeat(r)
			g.acknowledge("vm-1")
			n := g.c.jobs.list[0].progress.allocated
			g.sendHeartbeat(&held)
			g.want("bookings", g.c.jobs.list[0].progress.allocated, n)
			g.want("session", g.c.machines.list[0].agent.epoch, 2)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.act(newHarness(t, ledger.Snapshot{})) })
	}
}

// TestAgentThatRestarts: a machine that is back within a moment
// looks like a late copy until the worker is asked.
func TestAgentThatRestarts(t *testing.T) {
	cases := []struct {
		name   string
		says   uint64 // the seq that the worker answers with
		starts int
	}{
		{"it was a late copy", 90, 0},
		{"it has begun anew", 2, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.submit(newTestJob("job-1", 1, 1))
			o := g.starts()[0]
			g.endCommands(CommandExecuted)
			g.seq["vm-1"] = 40
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskRunning, "")))
			again := *g.heartbeatOf("vm-1", 0)
			again.Sequence = 1
			g.sendHeartbeat(&again)
			asked := 0
			for _, e := range g.out {
				if _, ok := e.(InspectWorker); ok {
					asked++
				}
			}
			g.want("asked", asked, 1)
			now := again
			now.Sequence = c.says
			if c.says > 40 {
				now.FencingToken, now.Tasks = termToken, []wire.TaskStatus{taskIn(o, wire.TaskRunning, "")}
			}
			g.step(InspectResult{Machine: "vm-1", Heartbeat: &now})
			g.seq["vm-1"] = c.says
			if c.says < 40 {
				g.acknowledge("vm-1")
			}
			g.want("started anew", len(g.starts()), c.starts)
			g.want("bookings", g.c.jobs.list[0].progress.allocated, 1)
			if c.starts == 0 {
				return
			}
			// A report of the life that is over looks newer than all that comes now:
			// it says that the new attempt is not there, and the task was started on
			// another machine as well.
			n := g.starts()[0]
			g.endCommands(CommandExecuted)
			old := *g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskRunning, ""))
			old.Sequence = 41
			g.sendHeartbeat(&old)
			g.want("bookings after an old report", g.c.jobs.list[0].progress.allocated, 1)
			g.want("the new attempt", g.c.machineNamed("vm-1").allocation(n.Attempt) != nil, true)
		})
	}
}

// TestHeartbeatOfAnIncarnationBeforeOurTerm: a machine was back within a moment before our term
// began, and counts anew. A late report of its earlier life, which we never saw, has
// higher counts and an older token: it does not tell what runs there.
func TestHeartbeatOfAnIncarnationBeforeOurTerm(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	g.starts()
	g.endCommands(CommandExecuted)
	old := *g.heartbeatOf("vm-1", (testTerm-1)<<tokenBits)
	old.Sequence = 90
	g.sendHeartbeat(&old)
	g.want("bookings after it", g.c.jobs.list[0].progress.allocated, 1)
	g.want("started elsewhere", len(g.starts()), 0)
	// Its worker may truly have begun anew with higher counts: it says so again with
	// the token that the answer gave it.
	again := *g.heartbeatOf("vm-1", g.c.machineNamed("vm-1").agent.fencingToken)
	again.Sequence = 91
	g.sendHeartbeat(&again)
	g.want("started anew", len(g.starts()), 1)
}

// TestIdleMachineThatWaitingTasksCanNotUseIsReturned: on a large site something
// always waits, and it kept every idle machine.
func TestIdleMachineThatWaitingTasksCanNotUseIsReturned(t *testing.T) {
	cases := []struct {
		name    string
		change  func(j *wire.Job)
		deleted int
	}{
		{"the task fits it", func(j *wire.Job) { j.CPUs = 3 }, 0},
		{"the task is too large for it", func(j *wire.Job) { j.CPUs = 8 }, 1},
		{"the task may not use it", func(j *wire.Job) { j.Spot = false }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			j := newTestJob("job-1", 1, 1)
			c.change(j)
			g.submit(j)
			g.endCommands(CommandNotSent) // what fits waits as well: commands don't get there
			for range 100 {
				g.wait(time.Second)
				g.acknowledge("vm-1")
				g.endCommands(CommandNotSent)
			}
			g.want("returned", len(slices.Compact(g.deleted)), c.deleted)
		})
	}
}

// TestOneLostCommandDoesNotMakeAMachineUnreachable: a machine that one command did not reach gets
// no work until it echoes, but is not given up at once.
func TestOneLostCommandDoesNotMakeAMachineUnreachable(t *testing.T) {
	for _, outcome := range []CommandOutcome{CommandOutcomeUnknown, CommandNotSent} {
		g := newHarness(t, ledger.Snapshot{})
		for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
			g.bringUp(name)
		}
		for range 30 {
			g.wait(time.Second)
			for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
				g.acknowledge(name)
			}
		}
		g.submit(newTestJob("job-1", 1, 4))
		g.endCommands(outcome)
		g.want("open before the echo", g.c.agents.schedulable(g.c.machines.list[0]), false)
		g.wait(time.Second)
		g.want("deleted", len(g.deleted), 0)
	}
}

// TestANewLeaderProbesMachines: it need not wait until the workers' reports find
// it.
func TestANewLeaderProbesMachines(t *testing.T) {
	cases := []struct {
		name   string
		answer func(g *harness, d SendCommands)
		starts int
	}{
		{"the answer is an echo", func(g *harness, d SendCommands) {
			g.step(CommandResult{CommandID: d.CommandID, Outcome: CommandExecuted, Heartbeat: g.heartbeatOf("vm-1", d.Request.FencingToken)})
		}, 1},
		{"another session is tried once more", func(g *harness, d SendCommands) {
			r := g.heartbeatOf("vm-1", 6<<tokenBits)
			r.AgentEpoch = 3
			g.step(CommandResult{CommandID: d.CommandID, Outcome: CommandRejected, Heartbeat: r})
			again := g.sentCommands[len(g.sentCommands)-1]
			g.want("session", again.Request.AgentEpoch, 3)
			r = g.heartbeatOf("vm-1", again.Request.FencingToken)
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
				{Name: "vm-1", Address: "10.1.0.1:9000", Type: "m4", Zone: "a", Spot: true, Status: wire.MachineRunning, AgeS: 90},
				{Name: "vm-2", Address: "10.1.0.2:9000", Type: "m4", Zone: "a", Spot: true, Status: wire.MachineBooting, AgeS: 90}}}})
			if len(g.sentCommands) != 1 || g.sentCommands[0].Machine != "vm-1" || len(g.sentCommands[0].Request.Commands) != 0 {
				t.Fatalf("probed with %+v, want vm-1 without orders", g.sentCommands)
			}
			c.answer(g, g.sentCommands[0])
			g.want("starts", len(g.starts()), c.starts)
		})
	}
}

// TestLateCopiesCostLittle: copies of old reports may come for minutes and from
// all machines; asking each worker about each of them would be as many commands.
func TestLateCopiesCostLittle(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	asked := func() (names []string) {
		for _, e := range g.out {
			if i, ok := e.(InspectWorker); ok {
				names = append(names, i.Machine)
			}
		}
		g.out = nil
		return names
	}
	const machines = 100
	name := func(i int) string { return fmt.Sprintf("vm-%d", i) }
	copies := map[string]*wire.Heartbeat{}
	for i := range machines {
		copies[name(i)] = g.heartbeatOf(name(i), 0)
		g.bringUp(name(i))
		g.sendHeartbeat(g.heartbeatOf(name(i), termToken))
	}
	g.out = nil
	for i := range machines {
		g.step(HeartbeatEvent{Heartbeat: copies[name(i)], ReplyTo: recipient("w")})
	}
	at := asked()
	g.want("asked at once", len(at), maxInspections)
	for _, n := range at {
		g.step(InspectResult{Machine: n, Heartbeat: g.heartbeatOf(n, termToken)})
	}
	count := 0
	for range 60 {
		g.wait(time.Second)
		g.acknowledge("vm-0")
		g.out = nil
		g.step(HeartbeatEvent{Heartbeat: copies["vm-0"], ReplyTo: recipient("w")})
		for _, n := range asked() {
			count++
			g.step(InspectResult{Machine: n, Heartbeat: g.heartbeatOf(n, termToken)})
		}
	}
	if count < 1 || count > 5 {
		t.Errorf("asked %d times in a minute of late copies", count)
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
		{"at once", 50 * time.Millisecond, maxProbes},
		{"neither soon nor late", 300 * time.Millisecond, minProbes},
		{"late", time.Second, minProbes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			var list []wire.ListedMachine
			for i := range 300 {
				list = append(list, wire.ListedMachine{Name: fmt.Sprintf("vm-%03d", i), Address: "10.1.0.1:9000", Type: "m4", Zone: "a", Status: wire.MachineRunning, AgeS: 100})
			}
			g.now += time.Second
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{List: true}, List: list}})
			g.want("at first", len(g.sentCommands), minProbes)
			most := 0
			for len(g.sentCommands) > 0 && g.now < 8*time.Second {
				most = max(most, len(g.sentCommands))
				g.now += c.takes
				g.endCommands(CommandExecuted)
			}
			g.want("at most", most, c.most)
		})
	}
}
