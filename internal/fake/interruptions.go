package fake

import (
	"time"

	"leadproxy/internal/wire"
)

// Stop is an interruption: the time during which a task of a job did not run, or ran again to make
// up for lost progress.
type Stop struct {
	Ref         string
	Began, Over time.Time
}

// Stops lists the interruptions of tasks, from the machines' runs alone: each lasts from the end
// of a run that did not complete until the task runs again and has made up for the progress that
// it had not saved.
func Stops(runs []TaskRun) (interruptions []Stop) {
	previousRuns := map[string]TaskRun{}
	for _, run := range runs {
		previous, again := previousRuns[run.Task]
		previousRuns[run.Task] = run
		if !again {
			continue
		}
		lost := previous.Ended.Sub(previous.Began) + previous.InitialProgress - run.InitialProgress
		end := run.Began.Add(max(0, lost))
		if !run.Ended.IsZero() && run.Ended.Before(end) {
			end = run.Ended
		}
		interruptions = append(interruptions, Stop{Ref: wire.JobIDOfTask(run.Task), Began: previous.Ended, Over: end})
	}
	return interruptions
}

// MostStopped is the largest number of a set of jobs that were interrupted at the same time.
func MostStopped(interruptions []Stop, in func(jobID string) bool) (most int) {
	for _, at := range interruptions {
		jobIDs := map[string]bool{}
		for _, other := range interruptions {
			if in(other.Ref) && !other.Began.After(at.Began) && other.Over.After(at.Began) {
				jobIDs[other.Ref] = true
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
