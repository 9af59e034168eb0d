package ledger

import (
	"context"
	"io"
	"log/slog"
	"testing"
)

// testTerm is the term of the tests' ledgers.
const testTerm = 5

// testLimits are never reached in the tests that use them.
var testLimits = Limits{MaxChanges: 9, TransactionBytes: 1 << 14}

// numberTag is the tag of a write in tests.
type numberTag int

// IsTag implements Tag.
func (numberTag) IsTag() {}

// constantLimits returns a function that always returns the same limits.
func constantLimits(limits Limits) func() Limits { return func() Limits { return limits } }

// newTestLedger returns a ledger of testTerm that discards its log.
func newTestLedger(store Store, limits Limits) *Ledger {
	return New(testTerm, store, constantLimits(limits), discardLogger())
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startLedger runs a ledger in the background until the test ends or the returned function is
// called. The returned context ends with it.
func startLedger(t *testing.T, l *Ledger) (context.Context, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = l.Run(ctx) }()
	return ctx, cancel
}
