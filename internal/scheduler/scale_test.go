package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// heartbeatsProcessedPerReport fills a site of so many machines, half of them short of cores
// and half of memory, lets jobs wait that need a little of both, and counts the
// nodes of the index that reports of ended tasks cause to be looked at.
func heartbeatsProcessedPerReport(t *testing.T, machines int) int {
	g := newHarness(t, ledger.Snapshot{})
	tasks := map[string][]wire.TaskStatus{}
	for i := range machines {
		name := fmt.Sprintf("vm-%06d", i)
		g.bringUp(name)
		j := newTestJob(fmt.Sprintf("job-%d", i+1), 4, 1)
		if i%2 == 0 {
			j.Tasks, j.MemGB = 1, 16
		}
		g.submit(j)
		for _, o := range g.starts() {
			tasks[name] = append(tasks[name], taskIn(o, wire.TaskRunning, ""))
		}
		g.endCommands(CommandExecuted)
	}
	for i := range 30 {
		j := newTestJob(fmt.Sprintf("job-9%05d", i), 10, 2)
		j.MemGB = 4
		g.submit(j)
	}
	g.want("started without room", len(g.starts()), 0)
	before := g.c.placement.index.Looks()
	const reports = 50
	for i := range reports {
		name := fmt.Sprintf("vm-%06d", 1+2*i)
		tasks[name][0].Status, tasks[name][0].ExitReason = wire.TaskEnded, wire.ExitDone
		g.sendHeartbeat(g.heartbeatOf(name, termToken, tasks[name]...))
	}
	return (g.c.placement.index.Looks() - before) / reports
}

// TestWorkPerHeartbeatDoesNotGrow: on a full site every report of an ended task had
// all machines looked at for each waiting job, which took more than a
// controller has.
func TestWorkPerHeartbeatDoesNotGrow(t *testing.T) {
	small, large := heartbeatsProcessedPerReport(t, 128), heartbeatsProcessedPerReport(t, 2048)
	if large > 4*max(small, 10) {
		t.Errorf("a report costs %d looks with 128 machines and %d with 2048", small, large)
	}
}

// TestBeyondTheLimitNothingIsRentedOrKept: tasks that their team's limit bars
// bring no machines, however many jobs they are in, and keep none.
func TestBeyondTheLimitNothingIsRentedOrKept(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t", CPUsMax: 4})
	for i := range 5 {
		g.submit(newTestJob(fmt.Sprintf("job-%d", i+1), 8, 1))
	}
	g.wait(2 * time.Second)
	machines := 0
	for _, h := range g.scaleOuts {
		machines += h.Count
	}
	g.want("hired for 4 cores of 40", machines, 1)

	g.bringUp("vm-1")
	running := []wire.TaskStatus{}
	for _, o := range g.starts() {
		running = append(running, taskIn(o, wire.TaskRunning, ""))
	}
	g.want("started within the limit", len(running), 4)
	g.endCommands(CommandExecuted)
	g.bringUp("vm-2")
	for range 100 {
		g.wait(time.Second)
		g.acknowledge("vm-1", running...)
		g.acknowledge("vm-2")
	}
	returned := map[string]bool{}
	for _, name := range g.deleted {
		returned[name] = true
	}
	g.want("the idle machine returned, the busy one not", fmt.Sprint(returned["vm-2"], returned["vm-1"]), "true false")
}
