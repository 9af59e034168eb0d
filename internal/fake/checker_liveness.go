package fake

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// FreeCapacity is what a working machine has free.
type FreeCapacity struct {
	Type, Zone  string
	Spot        bool
	CPUs, MemGB float64
}

// CheckInvariants checks the invariants that the passing of time alone can violate, and is to be called
// periodically: that no cancelled task goes on running and, when there have been no faults since
// calm, that no job waits although there is free capacity and that requests are answered. calm is
// zero while there are faults.
func (c *Checker) CheckInvariants(calm time.Time, free []FreeCapacity) {
	c.CheckInvariantsOfCell(calm, free, func(string) bool { return true })
}

// CheckInvariantsOfCell does the same for the jobs of one cell, and its free capacity.
func (c *Checker) CheckInvariantsOfCell(calm time.Time, free []FreeCapacity, owns func(jobID string) bool) {
	c.do(func() {
		for task := range c.running {
			c.checkCancelledTask(task)
		}
		if calm.IsZero() {
			return
		}
		for jobID, j := range c.jobs {
			if j.acceptedAt.IsZero() || !owns(jobID) {
				continue
			}
			c.checkAnswered(jobID, j, calm)
			c.checkScheduled(jobID, j, free)
		}
	})
}

// checkAnswered checks that requests about a job have been answered since calm.
func (c *Checker) checkAnswered(jobID string, j *checkedJob, calm time.Time) {
	unanswered := j.lastRequestAt.Sub(later(j.unansweredSince, calm))
	if !j.unansweredSince.IsZero() && unanswered > c.limits.MaxUnanswered {
		c.recordViolation(invariantForgotten, "%s: no request answered for %s", jobID, unanswered)
		j.unansweredSince = time.Now()
	}
}

// checkScheduled checks that a job does not wait long while there is free capacity for it.
func (c *Checker) checkScheduled(jobID string, j *checkedJob, free []FreeCapacity) {
	if !c.isWaiting(jobID, j) || !c.hasCapacity(j.job, free) {
		j.schedulableSince = time.Time{}
		return
	}
	if j.schedulableSince.IsZero() {
		j.schedulableSince = time.Now()
	}
	if time.Since(j.schedulableSince) > c.limits.MaxWaiting {
		c.recordViolation(invariantLeftWaiting, "%s: %d of %d done, free capacity for %s", jobID, len(j.completed), j.job.Tasks, time.Since(j.schedulableSince))
		j.schedulableSince = time.Now()
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isWaiting reports whether tasks of a job that should run are on no machine.
func (c *Checker) isWaiting(jobID string, j *checkedJob) bool {
	if j.terminalStatus != "" || c.cancelRequested(j) || !c.dependenciesDone(j) {
		return false
	}
	startedTasks := len(j.completed)
	for task := range c.running {
		if wire.JobIDOfTask(task) == jobID && !j.completed[task] {
			startedTasks++
		}
	}
	return startedTasks < j.job.Tasks
}

// hasCapacity reports whether a task of a job could start: within its team's limit, on a machine
// that has room.
func (c *Checker) hasCapacity(job *wire.Job, free []FreeCapacity) bool {
	if limit := c.limits.TeamCPULimits[job.Team]; limit > 0 && job.CPUs+c.usedCPUs(job.Team) > limit {
		return false
	}
	return slices.ContainsFunc(free, func(f FreeCapacity) bool { return f.fits(job) })
}

// fits reports whether there is room for one task of a job.
func (f FreeCapacity) fits(job *wire.Job) bool {
	return (job.Types == nil || slices.Contains(job.Types, f.Type)) && (job.Zone == nil || *job.Zone == f.Zone) &&
		(job.Spot || !f.Spot) && job.CPUs <= f.CPUs && job.MemGB <= f.MemGB
}
