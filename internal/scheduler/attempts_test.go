package scheduler

import (
	"slices"
	"testing"
	"time"

	"leadproxy/internal/ledger"
)

// TestAttemptsOfATermAreBounded guards against attempt numbers that are assigned twice because the
// counter overflows into the term. The leader resigns before that, and starts nothing beyond the
// bound.
func TestAttemptsOfATermAreBounded(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	resigned := func() bool { return slices.Contains(h.recentEffects, Effect(ResignLeadership{})) }
	h.advance(time.Second)
	h.want("resigned at the start", resigned(), false)
	h.core.attempts.count = maxAttempts - attemptReserve
	h.advance(time.Second)
	h.want("resigned with attemptReserve numbers left", resigned(), true)

	h.core.attempts.count = maxAttempts - 2
	h.submit(newTestJob("job-1", 4, 1))
	starts := h.startCommands()
	h.want("starts with two numbers left", len(starts), 2)
	for _, start := range starts {
		h.want("term of an attempt", start.Attempt>>termCounterBits, uint64(testTerm))
	}
	h.completeCommands(CommandExecuted)
	h.submit(newTestJob("job-2", 1, 1))
	h.want("starts with no numbers left", len(h.startCommands()), 0)
}
