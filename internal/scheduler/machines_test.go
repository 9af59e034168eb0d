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
	g.completeCommands(CommandExecuted)
	g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
	g.want("noted", g.core.machines.list[0].recorded.gone, true)
	g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	g.sendHeartbeat(g.newHeartbeat("vm-2", termToken))
	g.advance(time.Second)
	g.want("noted after the job is over", g.core.machines.list[0].recorded.gone, false)
}
