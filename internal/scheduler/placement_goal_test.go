package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestGoalFallsAfterABurst: the SLOW-FIT goal keeps the high value of a burst while the machine is
// full, and falls once nothing runs or waits.
func TestGoalFallsAfterABurst(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 4, 1))
	starts := h.startCommands()
	h.completeCommands(CommandExecuted)
	h.core.placement.goal.L = 1 // the level that a burst leaves behind
	sendHeartbeats := func(tasks ...wire.TaskStatus) {
		for range 8 {
			h.advance(time.Second)
			h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, tasks...))
		}
	}
	sendHeartbeats(newTaskStatus(starts[0], wire.TaskRunning, ""), newTaskStatus(starts[1], wire.TaskRunning, ""), newTaskStatus(starts[2], wire.TaskRunning, ""), newTaskStatus(starts[3], wire.TaskRunning, ""))
	h.want("goal while the machine is full", h.core.placement.goal.L, 1.0)
	h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, newTaskStatus(starts[0], wire.TaskEnded, wire.ExitDone), newTaskStatus(starts[1], wire.TaskEnded, wire.ExitDone), newTaskStatus(starts[2], wire.TaskEnded, wire.ExitDone), newTaskStatus(starts[3], wire.TaskEnded, wire.ExitDone)))
	sendHeartbeats()
	h.want("goal is lowered once nothing runs or waits", h.core.placement.goal.L < 1, true)
}
