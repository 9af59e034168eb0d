package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
)

// TestGoneMachinesAreRecordedWhileAJobNamesThem guards against a new leader that waits for the lease
// of a machine that was deleted before its term: the ledger records that the machine is gone for as
// long as a job names it as a host.
func TestGoneMachinesAreRecordedWhileAJobNamesThem(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.bringUp("vm-2")
	h.submit(newTestJob("job-1", 2, 4))
	h.completeCommands(CommandExecuted)
	h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{"vm-1"}}}})
	h.want("gone is recorded", h.core.machines.list[0].recorded.gone, true)
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	h.sendHeartbeat(h.newHeartbeat("vm-2", termToken))
	h.advance(time.Second)
	h.want("gone is recorded after the job has ended", h.core.machines.list[0].recorded.gone, false)
}
