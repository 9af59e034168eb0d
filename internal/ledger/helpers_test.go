package ledger

import (
	"context"
	"io"
	"log/slog"
	"testing"
)

// testTerm is the term of the tests' ledgers.
const testTerm = 5

// testLimits leave room for everything in a test.
var testLimits = Limits{MaxChanges: 9, TransactionBytes: 1 << 14}

// numberTag tags a write of a test.
type numberTag int

// IsTag marks it.
func (numberTag) IsTag() {}

// constantLimits are limits that never change.
func constantLimits(limits Limits) func() Limits { return func() Limits { return limits } }

// newTestLedger is a ledger of testTerm that logs nothing.
func newTestLedger(store Store, limits Limits) *Ledger {
	return New(testTerm, store, constantLimits(limits), discardLogger())
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startLedger runs a ledger until the test ends. The result ends it sooner.
func startLedger(t *testing.T, l *Ledger) (context.Context, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = l.Run(ctx) }()
	return ctx, cancel
}
