package rolloutservice

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"leadproxy/internal/rolloutservice/rolloutpb"
)

// maxWaitReasons bounds how many of the conditions that a plan waits for are shown.
const maxWaitReasons = 20

// WriteStatusTables writes tables of all plans, of the conditions that they wait for, and of the
// jobs that count as disrupted. Ages are relative to now.
func WriteStatusTables(out io.Writer, list *rolloutpb.ListReply, now time.Time) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writePlans(w, list.Plans, now)
	for _, plan := range list.Plans {
		writeWaitReasons(w, plan)
	}
	writeDisruptions(w, list.Disrupted)
	return w.Flush()
}

func writePlans(w io.Writer, plans []*rolloutpb.Plan, now time.Time) {
	age := func(ms int64) time.Duration { return now.Sub(time.UnixMilli(ms)).Round(time.Second) }
	fmt.Fprintln(w, "PLAN\tPHASE\tFOR\tSTEP\tDRAINED\tBATCH\tAGE\tWHY")
	for _, plan := range plans {
		phase := plan.Phase
		if plan.Paused {
			phase += ", paused"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", plan.Name, phase, age(plan.PhaseMs), plan.Step, plan.Drained, strings.Join(plan.Batch, " "), age(plan.CreatedMs), plan.Why)
	}
}

func writeWaitReasons(w io.Writer, plan *rolloutpb.Plan) {
	if len(plan.Waits) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s waits for\n", plan.Name)
	for i, reason := range plan.Waits {
		if i == maxWaitReasons {
			fmt.Fprintf(w, "  and %d more\n", len(plan.Waits)-maxWaitReasons)
			return
		}
		fmt.Fprintf(w, "  %s\n", reason)
	}
}

func writeDisruptions(w io.Writer, disruptions []*rolloutpb.Disrupted) {
	fmt.Fprintln(w, "\nDISRUPTED\tTEAM\tCLASS\tCAUSE\tFOR\tTASKS TO REGAIN")
	for _, d := range disruptions {
		duration := (time.Duration(d.ForMs) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", d.Ref, d.Team, d.Class, d.Cause, duration, d.Tasks)
	}
}
