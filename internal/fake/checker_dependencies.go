package fake

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// forEachDependency calls f for all jobs that a job depends on, directly or transitively.
func (c *Checker) forEachDependency(j *checkedJob, f func(jobID string, dependency *checkedJob)) {
	visited := map[string]bool{}
	queue := slices.Clone(j.job.DependsOn)
	for len(queue) > 0 {
		jobID := queue[0]
		queue = queue[1:]
		if dependency := c.jobs[jobID]; dependency != nil && !visited[jobID] {
			visited[jobID] = true
			f(jobID, dependency)
			queue = append(queue, dependency.job.DependsOn...)
		}
	}
}

// dependenciesDone reports whether all dependencies of a job are done.
func (c *Checker) dependenciesDone(j *checkedJob) bool {
	done := true
	c.forEachDependency(j, func(_ string, dependency *checkedJob) {
		done = done && len(dependency.completed) >= dependency.job.Tasks
	})
	return done
}

// cancelledDependency returns the dependency of a job that was first told as cancelled, and when;
// "": there is none.
func (c *Checker) cancelledDependency(j *checkedJob) (first string, since time.Time) {
	c.forEachDependency(j, func(jobID string, dependency *checkedJob) {
		if dependency.terminalStatus == wire.JobCancelled && (first == "" || dependency.terminalAt.Before(since)) {
			first, since = jobID, dependency.terminalAt
		}
	})
	return first, since
}

// handleCancelRequest reports whether a user has requested to cancel a job or one of its
// dependencies.
func (c *Checker) cancelRequested(j *checkedJob) bool {
	requested := !j.cancelRequestedAt.IsZero()
	c.forEachDependency(j, func(_ string, dependency *checkedJob) {
		requested = requested || !dependency.cancelRequestedAt.IsZero()
	})
	return requested
}
