//go:build mutants

package standby

import (
	"testing"

	"leadproxy/internal/property"
)

// mutants each remove one guard of the replica or the gate. docs/design-standby.md has the
// command. Two guards are not among them since either is enough: that a replica which is still
// being read is not used, and that the gate checks its consistency.
var mutants = []property.Mutant{
	{Name: "the replica need not be as new as the term", File: "gate.go", From: "if revision < g.term || !consistent {", To: "if !consistent {"},
	{Name: "a term acts as soon as it is won", File: "gate.go", From: "g.state, g.term, g.wonAt = Confirming, term, now", To: "g.state, g.term, g.wonAt = Active, term, now\n	defer func() { g.ReplicaComplete.Met, g.EarlierWritesFenced.Met = true, true }()"},
	{Name: "any revision is consistent", File: "replica.go", From: "return r.revision >= r.consistentFrom", To: "return true"},
	{Name: "missing changes are ignored", File: "replica.go", From: "if after > r.revision {", To: "if false {"},
	{Name: "deleted keys stay", File: "replica.go", From: "			r.remove(key)\n		} else {", To: "		} else {"},
	{Name: "changes are applied in any order", File: "replica.go", From: "slices.SortStableFunc(events,", To: "slices.Reverse(events)\n	_ = slices.SortedFunc(slices.Values(events),"},
	{Name: "keys of other prefixes are taken in", File: "replica.go", From: "|| !r.hasPrefix(key) ", To: ""},
	{Name: "a listing begins where it ended", File: "replica.go", From: "map[string]wire.Entry{}, 0, began, ended", To: "map[string]wire.Entry{}, 0, ended, ended"},
}

// TestMutantsAreCaught runs the standby's model against each of them.
func TestMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "^TestStandby", mutants, "-rapid.checks=40000", "-rapid.steps=80", "-rapid.nofailfile")
}
