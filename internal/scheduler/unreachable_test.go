package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// lastUnreachableRecord returns the key and the value of an unreachable-agent record that was
// written and not withdrawn, or "" and nil if there is none.
func (h *harness) lastUnreachableRecord() (string, *ledger.UnreachableRecord) {
	for key, write := range h.writesByKey {
		if record, ok := write.Value.(ledger.UnreachableRecord); ok && len(record.Machines) > 0 && strings.HasPrefix(key, ledger.UnreachableKey("")) {
			return key, &record
		}
	}
	return "", nil
}

// responseCount returns the number of heartbeats in recentEffects that got a response.
func (h *harness) responseCount() (count int) {
	for _, effect := range h.recentEffects {
		if reply, ok := effect.(HeartbeatReply); ok && reply.Response != nil {
			count++
		}
	}
	return count
}

// TestUnreachableAgentGetsNoResponseBeforeItsRecordIsWithdrawn guards against a task that runs
// twice: a later leader starts the tasks again at the lease expiry in the record, so no response
// may renew the lease before the record is withdrawn.
func TestUnreachableAgentGetsNoResponseBeforeItsRecordIsWithdrawn(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	lastHeartbeat := h.now
	h.submit(newTestJob("job-1", 1, 1))
	start := h.startCommands()[0]
	h.completeCommands(CommandExecuted)
	h.advance(5 * time.Second)
	if _, record := h.lastUnreachableRecord(); record != nil {
		t.Errorf("recorded after 5 s: %+v, want no record", record)
	}
	h.advance(6 * time.Second)
	key, record := h.lastUnreachableRecord()
	if record == nil {
		t.Fatal("no unreachable-agent record after 11 s")
	}
	if expiry := time.Duration(record.LeaseExpiryMS) * time.Millisecond; expiry < lastHeartbeat+30*time.Second || expiry > lastHeartbeat+31*time.Second || len(record.Machines) != 1 {
		t.Errorf("record %+v, want one machine and an expiry 30 to 31 s after the last heartbeat", record)
	}
	h.holdWrites, h.recentEffects = true, nil
	sendHeartbeat := func() {
		heartbeat := h.newHeartbeat("vm-1", h.core.findOrAddMachine("vm-1").agent.FencingToken(), newTaskStatus(start, wire.TaskRunning, ""))
		h.step(HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: testRecipient("w")})
	}
	sendHeartbeat()
	h.want("responses before the record is withdrawn", h.responseCount(), 0)
	// The key is not deleted: a late copy of the write that created the record would then succeed.
	h.want("withdrawn record", fmt.Sprint(h.writesByKey[key].Value, h.writesByKey[key].Urgent), "{0 []} true")
	sendHeartbeat()
	h.releaseWrites()
	h.want("responses after the record is withdrawn", h.responseCount(), 2)
	h.recentEffects = nil
	sendHeartbeat()
	h.want("responses to the next heartbeat", h.responseCount(), 1)
	h.want("job status", h.jobStatus("job-1"), wire.JobRunning)
	h.advance(11 * time.Second)
	nextKey, _ := h.lastUnreachableRecord()
	h.want("key of the next record", nextKey, key)
}

