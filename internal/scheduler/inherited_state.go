package scheduler

import (
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
)

// inheritedState is the soft state of an earlier leader. It is used where this term knows
// nothing better, and dropped when the term's beginning has passed.
type inheritedState struct {
	term         uint64
	clock        *clock
	types        *machineTypes
	machineTable *machineTable
	placement    *placement
	pools        *capacityPools

	machines   map[string]softstate.Machine
	runningFor map[uint64]time.Duration // by attempt: how long before the term it began to run
	estimates  softstate.Estimates
}

func newInheritedState(c *Core) inheritedState {
	return inheritedState{term: c.term, clock: &c.clock, types: &c.types, machineTable: &c.machines, placement: &c.placement, pools: &c.pools}
}

// restore takes the soft state of an earlier leader, before anything else is restored.
func (i *inheritedState) restore(v *softstate.View) {
	if v == nil || len(v.Machines) == 0 {
		return
	}
	i.machines, i.estimates = v.Machines, v.Estimates
	i.runningFor = map[uint64]time.Duration{}
	for _, m := range v.Machines {
		for _, b := range m.Allocations {
			if b.Running > 0 {
				i.runningFor[b.Attempt] = b.Running
			}
		}
	}
}

// dropExpired drops the inherited soft state once the term's beginning has passed.
func (i *inheritedState) dropExpired() {
	if i.machines != nil && i.clock.now-i.clock.termStart > probePeriod {
		i.machines, i.runningFor, i.estimates = nil, nil, softstate.Estimates{}
	}
}

// applyToMachine fills in what the inherited soft state says of a machine that is new to this
// term. The cloud's list and its heartbeats overwrite that.
func (i *inheritedState) applyToMachine(m *machine) {
	h, ok := i.machines[m.name]
	if !ok {
		return
	}
	m.agent.Inherit(h.Address, h.AgentEpoch)
	if len(h.Allocations) == 0 {
		m.capacity.markUsed(i.clock.now - h.Idle)
	}
	for _, image := range h.Images {
		m.capacity.inheritImage(i.placement.images.intern(image.Name), image.GB)
	}
}

// applyToType fills in what the inherited soft state says of a machine type that is new to this
// term.
func (i *inheritedState) applyToType(index int32) {
	t := &i.types.list[index]
	if seconds, ok := i.estimates.BootSeconds[t.Name]; ok {
		t.inheritBootTime(settings.Seconds(seconds))
	}
	for _, o := range i.estimates.Pools {
		if o.Type != t.Name {
			continue
		}
		pool := i.pools.state(autoscaler.CapacityPool{Type: index, Zone: i.machineTable.zones.intern(o.Zone), Spot: o.Spot})
		pool.inherit(&o, i.clock.now)
	}
}

// runningSince is since when an attempt has run that is seen running for the first time. known
// is false if it began in an earlier term and no inherited soft state has it.
func (i *inheritedState) runningSince(attempt uint64) (since time.Duration, known bool) {
	if attempt>>termCounterBits == i.term {
		return i.clock.now, true
	}
	ran, ok := i.runningFor[attempt]
	if !ok {
		return i.clock.now, false
	}
	return max(i.clock.termStart-ran, 1), true
}
