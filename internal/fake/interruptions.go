package fake

import (
	"time"

	"leadproxy/internal/wire"
)

// Interruption is a period in which a task of a job did not run, or ran again to make up for lost
// progress.
type Interruption struct {
	JobID        string
	Began, Ended time.Time
}

// Interruptions derives the interruptions of tasks from their runs, which must be in order of their
// start. An interruption lasts from the end of an incomplete run until the task's next run has made
// up for the progress that was not saved, or until that run ends.
func Interruptions(runs []TaskRun) (interruptions []Interruption) {
	previousRuns := map[string]TaskRun{}
	for _, run := range runs {
		previous, ranBefore := previousRuns[run.Task]
		previousRuns[run.Task] = run
		if !ranBefore {
			continue
		}
		lost := previous.Ended.Sub(previous.Started) + previous.InitialProgress - run.InitialProgress
		end := run.Started.Add(max(0, lost))
		if !run.Ended.IsZero() && run.Ended.Before(end) {
			end = run.Ended
		}
		interruptions = append(interruptions, Interruption{JobID: wire.JobIDOfTask(run.Task), Began: previous.Ended, Ended: end})
	}
	return interruptions
}

// MaxInterruptedJobs returns the largest number of selected jobs that were interrupted at the same
// time.
func MaxInterruptedJobs(interruptions []Interruption, selected func(jobID string) bool) (highest int) {
	for _, interruption := range interruptions {
		jobIDs := map[string]bool{}
		for _, other := range interruptions {
			if selected(other.JobID) && !other.Began.After(interruption.Began) && other.Ended.After(interruption.Began) {
				jobIDs[other.JobID] = true
			}
		}
		highest = max(highest, len(jobIDs))
	}
	return highest
}

// Completions returns the number of times each task completed; tasks that did not have no entry.
func Completions(runs []TaskRun) map[string]int {
	completions := map[string]int{}
	for _, run := range runs {
		if run.Completed {
			completions[run.Task]++
		}
	}
	return completions
}
