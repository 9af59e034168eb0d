package fake

import (
	"time"

	"leadproxy/internal/wire"
)

// Stop is from when to when a job missed a task, or its progress.
type Stop struct {
	Ref         string
	Began, Over time.Time
}

// Stops lists what tasks missed, from the machines' runs alone: from the end of a run that
// did not complete until the task runs again and has made up for what it had and did not
// save.
func Stops(runs []Run) (stops []Stop) {
	last := map[string]Run{}
	for _, r := range runs {
		ref := wire.JobIDOfTask(r.Task)
		before, again := last[r.Task]
		last[r.Task] = r
		if !again {
			continue
		}
		lost := before.Ended.Sub(before.Began) + before.Saved - r.Saved
		over := r.Began.Add(max(0, lost))
		if !r.Ended.IsZero() && r.Ended.Before(over) {
			over = r.Ended
		}
		stops = append(stops, Stop{ref, before.Ended, over})
	}
	return stops
}

// MostStopped is how many jobs of some were stopped at the same time at most.
func MostStopped(stops []Stop, in func(ref string) bool) (most int) {
	for _, at := range stops {
		refs := map[string]bool{}
		for _, s := range stops {
			if in(s.Ref) && !s.Began.After(at.Began) && s.Over.After(at.Began) {
				refs[s.Ref] = true
			}
		}
		most = max(most, len(refs))
	}
	return most
}

// Completions counts by task how often it completed.
func Completions(runs []Run) map[string]int {
	completed := map[string]int{}
	for _, r := range runs {
		if r.Completed {
			completed[r.Task]++
		}
	}
	return completed
}
