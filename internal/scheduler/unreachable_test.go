package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// lastUnreachableRecord returns the unreachable-agent record that was last written, and its key.
func (h *harness) lastUnreachableRecord() (string, *ledger.UnreachableRecord) {
	for key, w := range h.writesByKey {
		if r, ok := w.Value.(ledger.UnreachableRecord); ok && len(r.Machines) > 0 && strings.HasPrefix(key, ledger.UnreachableKey("")) {
			return key, &r
		}
	}
	return "", nil
}

// responseCount counts the heartbeats that got a response.
func (h *harness) responseCount() (n int) {
	for _, e := range h.recentEffects {
		if a, ok := e.(HeartbeatReply); ok && a.Response != nil {
			n++
		}
	}
	return n
}

// TestUnreachableAgentGetsNoResponseBeforeItsRecordIsWithdrawn: a later leader relies on the
// record that the lease is not renewed.
func TestUnreachableAgentGetsNoResponseBeforeItsRecordIsWithdrawn(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	heard := g.now
	g.submit(newTestJob("job-1", 1, 1))
	o := g.startCommands()[0]
	g.completeCommands(CommandExecuted)
	g.advance(5 * time.Second)
	if _, r := g.lastUnreachableRecord(); r != nil {
		t.Errorf("noted after 5 s: %+v", r)
	}
	g.advance(6 * time.Second)
	key, r := g.lastUnreachableRecord()
	if r == nil {
		t.Fatal("not noted after 11 s")
	}
	if over := time.Duration(r.LeaseExpiryMS) * time.Millisecond; over < heard+30*time.Second || over > heard+31*time.Second || len(r.Machines) != 1 {
		t.Errorf("noted %+v", r)
	}
	g.holdWrites, g.recentEffects = true, nil
	report := func() {
		r := g.newHeartbeat("vm-1", g.core.findOrAddMachine("vm-1").agent.FencingToken(), newTaskStatus(o, wire.TaskRunning, ""))
		g.step(HeartbeatEvent{Heartbeat: r, ReplyTo: testRecipient("w")})
	}
	report()
	g.want("answered before the note is withdrawn", g.responseCount(), 0)
	// Not deleted: a late copy of the record's own write finds no key at first.
	g.want("withdrawn", fmt.Sprint(g.writesByKey[key].Value, g.writesByKey[key].Urgent), "{0 []} true")
	report()
	g.releaseWrites()
	g.want("answered afterwards", g.responseCount(), 2)
	g.recentEffects = nil
	report()
	g.want("answered from then on", g.responseCount(), 1)
	g.want("its task goes on", g.jobStatus("job-1"), wire.JobRunning)
	g.advance(11 * time.Second)
	again, _ := g.lastUnreachableRecord()
	g.want("the key of the next note", again, key)
}

