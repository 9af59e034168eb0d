package scheduler

import (
	"slices"

	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// stopAllocation stops an attempt. One whose start was never sent, or is withdrawn before it is, is
// simply released.
func (c *Core) stopAllocation(m *machine, b *allocation, grace float64) {
	if b.state <= allocationQueued || b.withdrawStart() {
		c.releaseAndRequeue(m, b)
		return
	}
	b.stopping, b.gracePeriodS = true, grace
	c.commands.queueStop(m, b)
}

// stopTasks stops all tasks of a job, also those that are being stopped already and have a grace
// period for their checkpoint: it may be longer than cancel_s allows.
func (c *Core) stopTasks(j *job) {
	if j.progress.allocated == 0 {
		return
	}
	for _, m := range c.machines.live {
		for k := len(m.capacity.allocations) - 1; k >= 0; k-- {
			if b := m.capacity.allocations[k]; b.job == j.index && (!b.stopping || b.gracePeriodS > 0) {
				c.cancellations.countDue()
				c.stopAllocation(m, b, 0)
			}
		}
	}
}

// sendPlannedStarts sends the starts that waited for their host to be durable.
func (c *Core) sendPlannedStarts(j *job, m *machine) {
	for _, b := range slices.Clone(m.capacity.allocations) {
		switch {
		case b.job != j.index || b.state != allocationPlanned:
		case c.agents.schedulable(m) && !j.ended():
			c.commands.queueStart(j, m, b)
		default:
			c.stopAllocation(m, b, 0)
		}
	}
}

// evictBeforeTermination stops what can save its progress on a machine that the cloud will take
// away.
func (c *Core) evictBeforeTermination(m *machine) {
	left := m.rental.terminationAt - c.clock.now
	for k := len(m.capacity.allocations) - 1; k >= 0; k-- {
		b := m.capacity.allocations[k]
		j := c.jobs.list[b.job]
		if b.stopping || j.spec == nil {
			continue
		}
		if b.state <= allocationQueued {
			c.stopAllocation(m, b, 0)
			continue
		}
		save := settings.Seconds(j.spec.CheckpointDurationS)
		if j.spec.CheckpointIntervalS > 0 && save < left {
			c.stopAllocation(m, b, max(left.Seconds(), j.spec.CheckpointDurationS))
			continue
		}
		// It can't save. It is left running only if it may well end in time.
		if ran := c.clock.now - b.runningSince; b.status == wire.TaskRunning && c.estimates.expectedRun(j)-ran < left {
			continue
		}
		c.stopAllocation(m, b, 0)
	}
}
