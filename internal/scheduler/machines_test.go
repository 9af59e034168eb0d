package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
)

func TestGoneMachinesAreRecordedWhileAJobNamesThem(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.bringUp("vm-2")
	g.submit(newTestJob("job-1", 2, 4))
	g.endCommands(CommandExecuted)
	g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
	g.want("noted", g.c.machines.list[0].recorded.gone, true)
	g.step(CancelRequest{JobID: "job-1", ReplyTo: recipient("u")})
	g.sendHeartbeat(g.heartbeatOf("vm-2", termToken))
	g.wait(time.Second)
	g.want("noted after the job is over", g.c.machines.list[0].recorded.gone, false)
}
