package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

func TestScaleOutOfAnEarlierLeaderIsRepeatedUnderItsName(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{ScaleOuts: []ledger.ScaleOutRecord{
		{Request: wire.ScaleOutRequest{RequestID: "h6-1", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a"}, Count: 2}},
		{Request: wire.ScaleOutRequest{RequestID: "h6-2", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a"}, Count: 1}, Machines: []string{"vm-3"}},
	}})
	if len(h.scaleOuts) != 1 || h.scaleOuts[0].RequestID != "h6-1" {
		t.Fatalf("repeated %v, want h6-1 only", h.scaleOuts)
	}
	h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{ScaleOut: &h.scaleOuts[0]}, Machines: []string{"vm-1", "vm-2"}}})
	h.want("machines known", len(h.core.machines.live), 3)
}

func TestScaleOutIsDurableBeforeItIsSent(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.holdWrites = true
	h.submit(newTestJob("job-1", 1, 1))
	h.advance(2 * time.Second)
	h.want("hires before", len(h.scaleOuts), 0)
	h.releaseWrites()
	h.want("hires after", len(h.scaleOuts) > 0, true)
	for _, h := range h.scaleOuts {
		if h.RequestID[:3] != fmt.Sprintf("h%d-", testTerm) {
			t.Errorf("the name %s does not embed the term", h.RequestID)
		}
	}
}
