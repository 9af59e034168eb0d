package scheduler

import (
	"errors"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

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
		c.autoscaling.readingTypes = false
		c.autoscaling.nextTypes = c.clock.now + typesInterval
		if r.Err != nil {
			c.log.Debug("reading the machine types failed", "error", r.Err)
			c.autoscaling.nextTypes = c.clock.now + time.Second
			return
		}
		c.typesRead(r.Types)
	case r.Call.List:
		c.autoscaling.listing = false
		c.autoscaling.nextList = c.clock.now + listInterval
		if r.Err != nil {
			c.log.Debug("listing the machines failed", "error", r.Err)
			return
		}
		c.listRead(r.List)
	}
}

func (c *Core) typesRead(types []wire.MachineType) {
	for _, t := range types {
		i, ok := c.types.indexByName[t.Name]
		if !ok {
			i = int32(len(c.types.list))
			c.types.indexByName[t.Name] = i
			c.types.list = append(c.types.list, machineType{MachineType: t, boot: settings.Seconds(t.BootS)})
			c.softState.inheritType(i)
		}
		mt := &c.types.list[i]
		mt.MachineType = t
		mt.total = slowfit.Size{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
		mt.zones = mt.zones[:0]
		for _, z := range t.Zones {
			mt.zones = append(mt.zones, c.machines.zones.of(z))
		}
		if !ok {
			for _, m := range c.machines.live {
				if m.typeName == t.Name {
					c.updateDescription(m, t.Name, c.machines.zones.list[m.zone], m.spot, "")
				}
			}
			for _, j := range c.jobs.active {
				j.request.types = nil
			}
			c.placement.needed = true
		}
	}
}

func (c *Core) listRead(list []wire.ListedMachine) {
	for _, m := range c.machines.live {
		if m.rental.listed {
			m.rental.missedListings++
		}
	}
	for i := range list {
		l := &list[i]
		m := c.machineNamed(l.Name)
		if m.state == machineGone {
			continue
		}
		if !m.rental.listed {
			m.rental.listed = true
			m.rental.rentedAt = c.clock.now - settings.Seconds(l.AgeS)
			c.autoscaling.scaleOutMachineSeen(m)
		}
		if m.typeName == "" {
			c.updateDescription(m, l.Type, l.Zone, l.Spot, l.Address)
		}
		m.rental.missedListings = 0
		if l.Status == wire.MachineRunning && settings.Seconds(l.AgeS) > c.clock.now-c.clock.termStart {
			c.agents.probe(m)
		}
		if l.Status == wire.MachineFailed {
			// It has stopped on its own, and all on it with it.
			c.autoscaling.requestDelete(m, "failed")
			c.removeMachine(m, "listed as failed")
		}
	}
}

// machinesRented records the machines of a scale-out.
func (c *Core) machinesRented(h *scaleOut, machines []string) {
	h.open = false
	c.evictions.recordRented(h.record.Request.RequestID, machines)
	h.unseenMachines = map[string]bool{}
	for _, name := range machines {
		m := c.machineNamed(name)
		m.rental.scaleOutID = h.record.Request.RequestID
		if m.state == machineStarting {
			c.updateDescription(m, h.record.Request.Type, h.record.Request.Zone, h.record.Request.Spot, "")
		}
		if m.state == machineStarting && !m.rental.listed {
			h.unseenMachines[name] = true
		}
	}
	c.autoscaling.closeScaleOut(h)
}

func (c *Core) scaleOutResult(r autoscaler.Result) {
	h := c.autoscaling.scaleOuts[r.Call.ScaleOut.RequestID]
	if h == nil || !h.open {
		return
	}
	h.sent = false
	st := c.autoscaling.pool(h.pool)
	block := func() {
		if c.clock.now < st.blockedUntil {
			return // several scale-outs in one pool were on their way
		}
		st.backoff = min(max(st.backoff*2, minPoolBackoff), maxPoolBackoff)
		st.blockedUntil = c.clock.now + st.backoff
		st.fillsRequests = 0
	}
	switch {
	case r.Err == nil:
		c.log.Info("scale-out result", "request", h.record.Request.RequestID, "machines", r.Machines, "wanted", h.record.Request.Count)
		if len(r.Machines) < h.record.Request.Count {
			block()
		} else {
			st.backoff = 0
			st.fillsRequests++
		}
		h.record.Machines = r.Machines
		if len(r.Machines) == 0 {
			c.autoscaling.dropScaleOut(h)
			return
		}
		c.writes.put(ledger.Write{Key: ledger.ScaleOutKey(h.record.Request.RequestID), Value: h.record})
		c.machinesRented(h, r.Machines)
	case errors.Is(r.Err, autoscaler.ErrNoCapacity):
		c.log.Info("scale-out refused: no capacity", "request", h.record.Request.RequestID, "type", h.record.Request.Type, "zone", h.record.Request.Zone, "spot", h.record.Request.Spot)
		block()
		h.open = false
		c.autoscaling.dropScaleOut(h)
	default:
		// It may have been carried out. Only the same name is safe to repeat.
		c.log.Info("scale-out result unknown, will retry", "request", h.record.Request.RequestID, "error", r.Err)
		h.retry = c.clock.now + time.Second
	}
}
