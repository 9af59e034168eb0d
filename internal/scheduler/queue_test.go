package scheduler

import (
	"math"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

func TestOrderOfTheQueue(t *testing.T) {
	due := func(j *wire.Job, s float64) *wire.Job { j.DeadlineS = &s; return j }
	high := newTestJob("job-3", 1, 4)
	high.Priority = "high"
	g := newHarness(t, ledger.Snapshot{})
	late := due(newTestJob("job-5", 1, 4), 5)
	for _, j := range []*wire.Job{newTestJob("job-1", 1, 4), due(newTestJob("job-2", 1, 4), 500), late, due(newTestJob("job-6", 9, 4), 90), high, due(newTestJob("job-4", 1, 4), 100)} {
		g.submit(j)
	}
	order := func() (jobIDs []string) {
		for _, j := range g.core.placement.sortedQueue() {
			jobIDs = append(jobIDs, j.id)
		}
		return jobIDs
	}
	g.want("order", order(), []string{"job-3", "job-4", "job-2", "job-1", "job-6", "job-5"})
	g.step(CancelRequest{JobID: "job-5", ReplyTo: testRecipient("u")})
	g.want("order once nobody is late", order(), []string{"job-3", "job-6", "job-4", "job-2", "job-1"})
	g.want("slack without a deadline", g.core.jobs.list[0].slack(0) == math.MaxInt64, true)
	// Nobody comes last for ever.
	g.advance(maxStartDelay - 2*time.Second)
	g.submit(newTestJob("job-7", 1, 1))
	g.advance(3 * time.Second)
	g.want("order after four minutes", order(), []string{"job-3", "job-6", "job-4", "job-2", "job-1", "job-7"})
}
