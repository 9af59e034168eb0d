package ledger

import (
	"errors"
	"testing"
	"testing/synctest"
)

func TestRunReturnsErrLeadershipLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(testTerm + 1)
		l := newTestLedger(f, Limits{MaxChanges: 4, TransactionBytes: 1 << 14})
		go l.Put(t.Context(), []Write{{Key: "a", Value: 1}})
		if err := l.Run(t.Context()); !errors.Is(err, ErrLeadershipLost) {
			t.Errorf("ended with %v", err)
		}
	})
}
