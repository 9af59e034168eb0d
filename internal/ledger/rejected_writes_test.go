package ledger

import (
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLoweredLimitsRejectLargeValues: when the limits fall, what is too large by then is handed
// back to be written in smaller pieces, and holds up nothing else.
func TestLoweredLimitsRejectLargeValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(testTerm)
		f.outcomes = string(outcomeLimitsLowered)
		limits := make(chan Limits, 1)
		limits <- Limits{MaxChanges: 9, TransactionBytes: 1 << 14, ValueBytes: 100}
		l := New(testTerm, f, func() Limits {
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
			t.Errorf("handed back: %v", tags)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if len(f.values) != 2 || f.values["b"] != "" {
			t.Errorf("written: %v", f.values)
		}
	})
}

// TestRejectedWriteDoesNotBlockOthers: one of several writes is malformed to the store.
func TestRejectedWriteDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(testTerm)
		f.outcomes, f.rejectedKey = string(outcomeInvalidRequest), "b"
		l := newTestLedger(f, testLimits)
		ctx, cancel := startLedger(t, l)
		defer cancel()
		l.Put(ctx, []Write{{Key: "a", Value: 1, Urgent: true}, {Key: "b", Value: 2, Urgent: true}, {Key: "c", Value: 3}})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if f.values["a"] != "1" || f.values["c"] != "3" {
			t.Errorf("written: %v", f.values)
		}
		cancel()
	})
}
