package scheduler

import (
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// The times of the fleet's routine.
const (
	typesEvery       = 30 * time.Second
	listEvery        = 4 * time.Second
	planEvery        = 500 * time.Millisecond
	refusedFirst     = 8 * time.Second
	refusedMost      = 30 * time.Second
	minRental        = 60 * time.Second // a machine is charged for this long at least
	maxOpenScaleOuts = 8
	maxCalls         = 4 // for one offer at once
)

// autoscaling is what the leader knows of the cloud and of its own demand.
type autoscaling struct {
	pools         map[autoscaler.CapacityPool]*poolState
	scaleOuts     map[string]*scaleOut
	scaleOutCount uint64
	nextList      time.Duration
	nextTypes     time.Duration
	nextPlan      time.Duration
	listing       bool
	readingTypes  bool
	demand        []autoscaler.DemandEstimator // by class
	limitedDemand []autoscaler.DemandEstimator // by team, only of those with a limit
	runRatios     []float64                    // by class, of run times to estimates; 0: not learned yet
	deletes       []string                     // to be asked for at the end of the step
	sizes         []sized                      // of the demand, the one with most core-seconds first
}

type poolState struct {
	blockedUntil  time.Duration
	backoff       time.Duration
	fillsRequests int // hires in a row that were filled
}

// maxCount is how many machines of an offer may be asked for at once: one call's
// worth at first, more once the cloud has filled some.
func (o *poolState) maxCount() int { return min(1+o.fillsRequests, maxCalls) * autoscaler.MaxScaleOut }

func (f *autoscaling) begin() {
	f.pools = map[autoscaler.CapacityPool]*poolState{}
	f.scaleOuts = map[string]*scaleOut{}
}

func (f *autoscaling) pool(o autoscaler.CapacityPool) *poolState {
	if f.pools[o] == nil {
		f.pools[o] = &poolState{}
	}
	return f.pools[o]
}

// autoscalingTick runs the routine: reading the cloud, returning, hiring.
func (c *Core) autoscalingTick() {
	f := &c.autoscaling
	if !f.readingTypes && c.now >= f.nextTypes {
		f.readingTypes = true
		c.emit(CallCloud{autoscaler.Call{Types: true}})
	}
	if !f.listing && c.now >= f.nextList {
		f.listing = true
		c.emit(CallCloud{autoscaler.Call{List: true}})
	}
	for _, h := range f.scaleOuts {
		if h.open && !h.sent && h.retry > 0 && c.now >= h.retry {
			c.sendScaleOut(h)
		}
	}
	if c.now < f.nextPlan || len(c.types) == 0 {
		return
	}
	f.nextPlan = c.now + planEvery
	c.scaleIn()
	c.scaleOutMachines()
}

func (c *Core) cloudResult(r autoscaler.Result) {
	switch {
	case r.Call.ScaleOut != nil:
		c.scaleOutResult(r)
	case r.Call.Delete != nil:
		for _, name := range r.Call.Delete {
			if m := c.machineNamed(name); r.Err == nil {
				c.gone(m, "deleted")
			}
		}
	case r.Call.Types:
		c.autoscaling.readingTypes = false
		c.autoscaling.nextTypes = c.now + typesEvery
		if r.Err != nil {
			c.log.Debug("machine types not read", "error", r.Err)
			c.autoscaling.nextTypes = c.now + time.Second
			return
		}
		c.typesRead(r.Types)
	case r.Call.List:
		c.autoscaling.listing = false
		c.autoscaling.nextList = c.now + listEvery
		if r.Err != nil {
			c.log.Debug("machines not listed", "error", r.Err)
			return
		}
		c.listRead(r.List)
	}
}

func (c *Core) typesRead(types []wire.MachineType) {
	for _, t := range types {
		i, ok := c.typeIndexByName[t.Name]
		if !ok {
			i = int32(len(c.types))
			c.typeIndexByName[t.Name] = i
			c.types = append(c.types, machineType{MachineType: t, boot: settings.Seconds(t.BootS)})
			c.inheritType(i)
		}
		mt := &c.types[i]
		mt.MachineType = t
		mt.total = slowfit.Size{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
		mt.zones = mt.zones[:0]
		for _, z := range t.Zones {
			mt.zones = append(mt.zones, c.zones.of(z))
		}
		if !ok {
			for _, m := range c.liveMachines {
				if m.typeName == t.Name {
					c.describe(m, t.Name, c.zones.list[m.zone], m.spot, "")
				}
			}
			for _, j := range c.activeJobs {
				j.types = nil
			}
			c.needsPlacement = true
		}
	}
}

func (c *Core) listRead(list []wire.ListedMachine) {
	for _, m := range c.liveMachines {
		if m.listed {
			m.missedListings++
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
			m.rentedAt = c.now - settings.Seconds(l.AgeS)
			c.scaleOutMachineSeen(m)
		}
		if m.typeName == "" {
			c.describe(m, l.Type, l.Zone, l.Spot, l.Address)
		}
		m.missedListings = 0
		if l.Status == wire.MachineRunning && settings.Seconds(l.AgeS) > c.now-c.termStart {
			c.probe(m)
		}
		if l.Status == wire.MachineFailed {
			// It has stopped on its own, and all on it with it.
			c.askDelete(m, "failed")
			c.gone(m, "listed as failed")
		}
	}
}
