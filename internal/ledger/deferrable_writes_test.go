package ledger

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestDeferrableWritesDoNotDelayUrgentWrites: while finished tasks are written
// without end, an urgent write goes at once and the store's rate is not used up.
func TestDeferrableWritesDoNotDelayUrgentWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(testTerm)
		f.lock = make(chan struct{}, 1)
		written := func() (all int, urgent bool) {
			defer f.acquire()()
			return len(f.values), f.values["job/j"] != ""
		}
		l := newTestLedger(f, Limits{MaxChanges: 40, TransactionBytes: 1 << 14, DeferrableRate: 10})
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
		began := time.Now()
		for i := range 200 {
			l.Put(ctx, []Write{{Key: fmt.Sprintf("fin/%d", i), Value: i}})
		}
		l.Put(ctx, []Write{{Key: "job/j", Value: "over", Urgent: true}})
		synctest.Wait()
		if _, urgent := written(); !urgent || time.Since(began) > 0 {
			t.Errorf("the urgent write is not carried out after %v", time.Since(began))
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if n, _ := written(); n < 45 || n > 60 {
			t.Errorf("%d writes in five seconds, want about 50", n)
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		if n, _ := written(); n != 201 {
			t.Errorf("%d writes in the end, want all 201", n)
		}
	})
}
