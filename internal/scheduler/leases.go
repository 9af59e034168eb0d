package scheduler

// expireLease does what time alone does to a machine.
func (c *Core) expireLease(m *machine) {
	if m.state == machineGone || c.clock.now < m.agent.leaseExpiry || m.agent.lastResponse > 0 && c.clock.now < m.agent.lastResponse+c.agents.lease {
		return
	}
	// Its worker has had no answer for a whole lease: whatever it ran is over.
	if len(m.recorded.inDoubtJobs) > 0 {
		c.resolveInDoubt(m, "its lease is over")
	}
	// This holds as well while a deletion is asked for and not answered.
	if len(m.capacity.allocations) > 0 {
		c.log.Info("machine lost: its lease is over", "machine", m.name, "bookings", len(m.capacity.allocations))
		c.dropAllocations(m, "its lease is over")
	}
	// Starts of that session are refused from now on, and whatever a late copy
	// of its reports says is over as well.
	clear(m.commands.unresolvedStarts)
	m.agent.expiredEpoch = m.agent.epoch
}
