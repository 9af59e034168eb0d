package rollout

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestLoweredBudget: a budget that was lowered below the number of disrupted jobs refuses all
// evictions until these have regained their progress and their window is over.
func TestLoweredBudget(t *testing.T) {
	budgets := Budgets{TeamDefault: Budget{Jobs: 1, Window: time.Minute}}
	disruptions := NewDisruptionTracker(budgets)
	running := func(Group) int { return 10 }
	for _, jobID := range []string{"job-1", "job-2"} {
		disruptions.TaskDisrupted(Job{jobID, "t", "c"}, 0, 10*time.Second, "machine lost", 0)
	}
	for _, jobID := range []string{"job-1", "job-3"} {
		var budget *BudgetError
		if err := disruptions.checkBudgets(Job{jobID, "t", "c"}, running, time.Second); !errors.As(err, &budget) || budget.Limit != 1 || !strings.Contains(err.Error(), "of 1 jobs") {
			t.Errorf("eviction of %s: %v, want a budget of 1", jobID, err)
		}
	}
	disruptions.TaskRunning("job-1", 0, 20*time.Second)
	disruptions.JobFinished("job-2")
	disruptions.Tick(40 * time.Second)
	if disruptions.isDisrupted("job-1") || disruptions.isDisrupted("job-2") || disruptions.disruptedJobs(TeamGroup("t"), 40*time.Second) != 2 {
		t.Errorf("%+v", disruptions.Disruptions(40*time.Second))
	}
	disruptions.Tick(2 * time.Minute)
	if err := disruptions.checkBudgets(Job{"job-3", "t", "c"}, running, 2*time.Minute); err != nil {
		t.Error(err)
	}
}
