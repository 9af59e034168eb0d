//go:build mutants

package rollout

import (
	"testing"

	"leadproxy/internal/property"
)

// mutants each take one guard of the account or the rollout out. docs/design-rollouts.md has
// the command.
var mutants = []property.Mutant{
	{Name: "budgets are not looked at", File: "disruptions.go", From: "if used >= limit {", To: "if false {"},
	{Name: "classes have no budget", File: "disruptions.go", From: "{TeamGroup(j.Team), ClassGroup(j.Class)}", To: "{TeamGroup(j.Team)}"},
	{Name: "progress need not be regained", File: "disruptions.go", From: "now-t.since >= t.lost", To: "true"},
	{Name: "moves are not charged", File: "rollout.go", From: "	r.account.Lose(t.Job, t.Index, t.Lost, Move, v.Now)\n	r.record.Moves", To: "	r.record.Moves"},
	{Name: "moves are not charged anew", File: "rollout.go", From: "			r.account.Lose(t.Job, t.Index, t.Lost, Move, v.Now)\n			acts", To: "			acts"},
	{Name: "a new leader forgets moves", File: "rollout.go", From: "for _, m := range r.Moves {\n		ago", To: "for _, m := range r.Moves[:0] {\n		ago"},
	{Name: "nobody tells of tasks that have ended", File: "rollout.go", From: "if done(m.Ref, m.Task) {", To: "if false {"},
	{Name: "acts come before the record", File: "rollout.go", From: "	if !r.Durable() {\n		return nil\n	}\n	return acts", To: "	return acts"},
	{Name: "machines that are not empty are returned", File: "rollout.go", From: "case m.Empty:", To: "case true:"},
	{Name: "machines are not cordoned", File: "rollout.go", From: "return (r.record.Phase == Draining", To: "return false && (r.record.Phase == Draining"},
	{Name: "a step is over when one machine is gone", File: "rollout.go", From: "if gone < len(v.Batch) {", To: "if gone < 1 {"},
	{Name: "a pause does not end", File: "steer.go", From: "r.record.Paused, r.record.Why = false, \"\"", To: "r.record.Why = \"\""},
}

// TestMutantsAreCaught runs the model against each of them.
func TestMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "^TestRollouts", mutants, "-rapid.checks=20000", "-rapid.steps=80", "-rapid.nofailfile", "-rapid.shrinktime=1s")
}