// TestANewLeaderTakesOverUnreachableAgentRecords: what an earlier leader started on a machine
// with a record has ended at the time in the record, not a lease after the failover.
func TestANewLeaderTakesOverUnreachableAgentRecords(t *testing.T) {
	key := ledger.UnreachableKey("6-1")
	saved := func(over time.Duration, machines ...string) ledger.Snapshot {
		s := ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}}
		if machines != nil {
			s.Unreachable = map[string]ledger.UnreachableRecord{key: {LeaseExpiryMS: over.Milliseconds(), Machines: machines}}
		}
		return s
	}
	cases := []struct {
		name         string
		saved        ledger.Snapshot
		after, until time.Duration // when the task is started again
	}{
		{"no note", saved(0), 30 * time.Second, 32 * time.Second},
		{"over in five seconds", saved(5*time.Second, "vm-1"), 5 * time.Second, 6 * time.Second},
		{"over long ago", saved(-time.Minute, "vm-1"), 0, time.Second},
		{"later than this leader can know itself", saved(time.Hour, "vm-1"), 30 * time.Second, 32 * time.Second},
		{"withdrawn", saved(5*time.Second, []string{}...), 30 * time.Second, 32 * time.Second},
		{"of another machine", saved(0, "vm-3"), 30 * time.Second, 32 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, c.saved)
			g.bringUp("vm-2")
			for len(g.startCommands()) == 0 && g.now < time.Minute {
				g.advance(250 * time.Millisecond)
				g.acknowledge("vm-2")
			}
			if g.now < c.after || g.now > c.until {
				t.Errorf("started after %s", g.now)
			}
		})
	}
	t.Run("the machine is back before", func(t *testing.T) {
		g := newHarness(t, saved(5*time.Second, "vm-1"))
		g.bringUp("vm-2")
		g.holdWrites, g.recentEffects = true, nil
		old := wire.TaskStatus{Task: "job-1/0", Attempt: 6<<termCounterBits | 1, Status: wire.TaskRunning}
		g.step(HeartbeatEvent{Heartbeat: g.newHeartbeat("vm-1", 6<<termCounterBits, old), ReplyTo: testRecipient("w")})
		g.want("answered before the note is withdrawn", g.responseCount(), 0)
		g.releaseWrites()
		g.want("answered afterwards", g.responseCount(), 1)
		g.acknowledge("vm-1", old)
		g.advance(6 * time.Second)
		g.want("its task goes on", g.jobStatus("job-1"), wire.JobRunning)
		g.want("and is not started again", len(g.startCommands()), 0)
	})
}

// TestANewEpochHasALeaseOfItsOwn: an agent whose lease has expired continues in the next epoch
// for a whole lease, even if none of its heartbeats gets a response. What a direct command
// started there was taken for ended when the lease of the epoch before was, and started again
// elsewhere.
func TestANewEpochHasALeaseOfItsOwn(t *testing.T) {
	cases := []struct {
		name  string
		saved ledger.Snapshot
		heard time.Duration // when the result of its first direct command arrives
	}{
		{"its silence was noted", ledger.Snapshot{Unreachable: map[string]ledger.UnreachableRecord{ledger.UnreachableKey("6-1"): {LeaseExpiryMS: 3000, Machines: []string{"vm-1"}}}}, time.Second},
		{"it is heard late", ledger.Snapshot{}, 25 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, c.saved)
			g.advance(c.heard)
			m := g.core.findOrAddMachine("vm-1")
			m.agent.SetAddress("10.1.0.1:9000")
			g.core.commands.sendCommand(&commandInFlight{machine: m, agentEpoch: 2, fencingToken: m.agent.FencingToken()}, []wire.Command{})
			g.recordEffects(g.core.Flush())
			probe := g.sentCommands[len(g.sentCommands)-1]
			g.sentCommands = nil
			r := g.newHeartbeat("vm-1", termToken)
			r.AgentEpoch = 2
			g.step(CommandResult{CommandID: probe.CommandID, Outcome: CommandExecuted, Heartbeat: r})
			g.submit(newTestJob("job-1", 1, 1))
			g.want("started there", len(g.startCommands()), 1)
			g.completeCommands(CommandExecuted)
			heard := g.now
			for g.now < heard+28*time.Second {
				g.advance(time.Second)
				g.acknowledge("vm-2")
			}
			g.want("started again within its lease", len(g.startCommands()), 0)
			for g.now < heard+33*time.Second {
				g.advance(time.Second)
				g.acknowledge("vm-2")
			}
			g.want("started again after it", len(g.startCommands()), 1)
		})
	}
}

// TestNothingIsRecordedWhileNothingCanBeWritten: the record could not be withdrawn for a machine
// that is reachable again before the key-value store is.
func TestNothingIsRecordedWhileNothingCanBeWritten(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	g.completeCommands(CommandExecuted)
	g.holdWrites = true
	g.submit(newTestJob("job-2", 1, 4)) // a scale-out, which waits for the ledger
	g.advance(12 * time.Second)
	if _, r := g.lastUnreachableRecord(); r != nil {
		t.Errorf("noted in an outage: %+v", r)
	}
	g.releaseWrites()
	g.advance(4 * time.Second)
	if _, r := g.lastUnreachableRecord(); r == nil {
		t.Error("not noted after the outage")
	}
}
