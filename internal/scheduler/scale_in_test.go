package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// TestUnreachableMachine checks that an unreachable machine is deleted, and that its task is started
// elsewhere only when its lease has expired.
func TestUnreachableMachine(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 1, 4))
	h.completeCommands(CommandExecuted)
	h.advance(14 * time.Second)
	h.want("requested deletions", h.deletedMachines, []string{"vm-1"})
	h.bringUp("vm-2")
	h.want("starts before the lease has expired", len(h.startCommands()), 0)
	h.advance(17 * time.Second) // the lease of vm-1 has expired
	h.bringUp("vm-3")
	h.want("starts after the lease has expired", len(h.startCommands()), 1)
}

// TestWhichUnreachableMachinesAreDeleted guards against the deletion of machines that run but can't be
// reached: if a whole zone or most machines become unreachable at once, a network partition is more
// likely than their failure.
func TestWhichUnreachableMachinesAreDeleted(t *testing.T) {
	cases := []struct {
		name        string
		unreachable map[string]string // zone by machine that becomes unreachable
		reachable   map[string]string // zone by machine that stays reachable
		deleted     int
	}{
		{"some machines of each zone", map[string]string{"vm-1": "a", "vm-2": "b"}, map[string]string{"vm-3": "a", "vm-4": "b", "vm-5": "a"}, 2},
		{"a whole zone, which may be partitioned", map[string]string{"vm-1": "a", "vm-2": "a"}, map[string]string{"vm-3": "b", "vm-4": "b", "vm-5": "b"}, 0},
		{"most machines, so this controller may be partitioned", map[string]string{"vm-1": "a", "vm-2": "b", "vm-3": "a"}, map[string]string{"vm-4": "b", "vm-5": "a"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			sendHeartbeats := func(zones map[string]string) {
				for name, zone := range zones {
					heartbeat := h.newHeartbeat(name, termToken)
					heartbeat.Zone = zone
					h.sendHeartbeat(heartbeat)
				}
			}
			sendHeartbeats(c.unreachable)
			sendHeartbeats(c.reachable)
			for range 14 {
				h.advance(time.Second)
				sendHeartbeats(c.reachable)
			}
			h.want("deleted", len(h.deletedMachines), c.deleted)
		})
	}
}

// TestMachinesThatReconnectAfterAPartitionAreNotDeleted checks that machines that become reachable one
// by one after a partition aren't deleted while the others are still unreachable.
func TestMachinesThatReconnectAfterAPartitionAreNotDeleted(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	machines := []string{"vm-1", "vm-2", "vm-3", "vm-4"}
	for _, name := range machines {
		h.bringUp(name)
	}
	h.advance(14 * time.Second) // all machines are unreachable: this controller is partitioned
	for _, name := range machines {
		h.bringUp(name)
		h.advance(time.Second)
	}
	h.want("deleted", len(h.deletedMachines), 0)
}

// TestSuspensionOfTheLeaderMakesNoAgentUnreachable checks that machines aren't deleted for heartbeats
// that the leader missed while it was suspended.
func TestSuspensionOfTheLeaderMakesNoAgentUnreachable(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.bringUp("vm-2")
	h.bringUp("vm-3")
	h.now += 20 * time.Second // no ticks: the leader was suspended
	h.step(Tick{})
	h.bringUp("vm-2")
	h.bringUp("vm-3")
	h.advance(time.Second)
	h.want("deleted", len(h.deletedMachines), 0)
}

// TestUnreachableHostAfterAFailoverIsDeleted checks that a new leader deletes a host that has sent no
// heartbeat in its term.
func TestUnreachableHostAfterAFailoverIsDeleted(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}})
	h.advance(13 * time.Second)
	h.want("requested deletions", h.deletedMachines, []string{"vm-1"})
}

// TestIdleMachineThatWaitingTasksCanNotUseIsReturned guards against idle machines that are kept forever:
// in a large cell some tasks always wait, and any waiting task kept every idle machine.
func TestIdleMachineThatWaitingTasksCanNotUseIsReturned(t *testing.T) {
	cases := []struct {
		name    string
		change  func(j *wire.Job)
		deleted int
	}{
		{"the task fits", func(j *wire.Job) { j.CPUs = 3 }, 0},
		{"the task is too large", func(j *wire.Job) { j.CPUs = 8 }, 1},
		{"the task may not use spot machines", func(j *wire.Job) { j.Spot = false }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			j := newTestJob("job-1", 1, 1)
			c.change(j)
			h.submit(j)
			h.completeCommands(CommandNotSent) // commands don't arrive, so that a task that fits waits as well
			for range 100 {
				h.advance(time.Second)
				h.acknowledge("vm-1")
				h.completeCommands(CommandNotSent)
			}
			h.want("returned", len(slices.Compact(h.deletedMachines)), c.deleted)
		})
	}
}

// TestBeyondTheLimitNothingIsRentedOrKept checks that tasks beyond their team's limit cause no
// scale-out, in however many jobs they are, and keep no idle machine.
func TestBeyondTheLimitNothingIsRentedOrKept(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t", CPUsMax: 4})
	for i := range 5 {
		h.submit(newTestJob(fmt.Sprintf("job-%d", i+1), 8, 1))
	}
	h.advance(2 * time.Second)
	machines := 0
	for _, scaleOut := range h.scaleOuts {
		machines += scaleOut.Count
	}
	h.want("machines requested for 4 of 40 cores", machines, 1)

	h.bringUp("vm-1")
	running := []wire.TaskStatus{}
	for _, command := range h.startCommands() {
		running = append(running, newTaskStatus(command, wire.TaskRunning, ""))
	}
	h.want("starts within the limit", len(running), 4)
	h.completeCommands(CommandExecuted)
	h.bringUp("vm-2")
	for range 100 {
		h.advance(time.Second)
		h.acknowledge("vm-1", running...)
		h.acknowledge("vm-2")
	}
	returned := map[string]bool{}
	for _, name := range h.deletedMachines {
		returned[name] = true
	}
	h.want("the idle machine returned, the busy one not", fmt.Sprint(returned["vm-2"], returned["vm-1"]), "true false")
}
