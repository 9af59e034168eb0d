package scheduler

// expireLease ends the agent's epoch and releases the machine's allocations once the agent's lease
// has certainly expired.
func (c *Core) expireLease(m *machine) {
	if m.state == machineGone || !m.agent.LeaseExpired(c.clock.now, c.agents.lease) {
		return
	}
	// The agent has received no response for a whole lease: all its tasks have ended.
	if len(m.recorded.inDoubtJobs) > 0 {
		c.resolveInDoubt(m, "its lease has expired")
	}
	// This also applies to a machine whose deletion is requested and not confirmed.
	if len(m.capacity.allocations) > 0 {
		c.log.Info("machine lost: its lease has expired", "machine", m.name, "allocations", len(m.capacity.allocations))
		c.releaseLostAllocations(m, "its lease has expired")
	}
	// The agent rejects starts for that epoch from now on, and the tasks in a late copy of one of
	// its heartbeats have ended as well.
	m.commands.resolveAllStarts()
	m.agent.EndEpoch()
}
