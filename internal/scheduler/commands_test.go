package scheduler

import "testing"

// TestStartsAreRuledOutByTokens: a start of unknown outcome stays unresolved until the agent has
// acknowledged the token that rules it out.
func TestStartsAreRuledOutByTokens(t *testing.T) {
	m := machineCommands{unresolvedStarts: map[uint64]uint64{1: 8, 2: 9}}
	m.resolveUpToToken(8)
	if _, left := m.unresolvedStarts[1]; left || len(m.unresolvedStarts) != 1 {
		t.Errorf("unresolved after token 8: %v, want attempt 2 only", m.unresolvedStarts)
	}
	m.resolveAllOnToken(12)
	m.resolveUpToToken(11)
	if len(m.unresolvedStarts) != 1 {
		t.Error("a start is resolved before the token that rules it out")
	}
	m.resolveAllStarts()
	if len(m.unresolvedStarts) != 0 {
		t.Errorf("unresolved after resolveAllStarts: %v, want none", m.unresolvedStarts)
	}
}
