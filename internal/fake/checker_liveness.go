package fake

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// FreeCapacity is the free capacity of a machine.
type FreeCapacity struct {
	Type, Zone  string
	Spot        bool
	CPUs, MemGB float64
}

// CheckInvariants checks the invariants that can be violated by the passing of time alone; it must
// be called periodically. No task may run past its cancel deadline. While no faults are injected,
// no job may wait long despite free capacity, and requests must be answered. faultFreeSince is the
// end of the last fault, or zero during a fault.
func (c *Checker) CheckInvariants(faultFreeSince time.Time, free []FreeCapacity) {
	c.CheckInvariantsOfCell(faultFreeSince, free, func(string) bool { return true })
}

// CheckInvariantsOfCell is CheckInvariants for one cell: the checks of waiting jobs and of
// unanswered requests cover only the jobs that the cell owns, with the free capacity of the cell's
// machines.
func (c *Checker) CheckInvariantsOfCell(faultFreeSince time.Time, free []FreeCapacity, owns func(jobID string) bool) {
	c.do(func() {
		for task := range c.running {
			c.checkCancelledTask(task)
		}
		if faultFreeSince.IsZero() {
			return
		}
		for jobID, j := range c.jobs {
			if j.acceptedAt.IsZero() || !owns(jobID) {
				continue
			}
			c.checkAnswered(jobID, j, faultFreeSince)
			c.checkScheduled(jobID, j, free)
		}
	})
}

// checkAnswered checks that requests about a job have not remained unanswered for more than
// MaxUnanswered since faultFreeSince.
func (c *Checker) checkAnswered(jobID string, j *checkedJob, faultFreeSince time.Time) {
	unanswered := j.lastRequestAt.Sub(later(j.unansweredSince, faultFreeSince))
	if !j.unansweredSince.IsZero() && unanswered > c.limits.MaxUnanswered {
		c.recordViolation(invariantForgotten, "%s: no request answered for %s", jobID, unanswered)
		j.unansweredSince = time.Now()
	}
}

// checkScheduled checks that a job has not waited for more than MaxWaiting while there was free
// capacity for it.
func (c *Checker) checkScheduled(jobID string, j *checkedJob, free []FreeCapacity) {
	if !c.isWaiting(jobID, j) || !c.hasCapacity(j.job, free) {
		j.schedulableSince = time.Time{}
		return
	}
	if j.schedulableSince.IsZero() {
		j.schedulableSince = time.Now()
	}
	if time.Since(j.schedulableSince) > c.limits.MaxWaiting {
		c.recordViolation(invariantLeftWaiting, "%s: %d of %d tasks done, free capacity for %s", jobID, len(j.completed), j.job.Tasks, time.Since(j.schedulableSince))
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

// isWaiting reports whether a job that should run has tasks that are neither running nor completed.
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

// hasCapacity reports whether a task of a job could start: its team's CPU limit permits it and some
// machine has the free capacity.
func (c *Checker) hasCapacity(job *wire.Job, free []FreeCapacity) bool {
	if limit := c.limits.TeamCPULimits[job.Team]; limit > 0 && job.CPUs+c.usedCPUs(job.Team) > limit {
		return false
	}
	return slices.ContainsFunc(free, func(f FreeCapacity) bool { return f.fits(job) })
}

// fits reports whether the machine meets the job's constraints and has the resources for one task.
func (f FreeCapacity) fits(job *wire.Job) bool {
	return (job.Types == nil || slices.Contains(job.Types, f.Type)) && (job.Zone == nil || *job.Zone == f.Zone) &&
		(job.Spot || !f.Spot) && job.CPUs <= f.CPUs && job.MemGB <= f.MemGB
}
