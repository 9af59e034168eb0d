package rolloutservice

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/rolloutservice/rolloutpb"
)

// TestWriteStatusTables checks that the tables show each plan with at most 20 of the conditions
// that it waits for, and each disrupted job.
func TestWriteStatusTables(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var waits []string
	for i := range 22 {
		waits = append(waits, fmt.Sprintf("reason %d", i))
	}
	list := &rolloutpb.ListReply{
		Plans: []*rolloutpb.Plan{
			{Name: "winter", Phase: "draining", Paused: true, Why: "paused by an operator", Step: 2, Drained: 1, CreatedMs: 940_000, PhaseMs: 998_500, Batch: []string{"vm-1", "vm-2"}, Waits: waits},
			{Name: "summer", Phase: "finished", CreatedMs: 400_000, PhaseMs: 500_000},
		},
		Disrupted: []*rolloutpb.Disrupted{{Ref: "job-1", Team: "florist", Class: "report", Cause: "move", ForMs: 61_400, Tasks: 3}},
	}
	var out bytes.Buffer
	if err := WriteStatusTables(&out, list, now); err != nil {
		t.Fatal(err)
	}
	want := `PLAN    PHASE             FOR    STEP  DRAINED  BATCH      AGE    WHY
winter  draining, paused  2s     2     1        vm-1 vm-2  1m0s   paused by an operator
summer  finished          8m20s  0     0                   10m0s  

winter waits for
` + reasonLines(20) + `  and 2 more

DISRUPTED  TEAM     CLASS   CAUSE  FOR   TASKS TO REGAIN
job-1      florist  report  move   1m1s  3
`
	if out.String() != want {
		t.Errorf("written:\n%s\nwant:\n%s", out.String(), want)
	}
}

// reasonLines returns the lines of the first conditions that the plan waits for.
func reasonLines(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "  reason %d\n", i)
	}
	return text.String()
}
