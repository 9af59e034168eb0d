package scheduler

import (
	"leadproxy/internal/autoscaler"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// cloudResult takes the result of a call to the cloud.
func (c *Core) cloudResult(r autoscaler.Result) {
	switch {
	case r.Call.ScaleOut != nil:
		c.scaleOutResult(r)
	case r.Call.Delete != nil:
		for _, name := range r.Call.Delete {
			if m := c.machineNamed(name); r.Err == nil {
				c.removeMachine(m, "deleted")
			}
		}
	case r.Call.Types:
		if c.cloudReads.typesRequestEnded(r.Err) {
			c.typesRead(r.Types)
		}
	case r.Call.List:
		if c.cloudReads.listRequestEnded(r.Err) {
			c.listRead(r.List)
		}
	}
}

// typesRead takes the machine types of the cloud.
func (c *Core) typesRead(types []wire.MachineType) {
	for _, t := range types {
		i, isNew := c.types.add(t)
		if isNew {
			c.inherited.fillType(i)
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

// listRead takes the cloud's list of machines.
func (c *Core) listRead(list []wire.ListedMachine) {
	for _, m := range c.machines.live {
		m.rental.missedListing()
	}
	for i := range list {
		l := &list[i]
		m := c.machineNamed(l.Name)
		if m.state == machineGone {
			continue
		}
		if m.rental.wasListed(c.clock.now - settings.Seconds(l.AgeS)) {
			c.scaleOuts.machineSeen(m)
		}
		if m.typeName == "" {
			c.updateDescription(m, l.Type, l.Zone, l.Spot, l.Address)
		}
		m.rental.foundInList()
		if l.Status == wire.MachineRunning && settings.Seconds(l.AgeS) > c.clock.now-c.clock.termStart {
			c.agents.probe(m)
		}
		if l.Status == wire.MachineFailed {
			// It has stopped on its own, and all on it with it.
			c.returns.requestDelete(m, "failed")
			c.removeMachine(m, "listed as failed")
		}
	}
}

// machinesRented records the machines of a scale-out.
func (c *Core) machinesRented(h *scaleOut, machines []string) {
	h.resultTaken()
	c.replacements.recordRented(h.saved.Request.RequestID, machines)
	for _, name := range machines {
		m := c.machineNamed(name)
		m.rental.rentedBy(h.saved.Request.RequestID)
		if m.state == machineStarting {
			c.updateDescription(m, h.saved.Request.Type, h.saved.Request.Zone, h.saved.Request.Spot, "")
		}
		if m.state == machineStarting && !m.rental.listed {
			h.awaitMachine(name)
		}
	}
	c.scaleOuts.dropIfSeen(h)
}

// scaleOutResult takes the result of a scale-out.
func (c *Core) scaleOutResult(r autoscaler.Result) {
	if h, rented := c.scaleOuts.ended(r); rented {
		c.machinesRented(h, r.Machines)
	}
}
