package scheduler

// expireLease does what follows for a machine from the passing of time.
func (c *Core) expireLease(m *machine) {
	if m.state == machineGone || !m.agent.LeaseExpired(c.clock.now, c.agents.lease) {
		return
	}
	// Its agent has had no response for a whole lease: whatever it ran has ended.
	if len(m.recorded.inDoubtJobs) > 0 {
		c.resolveInDoubt(m, "its lease has expired")
	}
	// This holds as well while a deletion is requested and not confirmed.
	if len(m.capacity.allocations) > 0 {
		c.log.Info("machine lost: its lease has expired", "machine", m.name, "allocations", len(m.capacity.allocations))
		c.releaseLostAllocations(m, "its lease has expired")
	}
	// Starts for that epoch are refused from now on, and whatever a late copy of its heartbeats
	// lists has ended as well.
	m.commands.resolveAllStarts()
	m.agent.EndEpoch()
}
