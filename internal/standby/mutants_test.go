//go:build mutants

package standby

import (
	"testing"

	"leadproxy/internal/property"
)

// mutants lists mutants that each disable one safety check of the replica or the gate.
// docs/design-standby.md has the command that runs them. Two checks have no mutant, because either is
// sufficient without the other: that a replica which is still being read is not used, and that the
// gate checks the replica's consistency.
var mutants = []property.Mutant{
	{Name: "the replica may be older than the term", File: "gate.go", From: "if revision < g.term || !consistent {", To: "if !consistent {"},
	{Name: "a term acts on the replica before it is confirmed", File: "gate.go", From: "g.state, g.term, g.wonAt = Confirming, term, now", To: "g.state, g.term, g.wonAt = Active, term, now\n	defer func() { g.ReplicaComplete.Met, g.EarlierWritesFenced.Met = true, true }()"},
	{Name: "the replica is consistent at any revision", File: "replica.go", From: "return r.revision >= r.consistentFrom", To: "return true"},
	{Name: "missing changes are not detected", File: "replica.go", From: "if after > r.revision {", To: "if false {"},
	{Name: "deletions are not applied", File: "replica.go", From: "			r.remove(key)\n		} else {", To: "		} else {"},
	{Name: "changes are applied in any order", File: "replica.go", From: "slices.SortStableFunc(events,", To: "slices.Reverse(events)\n	_ = slices.SortedFunc(slices.Values(events),"},
	{Name: "changes of other prefixes are applied", File: "replica.go", From: "|| !r.hasPrefix(key) ", To: ""},
	{Name: "changes during a listing are skipped", File: "replica.go", From: "map[string]wire.Entry{}, 0, firstRevision, lastRevision", To: "map[string]wire.Entry{}, 0, lastRevision, lastRevision"},
}

// TestMutantsAreCaught checks that the tests of the standby's model fail for each mutant.
func TestMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "^TestStandby", mutants, "-rapid.checks=40000", "-rapid.steps=80", "-rapid.nofailfile")
}
