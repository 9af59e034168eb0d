package scheduler

import (
	"log/slog"
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

// autoscaling is what the leader knows of the cloud, of its own demand, and of what the machines
// have cost.
type autoscaling struct {
	cfg       *Config
	term      uint64
	clock     *clock
	log       *slog.Logger
	effects   *effects
	writes    *durableWrites
	types     *machineTypes
	classes   *classTable
	estimates *runEstimates
	quotas    *quotas
	jobs      *jobTable
	machines  *machineTable
	agents    *agents
	placement *placement

	pools         map[autoscaler.CapacityPool]*poolState
	scaleOuts     map[string]*scaleOut
	scaleOutCount uint64
	deletes       []string // to be asked for at the end of the step

	nextList     time.Duration
	nextTypes    time.Duration
	nextPlan     time.Duration
	listing      bool
	readingTypes bool

	demand        []autoscaler.DemandEstimator // by class
	limitedDemand []autoscaler.DemandEstimator // by team, only of those with a limit
	sizes         []sized                      // of the demand, the one with most core-seconds first

	spending spendingLog
}

func newAutoscaling(c *Core) autoscaling {
	return autoscaling{cfg: &c.cfg, term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, writes: &c.writes,
		types: &c.types, classes: &c.classes, estimates: &c.estimates, quotas: &c.quotas,
		jobs: &c.jobs, machines: &c.machines, agents: &c.agents, placement: &c.placement,
		pools:         map[autoscaler.CapacityPool]*poolState{},
		scaleOuts:     map[string]*scaleOut{},
		limitedDemand: make([]autoscaler.DemandEstimator, len(c.quotas.teams)),
		spending:      spendingLog{until: c.clock.now, logged: c.clock.now},
	}
}

type poolState struct {
	blockedUntil  time.Duration
	backoff       time.Duration
	fillsRequests int // hires in a row that were filled
}

// maxCount is how many machines of an offer may be asked for at once: one call's
// worth at first, more once the cloud has filled some.
func (o *poolState) maxCount() int { return min(1+o.fillsRequests, maxCalls) * autoscaler.MaxScaleOut }

func (f *autoscaling) pool(o autoscaler.CapacityPool) *poolState {
	if f.pools[o] == nil {
		f.pools[o] = &poolState{}
	}
	return f.pools[o]
}

// autoscalingTick runs the routine: reading the cloud, returning, hiring.
func (a *autoscaling) autoscalingTick() {
	if !a.readingTypes && a.clock.now >= a.nextTypes {
		a.readingTypes = true
		a.effects.emit(CallCloud{autoscaler.Call{Types: true}})
	}
	if !a.listing && a.clock.now >= a.nextList {
		a.listing = true
		a.effects.emit(CallCloud{autoscaler.Call{List: true}})
	}
	for _, h := range a.scaleOuts {
		if h.open && !h.sent && h.retry > 0 && a.clock.now >= h.retry {
			a.sendScaleOut(h)
		}
	}
	if a.clock.now < a.nextPlan || len(a.types.list) == 0 {
		return
	}
	a.nextPlan = a.clock.now + planEvery
	a.scaleIn()
	a.scaleOutMachines()
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
		c.autoscaling.nextTypes = c.clock.now + typesEvery
		if r.Err != nil {
			c.log.Debug("machine types not read", "error", r.Err)
			c.autoscaling.nextTypes = c.clock.now + time.Second
			return
		}
		c.typesRead(r.Types)
	case r.Call.List:
		c.autoscaling.listing = false
		c.autoscaling.nextList = c.clock.now + listEvery
		if r.Err != nil {
			c.log.Debug("machines not listed", "error", r.Err)
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
					c.describe(m, t.Name, c.machines.zones.list[m.zone], m.spot, "")
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
			c.describe(m, l.Type, l.Zone, l.Spot, l.Address)
		}
		m.rental.missedListings = 0
		if l.Status == wire.MachineRunning && settings.Seconds(l.AgeS) > c.clock.now-c.clock.termStart {
			c.agents.probe(m)
		}
		if l.Status == wire.MachineFailed {
			// It has stopped on its own, and all on it with it.
			c.autoscaling.askDelete(m, "failed")
			c.gone(m, "listed as failed")
		}
	}
}
