package ledger

import (
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLoweredLimitsRejectLargeValues checks that, when the store's limits are lowered, the tags of
// values that are now too large are returned as rejected, so that the caller can write them in
// smaller parts, and that other writes are not blocked.
func TestLoweredLimitsRejectLargeValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(testTerm)
		store.outcomes = string(outcomeLimitsLowered)
		limits := make(chan Limits, 1)
		limits <- Limits{MaxChanges: 9, TransactionBytes: 1 << 14, ValueBytes: 100}
		l := New(testTerm, store, func() Limits {
			current := <-limits
			defer func() { limits <- current }()
			return current
		}, discardLogger())
		ctx, cancel := startLedger(t, l)
		defer cancel()
		l.Put(ctx, []Write{{Key: "a", Value: "small", Tag: numberTag(1)}, {Key: "b", Value: strings.Repeat("x", 50), Tag: numberTag(2)}, {Key: "c", Value: "small", Tag: numberTag(3)}})
		synctest.Wait()
		<-limits
		limits <- Limits{MaxChanges: 1, TransactionBytes: 1 << 14, ValueBytes: 20}
		if tags := <-l.Rejected; !reflect.DeepEqual(tags, []Tag{numberTag(2)}) {
			t.Errorf("rejected tags %v, want only tag 2", tags)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if len(store.values) != 2 || store.values["b"] != "" {
			t.Errorf("store has %v, want values of a and c only", store.values)
		}
	})
}

// TestRejectedWriteDoesNotBlockOthers checks that, when the store rejects a transaction because of
// one of its writes, the others are written nevertheless.
func TestRejectedWriteDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(testTerm)
		store.outcomes, store.rejectedKey = string(outcomeInvalidRequest), "b"
		l := newTestLedger(store, testLimits)
		ctx, cancel := startLedger(t, l)
		defer cancel()
		l.Put(ctx, []Write{{Key: "a", Value: 1, Urgent: true}, {Key: "b", Value: 2, Urgent: true}, {Key: "c", Value: 3}})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if store.values["a"] != "1" || store.values["c"] != "3" {
			t.Errorf("store has %v, want a and c written", store.values)
		}
		cancel()
	})
}
