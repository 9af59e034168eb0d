package fake

import (
	"time"

	"leadproxy/internal/wire"
)

// Interruption is an interruption: the time during which a task of a job did not run, or ran again to make
// up for lost progress.
type Interruption struct {
	JobID        string
	Began, Ended time.Time
}

// Interruptions lists the interruptions of tasks, from the machines' runs alone: each lasts from the end
// of a run that did not complete until the task runs again and has made up for the progress that
// it had not saved.
func Interruptions(runs []TaskRun) (interruptions []Interruption) {
	previousRuns := map[string]TaskRun{}
	for _, run := range runs {
		previous, again := previousRuns[run.Task]
		previousRuns[run.Task] = run
		if !again {
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

// MaxInterruptedJobs is the largest number of a set of jobs that were interrupted at the same time.
func MaxInterruptedJobs(interruptions []Interruption, in func(jobID string) bool) (most int) {
	for _, at := range interruptions {
		jobIDs := map[string]bool{}
		for _, other := range interruptions {
			if in(other.JobID) && !other.Began.After(at.Began) && other.Ended.After(at.Began) {
				jobIDs[other.JobID] = true
			}
		}
		most = max(most, len(jobIDs))
	}
	return most
}

// Completions counts how often each task completed.
func Completions(runs []TaskRun) map[string]int {
	completions := map[string]int{}
	for _, run := range runs {
		if run.Completed {
			completions[run.Task]++
		}
	}
	return completions
}
