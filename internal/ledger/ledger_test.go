package ledger

import (
	"errors"
	"testing"
	"testing/synctest"
)

// TestRunReturnsErrLeadershipLost runs a ledger while the leader key belongs to another term.
func TestRunReturnsErrLeadershipLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(testTerm + 1)
		l := newTestLedger(store, Limits{MaxChanges: 4, TransactionBytes: 1 << 14})
		go l.Put(t.Context(), []Write{{Key: "a", Value: 1}})
		if err := l.Run(t.Context()); !errors.Is(err, ErrLeadershipLost) {
			t.Errorf("Run returned %v, want ErrLeadershipLost", err)
		}
	})
}
