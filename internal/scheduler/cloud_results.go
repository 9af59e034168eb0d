package scheduler

import (
	"leadproxy/internal/autoscaler"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// handleCloudResult applies the result of a call to the cloud. A deletion removes its machines only
// if it succeeded; requestDelete repeats the others.
func (c *Core) handleCloudResult(result autoscaler.Result) {
	switch {
	case result.Call.ScaleOut != nil:
		c.handleScaleOutResult(result)
	case result.Call.Delete != nil:
		for _, name := range result.Call.Delete {
			if m := c.findOrAddMachine(name); result.Err == nil {
				c.removeMachine(m, "deleted")
			}
		}
	case result.Call.Types:
		if c.cloudReads.finishTypesRequest(result.Err) {
			c.updateTypes(result.Types)
		}
	case result.Call.List:
		if c.cloudReads.finishListRequest(result.Err) {
			c.updateMachines(result.List)
		}
	}
}

// updateTypes applies the machine types read from the cloud. When a type is new, machines of it are
// updated and may be used.
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
			c.placement.markNeeded()
		}
	}
}

// updateMachines reconciles the known machines with the cloud's list. Absence from the list does
// not remove a machine, and the list describes a machine only while its type is unknown.
func (c *Core) updateMachines(list []wire.ListedMachine) {
	for _, m := range c.machines.live {
		m.rental.countMissedListing()
	}
	for i := range list {
		listed := &list[i]
		m := c.findOrAddMachine(listed.Name)
		if m.state == machineGone {
			continue
		}
		if m.rental.recordListed(c.clock.now - settings.Seconds(listed.AgeS)) {
			c.scaleOuts.recordMachineSeen(m)
		}
		if m.typeName == "" {
			c.updateDescription(m, listed.Type, listed.Zone, listed.Spot, listed.Address)
		}
		m.rental.resetMissedListings()
		if listed.Status == wire.MachineRunning && settings.Seconds(listed.AgeS) > c.clock.now-c.clock.termStart {
			c.agents.probe(m)
		}
		if listed.Status == wire.MachineFailed {
			// The machine has stopped, and with it all its tasks. It must still be deleted.
			c.scaleIns.requestDelete(m, "failed")
			c.removeMachine(m, "listed as failed")
		}
	}
}

// recordRentedMachines records the machines that a scale-out has rented. The scale-out is kept until
// all of them are known from the cloud's list or a heartbeat.
func (c *Core) recordRentedMachines(scaleOut *scaleOutRequest, machines []string) {
	scaleOut.markResolved()
	c.replacements.recordRented(scaleOut.ledgerRecord.Request.RequestID, machines)
	for _, name := range machines {
		m := c.findOrAddMachine(name)
		m.rental.setScaleOut(scaleOut.ledgerRecord.Request.RequestID)
		if m.state == machineStarting {
			c.updateDescription(m, scaleOut.ledgerRecord.Request.Type, scaleOut.ledgerRecord.Request.Zone, scaleOut.ledgerRecord.Request.Spot, "")
		}
		if m.state == machineStarting && !m.rental.listed {
			scaleOut.awaitMachine(name)
		}
	}
	c.scaleOuts.removeIfAllSeen(scaleOut)
}

// handleScaleOutResult applies the result of a scale-out.
func (c *Core) handleScaleOutResult(result autoscaler.Result) {
	if scaleOut, rented := c.scaleOuts.handleResult(result); rented {
		c.recordRentedMachines(scaleOut, result.Machines)
	}
}
