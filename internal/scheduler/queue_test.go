package scheduler

import (
	"math"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestOrderOfTheQueue: jobs are sorted by priority class, age and slack, and by the least work first
// only while some job of the class is late.
func TestOrderOfTheQueue(t *testing.T) {
	withDeadline := func(j *wire.Job, seconds float64) *wire.Job { j.DeadlineS = &seconds; return j }
	high := newTestJob("job-3", 1, 4)
	high.Priority = "high"
	h := newHarness(t, ledger.Snapshot{})
	late := withDeadline(newTestJob("job-5", 1, 4), 5)
	for _, j := range []*wire.Job{newTestJob("job-1", 1, 4), withDeadline(newTestJob("job-2", 1, 4), 500), late, withDeadline(newTestJob("job-6", 9, 4), 90), high, withDeadline(newTestJob("job-4", 1, 4), 100)} {
		h.submit(j)
	}
	order := func() (jobIDs []string) {
		for _, j := range h.core.placement.sortedQueue() {
			jobIDs = append(jobIDs, j.id)
		}
		return jobIDs
	}
	h.want("order", order(), []string{"job-3", "job-4", "job-2", "job-1", "job-6", "job-5"})
	h.step(CancelRequest{JobID: "job-5", ReplyTo: testRecipient("u")})
	h.want("order once no job is late", order(), []string{"job-3", "job-6", "job-4", "job-2", "job-1"})
	h.want("slack without a deadline", h.core.jobs.list[0].slack(0) == math.MaxInt64, true)
	// No job stays last forever: after maxStartDelay age decides.
	h.advance(maxStartDelay - 2*time.Second)
	h.submit(newTestJob("job-7", 1, 1))
	h.advance(3 * time.Second)
	h.want("order after maxStartDelay", order(), []string{"job-3", "job-6", "job-4", "job-2", "job-1", "job-7"})
}
