package fake

import (
	"fmt"
	"slices"

	"leadproxy/internal/wire"
)

// checkPlacement checks that the machine where a task starts suits its job.
func (c *Checker) checkPlacement(task string, job *wire.Job, l Location) {
	mismatch := l.mismatch(job)
	if zone := c.zoneMismatch(task, job, l); zone != "" {
		mismatch = zone
	}
	if mismatch != "" {
		c.recordViolation(invariantWrongPlace, "%s on %s: %s", task, l.Machine, mismatch)
	}
}

// mismatch says which of a job's constraints on machines a location does not meet; "": it meets
// all.
func (l Location) mismatch(job *wire.Job) string {
	switch {
	case job.Types != nil && !slices.Contains(job.Types, l.MachineType):
		return "type " + l.MachineType
	case job.Zone != nil && *job.Zone != l.Zone:
		return "zone " + l.Zone
	case l.Spot && !job.Spot:
		return "a spot machine"
	}
	return ""
}

// zoneMismatch says how a task's zone violates gang scheduling (all tasks in one zone) or spread
// (at most half of them, rounded up, in one); "": it does not.
func (c *Checker) zoneMismatch(task string, job *wire.Job, l Location) (mismatch string) {
	inZone := 1
	for other, at := range c.running {
		if wire.JobIDOfTask(other) != job.ID || other == task {
			continue
		}
		if at.Zone == l.Zone {
			inZone++
		} else if job.Gang {
			mismatch = "zone " + l.Zone + " while another task is in " + at.Zone
		}
	}
	if job.Spread && inZone > (job.Tasks+1)/2 {
		mismatch = fmt.Sprintf("%d of %d tasks in zone %s", inZone, job.Tasks, l.Zone)
	}
	return mismatch
}

// checkQuota checks that a team's running tasks keep to its CPU limit.
func (c *Checker) checkQuota(team string) {
	limit := c.limits.TeamCPULimits[team]
	if limit == 0 {
		return
	}
	if used := c.usedCPUs(team); used > limit+1e-9 {
		c.recordViolation(invariantQuota, "%s uses %v of %v", team, used, limit)
	}
}

// usedCPUs is the sum of the CPUs of a team's running tasks.
func (c *Checker) usedCPUs(team string) (cpus float64) {
	for task := range c.running {
		if j := c.jobs[wire.JobIDOfTask(task)]; j != nil && j.job.Team == team {
			cpus += j.job.CPUs
		}
	}
	return cpus
}
