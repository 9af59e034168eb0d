package scheduler

import (
	"slices"

	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// stopAllocation stops an attempt, with a grace period in seconds for saving a checkpoint. If the
// start was not sent, or can still be withdrawn, the allocation is released at once.
func (c *Core) stopAllocation(m *machine, alloc *allocation, gracePeriodS float64) {
	if alloc.state <= allocationQueued || alloc.withdrawStart() {
		c.releaseAndRequeue(m, alloc)
		return
	}
	alloc.stopping, alloc.gracePeriodS = true, gracePeriodS
	c.commands.queueStop(m, alloc)
}

// stopTasks stops all tasks of a job without a grace period, including those that are already being
// stopped with one: it may be longer than cancel_s allows.
func (c *Core) stopTasks(j *job) {
	if j.progress.allocated == 0 {
		return
	}
	for _, m := range c.machines.live {
		for i := len(m.capacity.allocations) - 1; i >= 0; i-- {
			if alloc := m.capacity.allocations[i]; alloc.job == j.index && (!alloc.stopping || alloc.gracePeriodS > 0) {
				c.cancellations.countDue()
				c.stopAllocation(m, alloc, 0)
			}
		}
	}
}

// sendPlannedStarts queues the starts of a job on a machine once that host is durable in the job's
// record. The allocations of those that are no longer allowed are released.
func (c *Core) sendPlannedStarts(j *job, m *machine) {
	var uncertain []quota.Units
	for _, alloc := range slices.Clone(m.capacity.allocations) {
		if alloc.job != j.index || alloc.state != allocationPlanned {
			continue
		}
		if uncertain == nil {
			uncertain = c.delegations.uncertainUse()
		}
		if reason := c.placement.refusal(proposedStart{job: j, machine: m, allocated: true}, uncertain); reason != startAllowed {
			c.log.Info("planned start dropped", "machine", m.name, "task", c.jobs.taskName(alloc), "attempt", alloc.attempt, "reason", reason)
			c.stopAllocation(m, alloc, 0)
			continue
		}
		c.commands.queueStart(j, m, alloc)
	}
}

// evictBeforeTermination stops tasks on a machine with a termination notice: those that can save a
// checkpoint in time, with the remaining time as grace period, and those that can neither do that
// nor are likely to finish in time.
func (c *Core) evictBeforeTermination(m *machine) {
	timeLeft := m.rental.terminationAt - c.clock.now
	for i := len(m.capacity.allocations) - 1; i >= 0; i-- {
		alloc := m.capacity.allocations[i]
		j := c.jobs.list[alloc.job]
		if alloc.stopping || j.spec == nil {
			continue
		}
		if alloc.state <= allocationQueued {
			c.stopAllocation(m, alloc, 0)
			continue
		}
		checkpointDuration := settings.Seconds(j.spec.CheckpointDurationS)
		if j.spec.CheckpointIntervalS > 0 && checkpointDuration < timeLeft {
			c.stopAllocation(m, alloc, max(timeLeft.Seconds(), j.spec.CheckpointDurationS))
			continue
		}
		// The task can't save a checkpoint in time. It keeps running only if it is expected to
		// finish before the termination.
		if ran := c.clock.now - alloc.runningSince; alloc.status == wire.TaskRunning && c.estimates.expectedRun(j)-ran < timeLeft {
			continue
		}
		c.stopAllocation(m, alloc, 0)
	}
}
