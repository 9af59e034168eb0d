package scheduler

import (
	"leadproxy/internal/autoscaler"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// handleCloudResult takes the result of a call to the cloud.
func (c *Core) handleCloudResult(r autoscaler.Result) {
	switch {
	case r.Call.ScaleOut != nil:
		c.handleScaleOutResult(r)
	case r.Call.Delete != nil:
		for _, name := range r.Call.Delete {
			if m := c.findOrAddMachine(name); r.Err == nil {
				c.removeMachine(m, "deleted")
			}
		}
	case r.Call.Types:
		if c.cloudReads.finishTypesRequest(r.Err) {
			c.updateTypes(r.Types)
		}
	case r.Call.List:
		if c.cloudReads.finishListRequest(r.Err) {
			c.updateMachines(r.List)
		}
	}
}

// updateTypes takes the machine types of the cloud.
func (c *Core) updateTypes(types []wire.MachineType) {
	for _, t := range types {
		i, isNew := c.types.findOrAdd(t)
		if isNew {
			c.inherited.applyToType(i)
		}
		c.types.list[i].update(t, &c.machines.zones)
		if isNew {
			for _, m := range c.machines.live {
				if m.typeName == t.Name {
					c.updateDescription(m, t.Name, c.machines.zones.list[m.zone], m.spot, "")
				}
			}
			for _, j := range c.jobs.active {
				j.request.clearTypes()
			}
			c.placement.markNeeded()
		}
	}
}

// updateMachines takes the cloud's list of machines.
func (c *Core) updateMachines(list []wire.ListedMachine) {
	for _, m := range c.machines.live {
		m.rental.countMissedListing()
	}
	for i := range list {
		l := &list[i]
		m := c.findOrAddMachine(l.Name)
		if m.state == machineGone {
			continue
		}
		if m.rental.recordListed(c.clock.now - settings.Seconds(l.AgeS)) {
			c.scaleOuts.recordMachineSeen(m)
		}
		if m.typeName == "" {
			c.updateDescription(m, l.Type, l.Zone, l.Spot, l.Address)
		}
		m.rental.resetMissedListings()
		if l.Status == wire.MachineRunning && settings.Seconds(l.AgeS) > c.clock.now-c.clock.termStart {
			c.agents.probe(m)
		}
		if l.Status == wire.MachineFailed {
			// It has stopped on its own, and all on it with it.
			c.scaleIns.requestDelete(m, "failed")
			c.removeMachine(m, "listed as failed")
		}
	}
}

// recordRentedMachines records the machines of a scale-out.
func (c *Core) recordRentedMachines(h *scaleOutRequest, machines []string) {
	h.markResolved()
	c.replacements.recordRented(h.ledgerRecord.Request.RequestID, machines)
	for _, name := range machines {
		m := c.findOrAddMachine(name)
		m.rental.setScaleOut(h.ledgerRecord.Request.RequestID)
		if m.state == machineStarting {
			c.updateDescription(m, h.ledgerRecord.Request.Type, h.ledgerRecord.Request.Zone, h.ledgerRecord.Request.Spot, "")
		}
		if m.state == machineStarting && !m.rental.listed {
			h.awaitMachine(name)
		}
	}
	c.scaleOuts.removeIfAllSeen(h)
}

// handleScaleOutResult takes the result of a scale-out.
func (c *Core) handleScaleOutResult(r autoscaler.Result) {
	if h, rented := c.scaleOuts.handleResult(r); rented {
		c.recordRentedMachines(h, r.Machines)
	}
}
