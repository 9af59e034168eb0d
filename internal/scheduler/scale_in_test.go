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
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 1, 4))
	g.completeCommands(CommandExecuted)
	g.advance(14 * time.Second)
	g.want("asked to delete", g.deletedMachines, []string{"vm-1"})
	g.bringUp("vm-2")
	g.want("starts before it is surely gone", len(g.startCommands()), 0)
	g.advance(17 * time.Second) // its lease has expired
	g.bringUp("vm-3")
	g.want("starts after", len(g.startCommands()), 1)
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
			g := newHarness(t, ledger.Snapshot{})
			tell := func(zones map[string]string) {
				for name, zone := range zones {
					r := g.newHeartbeat(name, termToken)
					r.Zone = zone
					g.sendHeartbeat(r)
				}
			}
			tell(c.zones)
			tell(c.talking)
			for range 14 {
				g.advance(time.Second)
				tell(c.talking)
			}
			g.want("deleted", len(g.deletedMachines), c.deleted)
		})
	}
}

func TestMachinesThatReconnectAfterAPartitionAreNotDeleted(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	machines := []string{"vm-1", "vm-2", "vm-3", "vm-4"}
	for _, name := range machines {
		g.bringUp(name)
	}
	g.advance(14 * time.Second) // all are unreachable: we are cut off
	for _, name := range machines {
		g.bringUp(name)
		g.advance(time.Second)
	}
	g.want("deleted", len(g.deletedMachines), 0)
}

func TestSuspensionOfTheLeaderMakesNoAgentUnreachable(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.bringUp("vm-2")
	g.bringUp("vm-3")
	g.now += 20 * time.Second // no ticks: the leader was suspended
	g.step(Tick{})
	g.bringUp("vm-2")
	g.bringUp("vm-3")
	g.advance(time.Second)
	g.want("deleted", len(g.deletedMachines), 0)
}

func TestUnreachableHostAfterAFailoverIsDeleted(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}, Hosts: savedHosts("vm-1")}}})
	g.advance(13 * time.Second)
	g.want("asked to delete", g.deletedMachines, []string{"vm-1"})
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
			g.completeCommands(CommandNotSent) // what fits waits as well: commands do not arrive there
			for range 100 {
				g.advance(time.Second)
				g.acknowledge("vm-1")
				g.completeCommands(CommandNotSent)
			}
			g.want("returned", len(slices.Compact(g.deletedMachines)), c.deleted)
		})
	}
}

// TestBeyondTheLimitNothingIsRentedOrKept: tasks beyond their team's limit cause no scale-out,
// however many jobs they are in, and keep no machine.
func TestBeyondTheLimitNothingIsRentedOrKept(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t", CPUsMax: 4})
	for i := range 5 {
		g.submit(newTestJob(fmt.Sprintf("job-%d", i+1), 8, 1))
	}
	g.advance(2 * time.Second)
	machines := 0
	for _, h := range g.scaleOuts {
		machines += h.Count
	}
	g.want("hired for 4 cores of 40", machines, 1)

	g.bringUp("vm-1")
	running := []wire.TaskStatus{}
	for _, o := range g.startCommands() {
		running = append(running, newTaskStatus(o, wire.TaskRunning, ""))
	}
	g.want("started within the limit", len(running), 4)
	g.completeCommands(CommandExecuted)
	g.bringUp("vm-2")
	for range 100 {
		g.advance(time.Second)
		g.acknowledge("vm-1", running...)
		g.acknowledge("vm-2")
	}
	returned := map[string]bool{}
	for _, name := range g.deletedMachines {
		returned[name] = true
	}
	g.want("the idle machine returned, the busy one not", fmt.Sprint(returned["vm-2"], returned["vm-1"]), "true false")
}
