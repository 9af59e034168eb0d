package scheduler

import (
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
)

// inheritedState is the soft state of an earlier leader. It is used where this term has no newer
// information, and dropped at the end of probePeriod.
type inheritedState struct {
	term         uint64
	clock        *clock
	types        *machineTypes
	machineTable *machineTable
	placement    *placement
	pools        *capacityPools

	machines   map[string]softstate.Machine
	runningFor map[uint64]time.Duration // by attempt: for how long it had run when the term began
	estimates  softstate.Estimates
}

func newInheritedState(c *Core) inheritedState {
	return inheritedState{term: c.term, clock: &c.clock, types: &c.types, machineTable: &c.machines, placement: &c.placement, pools: &c.pools}
}

// restore sets the soft state of an earlier leader. It must come first, because restoring the rest
// reads it.
func (i *inheritedState) restore(view *softstate.View) {
	if view == nil || len(view.Machines) == 0 {
		return
	}
	i.machines, i.estimates = view.Machines, view.Estimates
	i.runningFor = map[uint64]time.Duration{}
	for _, m := range view.Machines {
		for _, alloc := range m.Allocations {
			if alloc.Running > 0 {
				i.runningFor[alloc.Attempt] = alloc.Running
			}
		}
	}
}

// dropExpired drops the inherited soft state once probePeriod has passed in this term.
func (i *inheritedState) dropExpired() {
	if i.machines != nil && i.clock.now-i.clock.termStart > probePeriod {
		i.machines, i.runningFor, i.estimates = nil, nil, softstate.Estimates{}
	}
}

// applyToMachine initializes a machine that is new to this term from the inherited soft state. The
// cloud's list and its heartbeats overwrite that.
func (i *inheritedState) applyToMachine(m *machine) {
	state, ok := i.machines[m.name]
	if !ok {
		return
	}
	m.agent.Inherit(state.Address, state.AgentEpoch)
	if len(state.Allocations) == 0 {
		m.capacity.markUsed(i.clock.now - state.Idle)
	}
	for _, image := range state.Images {
		m.capacity.inheritImage(i.placement.images.intern(image.Name), image.GB)
	}
}

// applyToType initializes a machine type that is new to this term, and its capacity pools, from the
// inherited soft state.
func (i *inheritedState) applyToType(index int32) {
	t := &i.types.list[index]
	if seconds, ok := i.estimates.BootSeconds[t.Name]; ok {
		t.inheritBootTime(settings.Seconds(seconds))
	}
	for _, inherited := range i.estimates.Pools {
		if inherited.Type != t.Name {
			continue
		}
		pool := i.pools.state(autoscaler.CapacityPool{Type: index, Zone: i.machineTable.zones.intern(inherited.Zone), Spot: inherited.Spot})
		pool.inherit(&inherited, i.clock.now)
	}
}

// runningSince returns when an attempt began to run that is reported as running for the first time.
// known is false, and the result the current time, if it began in an earlier term and the inherited
// soft state doesn't have it.
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
