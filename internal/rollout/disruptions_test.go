package rollout

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestLoweredBudget: if a budget is lowered below the number of disrupted jobs, it refuses all
// evictions until these jobs have regained their progress and the window has passed.
func TestLoweredBudget(t *testing.T) {
	budgets := Budgets{TeamDefault: Budget{Jobs: 1, Window: time.Minute}}
	tracker := NewDisruptionTracker(budgets)
	running := func(Group) int { return 10 }
	for _, jobID := range []string{"job-1", "job-2"} {
		tracker.TaskDisrupted(Job{jobID, "t", "c"}, 0, 10*time.Second, "machine lost", 0)
	}
	for _, jobID := range []string{"job-1", "job-3"} {
		var budget *BudgetError
		if err := tracker.checkBudgets(Job{jobID, "t", "c"}, running, time.Second); !errors.As(err, &budget) || budget.Limit != 1 || !strings.Contains(err.Error(), "of 1 jobs") {
			t.Errorf("eviction of %s: %v, want a budget of 1", jobID, err)
		}
	}
	tracker.TaskRunning("job-1", 0, 20*time.Second)
	tracker.JobFinished("job-2")
	tracker.Tick(40 * time.Second)
	if tracker.isDisrupted("job-1") || tracker.isDisrupted("job-2") || tracker.disruptedJobs(TeamGroup("t"), 40*time.Second) != 2 {
		t.Errorf("disruptions after 40 s: %+v, want 2 that have ended and still count", tracker.Disruptions(40*time.Second))
	}
	tracker.Tick(2 * time.Minute)
	if err := tracker.checkBudgets(Job{"job-3", "t", "c"}, running, 2*time.Minute); err != nil {
		t.Error(err)
	}
}
