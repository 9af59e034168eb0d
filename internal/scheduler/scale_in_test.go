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

func TestUnreachableMachine(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 1, 4))
	h.completeCommands(CommandExecuted)
	h.advance(14 * time.Second)
	h.want("asked to delete", h.deletedMachines, []string{"vm-1"})
	h.bringUp("vm-2")
	h.want("starts before it is surely gone", len(h.startCommands()), 0)
	h.advance(17 * time.Second) // its lease has expired
	h.bringUp("vm-3")
	h.want("starts after", len(h.startCommands()), 1)
}

func TestWhichUnreachableMachinesAreDeleted(t *testing.T) {
	cases := []struct {
		name    string
		zones   map[string]string // of the machines that become unreachable
		talking map[string]string // of the others
		deleted int
	}{
		{"some of a zone", map[string]string{"vm-1": "a", "vm-2": "b"}, map[string]string{"vm-3": "a", "vm-4": "b", "vm-5": "a"}, 2},
		{"a whole zone may be cut off", map[string]string{"vm-1": "a", "vm-2": "a"}, map[string]string{"vm-3": "b", "vm-4": "b", "vm-5": "b"}, 0},
		{"most machines: rather we are cut off", map[string]string{"vm-1": "a", "vm-2": "b", "vm-3": "a"}, map[string]string{"vm-4": "b", "vm-5": "a"}, 0},
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
			sendHeartbeats(c.zones)
			sendHeartbeats(c.talking)
			for range 14 {
				h.advance(time.Second)
				sendHeartbeats(c.talking)
			}
			h.want("deleted", len(h.deletedMachines), c.deleted)
		})
	}
}

func TestMachinesThatReconnectAfterAPartitionAreNotDeleted(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	machines := []string{"vm-1", "vm-2", "vm-3", "vm-4"}
	for _, name := range machines {
		h.bringUp(name)
	}
	h.advance(14 * time.Second) // all are unreachable: we are cut off
	for _, name := range machines {
		h.bringUp(name)
		h.advance(time.Second)
	}
	h.want("deleted", len(h.deletedMachines), 0)
}

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

func TestUnreachableHostAfterAFailoverIsDeleted(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}})
	h.advance(13 * time.Second)
	h.want("asked to delete", h.deletedMachines, []string{"vm-1"})
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
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			j := newTestJob("job-1", 1, 1)
			c.change(j)
			h.submit(j)
			h.completeCommands(CommandNotSent) // what fits waits as well: commands do not arrive there
			for range 100 {
				h.advance(time.Second)
				h.acknowledge("vm-1")
				h.completeCommands(CommandNotSent)
			}
			h.want("returned", len(slices.Compact(h.deletedMachines)), c.deleted)
		})
	}
}

// TestBeyondTheLimitNothingIsRentedOrKept: tasks beyond their team's limit cause no scale-out,
// however many jobs they are in, and keep no machine.
func TestBeyondTheLimitNothingIsRentedOrKept(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t", CPUsMax: 4})
	for i := range 5 {
		h.submit(newTestJob(fmt.Sprintf("job-%d", i+1), 8, 1))
	}
	h.advance(2 * time.Second)
	machines := 0
	for _, h := range h.scaleOuts {
		machines += h.Count
	}
	h.want("hired for 4 cores of 40", machines, 1)

	h.bringUp("vm-1")
	running := []wire.TaskStatus{}
	for _, command := range h.startCommands() {
		running = append(running, newTaskStatus(command, wire.TaskRunning, ""))
	}
	h.want("started within the limit", len(running), 4)
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
