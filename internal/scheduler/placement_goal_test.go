package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

func TestGoalFallsAfterABurst(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.submit(newTestJob("job-1", 4, 1))
	o := g.startCommands()
	g.completeCommands(CommandExecuted)
	g.core.placement.goal.L = 1 // as a burst has left it
	tell := func(tasks ...wire.TaskStatus) {
		for range 8 {
			g.advance(time.Second)
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, tasks...))
		}
	}
	tell(newTaskStatus(o[0], wire.TaskRunning, ""), newTaskStatus(o[1], wire.TaskRunning, ""), newTaskStatus(o[2], wire.TaskRunning, ""), newTaskStatus(o[3], wire.TaskRunning, ""))
	g.want("goal while the machine is full", g.core.placement.goal.L, 1.0)
	g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(o[0], wire.TaskEnded, wire.ExitDone), newTaskStatus(o[1], wire.TaskEnded, wire.ExitDone), newTaskStatus(o[2], wire.TaskEnded, wire.ExitDone), newTaskStatus(o[3], wire.TaskEnded, wire.ExitDone)))
	tell()
	g.want("goal once all is quiet", g.core.placement.goal.L < 1, true)
}
