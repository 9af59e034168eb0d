package scheduler

import (
	"slices"
	"testing"
	"time"

	"leadproxy/internal/ledger"
)

// TestAttemptsOfATermAreBounded: the counter of attempts overflowed into the term, and numbers
// came twice. The leader resigns in time, and nothing is started beyond the bound.
func TestAttemptsOfATermAreBounded(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	ends := func() bool { return slices.Contains(g.recentEffects, Effect(ResignLeadership{})) }
	g.advance(time.Second)
	g.want("given up at the start", ends(), false)
	g.core.attempts.count = maxAttempts - attemptReserve
	g.advance(time.Second)
	g.want("given up when few are left", ends(), true)

	g.core.attempts.count = maxAttempts - 2
	g.submit(newTestJob("job-1", 4, 1))
	orders := g.startCommands()
	g.want("started with two left", len(orders), 2)
	for _, o := range orders {
		g.want("the term of an attempt", o.Attempt>>termCounterBits, uint64(testTerm))
	}
	g.completeCommands(CommandExecuted)
	g.submit(newTestJob("job-2", 1, 1))
	g.want("started with none left", len(g.startCommands()), 0)
}
