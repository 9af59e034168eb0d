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
	g := newHarness(t, ledger.Snapshot{ScaleOuts: []ledger.ScaleOutRecord{
		{Request: wire.ScaleOutRequest{RequestID: "h6-1", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a"}, Count: 2}},
		{Request: wire.ScaleOutRequest{RequestID: "h6-2", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a"}, Count: 1}, Machines: []string{"vm-3"}},
	}})
	if len(g.scaleOuts) != 1 || g.scaleOuts[0].RequestID != "h6-1" {
		t.Fatalf("repeated %v, want h6-1 only", g.scaleOuts)
	}
	g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{ScaleOut: &g.scaleOuts[0]}, Machines: []string{"vm-1", "vm-2"}}})
	g.want("machines known", len(g.core.machines.live), 3)
}

func TestScaleOutIsDurableBeforeItIsSent(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.holdWrites = true
	g.submit(newTestJob("job-1", 1, 1))
	g.advance(2 * time.Second)
	g.want("hires before", len(g.scaleOuts), 0)
	g.releaseWrites()
	g.want("hires after", len(g.scaleOuts) > 0, true)
	for _, h := range g.scaleOuts {
		if h.RequestID[:3] != fmt.Sprintf("h%d-", testTerm) {
			t.Errorf("the name %s does not embed the term", h.RequestID)
		}
	}
}
