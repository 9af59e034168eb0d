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
	o := g.starts()
	g.endCommands(CommandExecuted)
	g.c.placement.goal.L = 1 // as a burst has left it
	tell := func(tasks ...wire.TaskStatus) {
		for range 8 {
			g.wait(time.Second)
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, tasks...))
		}
	}
	tell(taskIn(o[0], wire.TaskRunning, ""), taskIn(o[1], wire.TaskRunning, ""), taskIn(o[2], wire.TaskRunning, ""), taskIn(o[3], wire.TaskRunning, ""))
	g.want("goal while the machine is full", g.c.placement.goal.L, 1.0)
	g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(o[0], wire.TaskEnded, wire.ExitDone), taskIn(o[1], wire.TaskEnded, wire.ExitDone), taskIn(o[2], wire.TaskEnded, wire.ExitDone), taskIn(o[3], wire.TaskEnded, wire.ExitDone)))
	tell()
	g.want("goal once all is quiet", g.c.placement.goal.L < 1, true)
}
