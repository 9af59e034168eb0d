package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
)

func TestGoneMachinesAreRecordedWhileAJobNamesThem(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.bringUp("vm-2")
	h.submit(newTestJob("job-1", 2, 4))
	h.completeCommands(CommandExecuted)
	h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
	h.want("noted", h.core.machines.list[0].recorded.gone, true)
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	h.sendHeartbeat(h.newHeartbeat("vm-2", termToken))
	h.advance(time.Second)
	h.want("noted after the job is over", h.core.machines.list[0].recorded.gone, false)
}
