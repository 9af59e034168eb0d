package scheduler

import (
	"math/rand/v2"
	"testing"
)

// TestStartsKeepToConstraints guards against a start on a machine that its job does not allow: types,
// zone, spot, gang, spread, team limit and machines to avoid, whatever the leader knew when it chose
// the machine.
func TestStartsKeepToConstraints(t *testing.T) {
	starts, reservations := 0, 0
	for seed := range uint64(200) {
		r := newConstraintHistory(t, rand.New(rand.NewPCG(seed, 55)))
		for range 120 {
			r.performRandomAction()
			r.reserved = r.reserved || len(r.harness.core.placement.reservingJobs) > 0
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		starts += r.starts
		if r.reserved {
			reservations++
		}
	}
	if starts < 3000 || reservations < 50 {
		t.Errorf("%d starts, and reservations in %d runs: the model shows little", starts, reservations)
	}
}
