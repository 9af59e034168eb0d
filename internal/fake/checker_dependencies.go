package fake

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// forEachDependency calls f once for each submitted job that j depends on, directly or
// transitively.
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

// dependenciesDone reports whether all tasks of all dependencies of a job have completed.
func (c *Checker) dependenciesDone(j *checkedJob) bool {
	done := true
	c.forEachDependency(j, func(_ string, dependency *checkedJob) {
		done = done && len(dependency.completed) >= dependency.job.Tasks
	})
	return done
}

// cancelledDependency returns the dependency of a job whose cancellation was confirmed first, and
// when; "" if no dependency is cancelled.
func (c *Checker) cancelledDependency(j *checkedJob) (first string, since time.Time) {
	c.forEachDependency(j, func(jobID string, dependency *checkedJob) {
		if dependency.terminalStatus == wire.JobCancelled && (first == "" || dependency.terminalAt.Before(since)) {
			first, since = jobID, dependency.terminalAt
		}
	})
	return first, since
}

// cancelRequested reports whether a user has requested the cancellation of a job or of one of its
// dependencies.
func (c *Checker) cancelRequested(j *checkedJob) bool {
	requested := !j.cancelRequestedAt.IsZero()
	c.forEachDependency(j, func(_ string, dependency *checkedJob) {
		requested = requested || !dependency.cancelRequestedAt.IsZero()
	})
	return requested
}