// TestANewLeaderTakesOverUnreachableAgentRecords: tasks that an earlier leader started on a machine
// with an unreachable-agent record are started again at the lease expiry in the record, not a whole
// lease after the failover.
func TestANewLeaderTakesOverUnreachableAgentRecords(t *testing.T) {
	key := ledger.UnreachableKey("6-1")
	saved := func(leaseExpiry time.Duration, machines ...string) ledger.Snapshot {
		snapshot := ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}}
		if machines != nil {
			snapshot.Unreachable = map[string]ledger.UnreachableRecord{key: {LeaseExpiryMS: leaseExpiry.Milliseconds(), Machines: machines}}
		}
		return snapshot
	}
	cases := []struct {
		name         string
		saved        ledger.Snapshot
		after, until time.Duration // when the task is started again
	}{
		{"no record", saved(0), 30 * time.Second, 32 * time.Second},
		{"lease expires in five seconds", saved(5*time.Second, "vm-1"), 5 * time.Second, 6 * time.Second},
		{"lease expired long ago", saved(-time.Minute, "vm-1"), 0, time.Second},
		{"expiry later than a lease from now", saved(time.Hour, "vm-1"), 30 * time.Second, 32 * time.Second},
		{"withdrawn record", saved(5*time.Second, []string{}...), 30 * time.Second, 32 * time.Second},
		{"record of another machine", saved(0, "vm-3"), 30 * time.Second, 32 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.saved)
			h.bringUp("vm-2")
			for len(h.startCommands()) == 0 && h.now < time.Minute {
				h.advance(250 * time.Millisecond)
				h.acknowledge("vm-2")
			}
			if h.now < test.after || h.now > test.until {
				t.Errorf("started after %s, which is outside the expected interval", h.now)
			}
		})
	}
	t.Run("the machine is reachable again before the expiry", func(t *testing.T) {
		h := newHarness(t, saved(5*time.Second, "vm-1"))
		h.bringUp("vm-2")
		h.holdWrites, h.recentEffects = true, nil
		old := wire.TaskStatus{Task: "job-1/0", Attempt: 6<<termCounterBits | 1, Status: wire.TaskRunning}
		h.step(HeartbeatEvent{Heartbeat: h.newHeartbeat("vm-1", 6<<termCounterBits, old), ReplyTo: testRecipient("w")})
		h.want("responses before the record is withdrawn", h.responseCount(), 0)
		h.releaseWrites()
		h.want("responses after the record is withdrawn", h.responseCount(), 1)
		h.acknowledge("vm-1", old)
		h.advance(6 * time.Second)
		h.want("job status", h.jobStatus("job-1"), wire.JobRunning)
		h.want("further starts", len(h.startCommands()), 0)
	})
}

// TestANewEpochHasALeaseOfItsOwn guards against a task that runs twice: an agent whose lease has
// expired continues in the next epoch for a whole lease, even if none of its heartbeats gets a
// response. A task that a direct command started in the new epoch counted as ended at the lease
// expiry of the epoch before, and was started again on another machine.
func TestANewEpochHasALeaseOfItsOwn(t *testing.T) {
	cases := []struct {
		name     string
		saved    ledger.Snapshot
		resultAt time.Duration // when the result of the first direct command arrives
	}{
		{"an unreachable-agent record was written", ledger.Snapshot{Unreachable: map[string]ledger.UnreachableRecord{ledger.UnreachableKey("6-1"): {LeaseExpiryMS: 3000, Machines: []string{"vm-1"}}}}, time.Second},
		{"the first result arrives late", ledger.Snapshot{}, 25 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.saved)
			h.advance(test.resultAt)
			m := h.core.findOrAddMachine("vm-1")
			m.agent.SetAddress("10.1.0.1:9000")
			h.core.commands.sendCommand(&commandInFlight{machine: m, agentEpoch: 2, fencingToken: m.agent.FencingToken()}, []wire.Command{})
			h.recordEffects(h.core.Flush())
			command := h.sentCommands[len(h.sentCommands)-1]
			h.sentCommands = nil
			heartbeat := h.newHeartbeat("vm-1", termToken)
			heartbeat.AgentEpoch = 2
			h.step(CommandResult{CommandID: command.CommandID, Outcome: CommandExecuted, Heartbeat: heartbeat})
			h.submit(newTestJob("job-1", 1, 1))
			h.want("starts", len(h.startCommands()), 1)
			h.completeCommands(CommandExecuted)
			resultAt := h.now
			for h.now < resultAt+28*time.Second {
				h.advance(time.Second)
				h.acknowledge("vm-2")
			}
			h.want("further starts within the lease", len(h.startCommands()), 0)
			for h.now < resultAt+33*time.Second {
				h.advance(time.Second)
				h.acknowledge("vm-2")
			}
			h.want("further starts after the lease", len(h.startCommands()), 1)
		})
	}
}

// TestNothingIsRecordedWhileNothingCanBeWritten guards against agents that lose their leases in an
// outage of the key-value store: a record written then could not be withdrawn for a machine that is
// reachable again before the store is.
func TestNothingIsRecordedWhileNothingCanBeWritten(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 1, 1))
	h.completeCommands(CommandExecuted)
	h.holdWrites = true
	h.submit(newTestJob("job-2", 1, 4)) // a scale-out, which waits for the ledger
	h.advance(12 * time.Second)
	if _, record := h.lastUnreachableRecord(); record != nil {
		t.Errorf("recorded in an outage: %+v, want no record", record)
	}
	h.releaseWrites()
	h.advance(4 * time.Second)
	if _, record := h.lastUnreachableRecord(); record == nil {
		t.Error("no unreachable-agent record after the outage")
	}
}
