package fake

import (
	"fmt"
	"slices"

	"leadproxy/internal/wire"
)

// checkPlacement checks that the machine on which a task starts meets its job's constraints.
func (c *Checker) checkPlacement(task string, job *wire.Job, l Location) {
	mismatch := l.mismatch(job)
	if zone := c.zoneMismatch(task, job, l); zone != "" {
		mismatch = zone
	}
	if mismatch != "" {
		c.recordViolation(invariantWrongPlace, "%s on %s: %s", task, l.Machine, mismatch)
	}
}

// mismatch returns the property of a machine that violates the job's constraint on machine type,
// zone or spot machines, or "" if it meets all of them.
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

// zoneMismatch describes how the zone of a new task violates its job's gang constraint (all running
// tasks in one zone) or spread constraint (at most half of the job's tasks, rounded up, in one
// zone). It returns "" if there is no violation.
func (c *Checker) zoneMismatch(task string, job *wire.Job, l Location) (mismatch string) {
	inZone := 1
	for other, otherLocation := range c.running {
		if wire.JobIDOfTask(other) != job.ID || other == task {
			continue
		}
		if otherLocation.Zone == l.Zone {
			inZone++
		} else if job.Gang {
			mismatch = "zone " + l.Zone + " while another task is in " + otherLocation.Zone
		}
	}
	if job.Spread && inZone > (job.Tasks+1)/2 {
		mismatch = fmt.Sprintf("%d of %d tasks in zone %s", inZone, job.Tasks, l.Zone)
	}
	return mismatch
}

// cpuTolerance allows for rounding errors in sums of CPUs.
const cpuTolerance = 1e-9

// checkQuota checks that a team's running tasks are within its CPU limit.
func (c *Checker) checkQuota(team string) {
	limit := c.limits.TeamCPULimits[team]
	if limit == 0 {
		return
	}
	if used := c.usedCPUs(team); used > limit+cpuTolerance {
		c.recordViolation(invariantQuota, "team %s uses %v CPUs, limit %v", team, used, limit)
	}
}

// usedCPUs returns the sum of the CPUs of a team's running tasks.
func (c *Checker) usedCPUs(team string) (cpus float64) {
	for task := range c.running {
		if j := c.jobs[wire.JobIDOfTask(task)]; j != nil && j.job.Team == team {
			cpus += j.job.CPUs
		}
	}
	return cpus
}
