package scheduler

import (
	"time"

	"leadproxy/internal/fleet"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// The times of the fleet's routine.
const (
	typesEvery   = 30 * time.Second
	listEvery    = 4 * time.Second
	planEvery    = 500 * time.Millisecond
	refusedFirst = 8 * time.Second
	refusedMost  = 30 * time.Second
	minRental    = 60 * time.Second // a machine is charged for this long at least
	maxOpenHires = 8
	maxCalls     = 4 // for one offer at once
)

// fleetState is what the leader knows of the cloud and of its own demand.
type fleetState struct {
	offers    map[fleet.Offer]*offerState
	hires     map[string]*hire
	hireCount uint64
	nextList  time.Duration
	nextTypes time.Duration
	nextPlan  time.Duration
	listing   bool
	typing    bool
	streams   []fleet.Stream // by class
	limited   []fleet.Stream // by team, only of those with a limit
	ratios    []float64      // by class, of run times to estimates; 0: not learned yet
	deletes   []string       // to be asked for at the end of the step
	sizes     []sized        // of the demand, the one with most core-seconds first
}

type offerState struct {
	blockedUntil time.Duration
	backoff      time.Duration
	full         int // hires in a row that were filled
}

// most is how many machines of an offer may be asked for at once: one call's
// worth at first, more once the cloud has filled some.
func (o *offerState) most() int { return min(1+o.full, maxCalls) * fleet.MaxHire }

func (f *fleetState) begin() {
	f.offers = map[fleet.Offer]*offerState{}
	f.hires = map[string]*hire{}
}

func (f *fleetState) offer(o fleet.Offer) *offerState {
	if f.offers[o] == nil {
		f.offers[o] = &offerState{}
	}
	return f.offers[o]
}

// fleetTick runs the routine: reading the cloud, returning, hiring.
func (c *Core) fleetTick() {
	f := &c.fleet
	if !f.typing && c.now >= f.nextTypes {
		f.typing = true
		c.emit(CallCloud{fleet.Call{Types: true}})
	}
	if !f.listing && c.now >= f.nextList {
		f.listing = true
		c.emit(CallCloud{fleet.Call{List: true}})
	}
	for _, h := range f.hires {
		if h.open && !h.sent && h.retry > 0 && c.now >= h.retry {
			c.sendHire(h)
		}
	}
	if c.now < f.nextPlan || len(c.types) == 0 {
		return
	}
	f.nextPlan = c.now + planEvery
	c.returnMachines()
	c.hireMachines()
}

func (c *Core) cloudBack(r fleet.Result) {
	switch {
	case r.Call.Hire != nil:
		c.hireBack(r)
	case r.Call.Delete != nil:
		for _, name := range r.Call.Delete {
			if m := c.machineNamed(name); r.Err == nil {
				c.gone(m, "deleted")
			}
		}
	case r.Call.Types:
		c.fleet.typing = false
		c.fleet.nextTypes = c.now + typesEvery
		if r.Err != nil {
			c.log.Debug("machine types not read", "error", r.Err)
			c.fleet.nextTypes = c.now + time.Second
			return
		}
		c.typesRead(r.Types)
	case r.Call.List:
		c.fleet.listing = false
		c.fleet.nextList = c.now + listEvery
		if r.Err != nil {
			c.log.Debug("machines not listed", "error", r.Err)
			return
		}
		c.listRead(r.List)
	}
}

func (c *Core) typesRead(types []wire.MachineType) {
	for _, t := range types {
		i, ok := c.typeAt[t.Name]
		if !ok {
			i = int32(len(c.types))
			c.typeAt[t.Name] = i
			c.types = append(c.types, machineType{MachineType: t, boot: settings.Seconds(t.BootS)})
			c.hintType(i)
		}
		mt := &c.types[i]
		mt.MachineType = t
		mt.total = slowfit.Size{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
		mt.zones = mt.zones[:0]
		for _, z := range t.Zones {
			mt.zones = append(mt.zones, c.zones.of(z))
		}
		if !ok {
			for _, m := range c.live {
				if m.typeName == t.Name {
					c.describe(m, t.Name, c.zones.list[m.zone], m.spot, "")
				}
			}
			for _, j := range c.active {
				j.types = nil
			}
			c.dirty = true
		}
	}
}

func (c *Core) listRead(list []wire.ListedMachine) {
	for _, m := range c.live {
		if m.listed {
			m.missing++
		}
	}
	for i := range list {
		l := &list[i]
		m := c.machineNamed(l.Name)
		if m.state == machineGone {
			continue
		}
		if !m.listed {
			m.listed = true
			m.hired = c.now - settings.Seconds(l.AgeS)
			c.hireSeen(m)
		}
		if m.typeName == "" {
			c.describe(m, l.Type, l.Zone, l.Spot, l.Address)
		}
		m.missing = 0
		if l.Status == wire.MachineUp && settings.Seconds(l.AgeS) > c.now-c.began {
			c.probe(m)
		}
		if l.Status == wire.MachineFailed {
			// It has stopped on its own, and all on it with it.
			c.askDelete(m, "failed")
			c.gone(m, "listed as failed")
		}
	}
}
