package scheduler

import (
	"fmt"
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// indexVisitsPerHeartbeat fills a cell, half of whose machines are short of cores and half of memory,
// queues jobs that need some of both, and sends heartbeats with an ended task. It returns the
// average number of index nodes visited per heartbeat.
func indexVisitsPerHeartbeat(t *testing.T, machines int) int {
	h := newHarness(t, ledger.Snapshot{})
	tasks := map[string][]wire.TaskStatus{}
	for i := range machines {
		name := fmt.Sprintf("vm-%06d", i)
		h.bringUp(name)
		j := newTestJob(fmt.Sprintf("job-%d", i+1), 4, 1)
		if i%2 == 0 {
			j.Tasks, j.MemGB = 1, 16
		}
		h.submit(j)
		for _, command := range h.startCommands() {
			tasks[name] = append(tasks[name], newTaskStatus(command, wire.TaskRunning, ""))
		}
		h.completeCommands(CommandExecuted)
	}
	for i := range 30 {
		j := newTestJob(fmt.Sprintf("job-9%05d", i), 10, 2)
		j.MemGB = 4
		h.submit(j)
	}
	h.want("starts without free resources", len(h.startCommands()), 0)
	before := h.core.placement.index.NodesVisited()
	const heartbeats = 50
	for i := range heartbeats {
		name := fmt.Sprintf("vm-%06d", 1+2*i)
		tasks[name][0].Status, tasks[name][0].ExitReason = wire.TaskEnded, wire.ExitDone
		h.sendHeartbeat(h.newHeartbeat(name, termToken, tasks[name]...))
	}
	return (h.core.placement.index.NodesVisited() - before) / heartbeats
}

// TestWorkPerHeartbeatDoesNotGrow guards against a leader that is overloaded in a large cell: in a full
// cell, every heartbeat with an ended task caused a scan of all machines for each waiting job, which
// took more CPU time than a controller has.
func TestWorkPerHeartbeatDoesNotGrow(t *testing.T) {
	small, large := indexVisitsPerHeartbeat(t, 128), indexVisitsPerHeartbeat(t, 2048)
	if large > 4*max(small, 10) {
		t.Errorf("a heartbeat visits %d index nodes with 128 machines and %d with 2048, want at most 4 times as many, or at most 40", small, large)
	}
}
