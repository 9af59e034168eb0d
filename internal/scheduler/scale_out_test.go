package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestScaleOutOfAnEarlierLeaderIsRepeatedUnderItsName guards against machines that are rented twice or
// never found after a failover: a scale-out without a result in its record is repeated under its
// request ID, and one with a result is not repeated.
func TestScaleOutOfAnEarlierLeaderIsRepeatedUnderItsName(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{ScaleOuts: []ledger.ScaleOutRecord{
		{Request: wire.ScaleOutRequest{RequestID: "h6-1", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a"}, Count: 2}},
		{Request: wire.ScaleOutRequest{RequestID: "h6-2", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a"}, Count: 1}, Machines: []string{"vm-3"}},
	}})
	if len(h.scaleOuts) != 1 || h.scaleOuts[0].RequestID != "h6-1" {
		t.Fatalf("repeated %v, want h6-1 only", h.scaleOuts)
	}
	h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{ScaleOut: &h.scaleOuts[0]}, Machines: []string{"vm-1", "vm-2"}}})
	h.want("known machines", len(h.core.machines.live), 3)
}

// TestScaleOutIsDurableBeforeItIsSent guards against machines that no later leader knows of: a
// scale-out is sent only when its record, whose ID contains the term, is durable.
func TestScaleOutIsDurableBeforeItIsSent(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.holdWrites = true
	h.submit(newTestJob("job-1", 1, 1))
	h.advance(2 * time.Second)
	h.want("scale-outs before the record is durable", len(h.scaleOuts), 0)
	h.releaseWrites()
	h.want("a scale-out after the record is durable", len(h.scaleOuts) > 0, true)
	for _, scaleOut := range h.scaleOuts {
		if scaleOut.RequestID[:3] != fmt.Sprintf("h%d-", testTerm) {
			t.Errorf("request ID %s does not contain the term", scaleOut.RequestID)
		}
	}
}
