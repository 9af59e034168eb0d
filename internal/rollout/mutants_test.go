//go:build mutants

package rollout

import (
	"testing"

	"leadproxy/internal/property"
)

// mutants lists faults, each of which removes one check of the disruption tracker or the
// controller. docs/design-rollouts.md has the command that runs them.
var mutants = []property.Mutant{
	{Name: "budgets are not checked", File: "disruptions.go", From: "if disrupted >= limit {", To: "if false {"},
	{Name: "classes have no budget", File: "budgets.go", From: "{TeamGroup(j.Team), ClassGroup(j.Class)}", To: "{TeamGroup(j.Team)}"},
	{Name: "disruptions end before the lost progress is regained", File: "disruptions.go", From: "now-task.runningSince >= task.lostProgress", To: "true"},
	{Name: "evictions are not tracked", File: "evictions.go", From: "	c.disruptions.TaskDisrupted(t.Job, t.Index, t.LostProgress, CauseEviction, v.Now)\n	c.record.Evictions", To: "	c.record.Evictions"},
	{Name: "recorded evictions are not tracked again", File: "evictions.go", From: "			c.disruptions.TaskDisrupted(t.Job, t.Index, t.LostProgress, CauseEviction, v.Now)\n			actions", To: "			actions"},
	{Name: "a new leader does not track earlier evictions", File: "controller.go", From: "for _, eviction := range record.Evictions {\n		ago", To: "for _, eviction := range record.Evictions[:0] {\n		ago"},
	{Name: "tasks that finished before a failover stay disrupted", File: "controller.go", From: "if isDone(eviction.JobID, eviction.Task) {", To: "if false {"},
	{Name: "actions are returned before the record is durable", File: "controller.go", From: "	if !c.IsDurable() {\n		return nil\n	}\n	return actions", To: "	return actions"},
	{Name: "machines that are not empty are returned", File: "phases.go", From: "case m.Empty:", To: "case true:"},
	{Name: "machines are not cordoned", File: "controller.go", From: "return (c.record.Phase == PhaseDraining", To: "return false && (c.record.Phase == PhaseDraining"},
	{Name: "a step ends when one machine is drained", File: "phases.go", From: "if drained < len(v.Batch) {", To: "if drained < 1 {"},
	{Name: "resume does not end a pause", File: "commands.go", From: "c.record.Paused, c.record.Reason = false, \"\"", To: "c.record.Reason = \"\""},
}

// TestMutantsAreCaught checks that the model test fails with each mutant.
func TestMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "^TestRollouts", mutants, "-rapid.checks=20000", "-rapid.steps=80", "-rapid.nofailfile", "-rapid.shrinktime=1s")
}
