package ledger

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestDeferrableWritesDoNotDelayUrgentWrites checks that a backlog of deferrable writes, such as of
// finished tasks under load, neither delays an urgent write nor exceeds DeferrableRate, and that
// all of it is written in the end.
func TestDeferrableWritesDoNotDelayUrgentWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(testTerm)
		store.lock = make(chan struct{}, 1)
		written := func() (all int, urgent bool) {
			defer store.acquire()()
			return len(store.values), store.values["job/j"] != ""
		}
		l := newTestLedger(store, Limits{MaxChanges: 40, TransactionBytes: 1 << 14, DeferrableRate: 10})
		ctx, cancel := startLedger(t, l)
		defer cancel()
		go func() {
			for {
				select {
				case <-l.Durable:
				case <-ctx.Done():
					return
				}
			}
		}()
		start := time.Now()
		for i := range 200 {
			l.Put(ctx, []Write{{Key: fmt.Sprintf("fin/%d", i), Value: i}})
		}
		l.Put(ctx, []Write{{Key: "job/j", Value: "over", Urgent: true}})
		synctest.Wait()
		if _, urgent := written(); !urgent || time.Since(start) > 0 {
			t.Errorf("the urgent write is not written after %v, want it written immediately", time.Since(start))
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if count, _ := written(); count < 45 || count > 60 {
			t.Errorf("%d writes in five seconds, want about 50", count)
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		if count, _ := written(); count != 201 {
			t.Errorf("%d writes in the end, want all 201", count)
		}
	})
}
