package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestMachineThatDoesNotReceiveResponses: a machine whose heartbeats arrive, but which receives
// neither responses nor commands, gets no new work, keeps its allocations until their tasks have
// surely ended, and is replaced.
func TestMachineThatDoesNotReceiveResponses(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.bringUp("vm-2")
	g.bringUp("vm-3")
	g.submit(newTestJob("job-1", 1, 4))
	first := g.startCommands()[0]
	g.completeCommands(CommandExecuted)
	deaf := termToken
	tell := func(d time.Duration) {
		for end := g.now + d; g.now < end; {
			g.advance(time.Second)
			r := g.newHeartbeat("vm-1", uint64(deaf), newTaskStatus(first, wire.TaskRunning, ""))
			g.sendHeartbeat(r)
			g.acknowledge("vm-2")
			g.acknowledge("vm-3")
		}
	}
	tell(19 * time.Second) // a quarter of a lease until it is raised, two rounds to wait
	g.want("deaf machine is closed", g.core.machines.list[0].indexed.schedulable, false)
	g.submit(newTestJob("job-2", 2, 4))
	for _, d := range g.sentCommands {
		if d.Machine == "vm-1" {
			t.Error("new work for a machine that does not hear")
		}
	}
	g.want("its task stays booked", g.core.jobs.list[0].progress.allocated, 1)
	tell(6 * time.Second)
	g.want("asked to delete", g.deletedMachines, []string{"vm-1"})
	g.want("its task stays booked until then", g.core.jobs.list[0].progress.allocated, 1)
	g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
	g.want("and waits again afterwards", len(g.core.jobs.list[0].progress.waiting), 1)
}

// TestLateCopiesOfHeartbeats: a copy that arrives seconds or more than a lease late revives no
// machine, frees or doubles no allocation, renews no lease and resolves no host in doubt.
func TestLateCopiesOfHeartbeats(t *testing.T) {
	running := func(g *harness) wire.Command {
		g.bringUp("vm-1")
		g.submit(newTestJob("job-1", 1, 1))
		o := g.startCommands()[0]
		g.completeCommands(CommandExecuted)
		return o
	}
	cases := []struct {
		name string
		act  func(g *harness)
	}{
		{"within the term: it frees nothing and renews nothing", func(g *harness) {
			g.bringUp("vm-1")
			old := *g.newHeartbeat("vm-1", termToken)
			g.sendHeartbeat(&old)
			o := running(g)
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskRunning, "")))
			over := g.core.machines.list[0].agent.LeaseExpiry()
			g.advance(8 * time.Second)
			g.sendHeartbeat(&old)
			g.want("bookings", g.core.jobs.list[0].progress.allocated, 1)
			g.want("the end of the lease", g.core.machines.list[0].agent.LeaseExpiry(), over)
		}},
		{"after its lease: what it lists is over", func(g *harness) {
			o := running(g)
			held := *g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskRunning, "")) // not seen before
			g.advance(31 * time.Second)
			g.want("bookings once the lease is over", g.core.jobs.list[0].progress.allocated, 0)
			if a := g.sendHeartbeat(&held); a != nil {
				t.Errorf("a session that is over is kept alive with %v", a)
			}
			g.want("bookings after the copy", g.core.jobs.list[0].progress.allocated, 0)
			g.bringUp("vm-2")
			g.want("starts elsewhere", len(g.startCommands()), 1)
		}},
		{"after its machine was deleted", func(g *harness) {
			o := running(g)
			held := *g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskRunning, ""))
			g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
			if a := g.sendHeartbeat(&held); a != nil {
				t.Errorf("answered with %v", a)
			}
			g.want("bookings", g.core.jobs.list[0].progress.allocated, 0)
			g.want("state", g.core.machines.list[0].state, machineGone)
		}},
		{"from before a takeover: it ends no doubt and books nothing", func(g *harness) {
			saved := ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}}
			g2 := newHarness(t, saved)
			g2.bringUp("vm-9")
			old := wire.Command{Task: "job-1/0", Attempt: 6<<termCounterBits | 1}
			g2.sendHeartbeat(g2.newHeartbeat("vm-1", 6<<termCounterBits, newTaskStatus(old, wire.TaskRunning, "")))
			g2.want("bookings", g2.core.jobs.list[0].progress.allocated, 0)
			g2.want("starts", len(g2.startCommands()), 0)
			g2.want("orders: it may run there after all", len(g2.responseCommands), 0)
			g2.sendHeartbeat(g2.newHeartbeat("vm-1", termToken))
			g2.want("starts after an echo", len(g2.startCommands()), 1)
		}},
		{"from an earlier session", func(g *harness) {
			o := running(g)
			held := *g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskRunning, ""))
			r := g.newHeartbeat("vm-1", termToken)
			r.AgentEpoch = 2
			g.sendHeartbeat(r)
			g.acknowledge("vm-1")
			n := g.core.jobs.list[0].progress.allocated
			g.sendHeartbeat(&held)
			g.want("bookings", g.core.jobs.list[0].progress.allocated, n)
			g.want("session", g.core.machines.list[0].agent.Epoch(), 2)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.act(newHarness(t, ledger.Snapshot{})) })
	}
}

// TestHeartbeatOfAnIncarnationBeforeOurTerm: an agent restarted just before our term began, and
// counts from the beginning. A late heartbeat of its earlier incarnation, which we never saw,
// has higher numbers and an older token: it does not show what runs there.
func TestHeartbeatOfAnIncarnationBeforeOurTerm(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	g.startCommands()
	g.completeCommands(CommandExecuted)
	old := *g.newHeartbeat("vm-1", (testTerm-1)<<termCounterBits)
	old.Sequence = 90
	g.sendHeartbeat(&old)
	g.want("bookings after it", g.core.jobs.list[0].progress.allocated, 1)
	g.want("started elsewhere", len(g.startCommands()), 0)
	// Its agent may truly have restarted with higher numbers: it sends the same again with the
	// token that the response has.
	again := *g.newHeartbeat("vm-1", g.core.findOrAddMachine("vm-1").agent.FencingToken())
	again.Sequence = 91
	g.sendHeartbeat(&again)
	g.want("started anew", len(g.startCommands()), 1)
}

func TestMachineIsUsedOnlyOnceItAcknowledgesOurToken(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.submit(newTestJob("job-1", 1, 1))
	// Its token may be an earlier leader's, whose commands can still arrive.
	g.want("token told", g.sendHeartbeat(g.newHeartbeat("vm-1", 6<<termCounterBits)).FencingToken, uint64(termToken))
	g.want("starts before the echo", len(g.startCommands()), 0)
	g.sendHeartbeat(g.newHeartbeat("vm-1", termToken))
	g.want("starts after the echo", len(g.startCommands()), 1)
}

func TestHeartbeatOfANewerTermIsRefused(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	if a := g.sendHeartbeat(g.newHeartbeat("vm-1", (testTerm+1)<<termCounterBits)); a != nil {
		t.Errorf("answered with %v", a)
	}
}
