package scheduler

import (
	"cmp"
	"slices"

	"leadproxy/internal/softstate"
)

// softState replicates to standbys the state that this leader holds in memory only. It owns the
// version of that state.
type softState struct {
	term      uint64
	clock     *clock
	effects   *effects
	types     *machineTypes
	classes   *classTable
	estimates *runEstimates
	jobs      *jobTable
	machines  *machineTable
	placement *placement
	pools     *capacityPools

	version uint64 // number of changes to machines so far
}

func newSoftState(c *Core) softState {
	return softState{term: c.term, clock: &c.clock, effects: &c.effects, types: &c.types, classes: &c.classes, estimates: &c.estimates,
		jobs: &c.jobs, machines: &c.machines, placement: &c.placement, pools: &c.pools}
}

// machineChanged records a change of a machine's soft state.
func (s *softState) machineChanged(m *machine) {
	s.version++
	m.softStateVersion = s.version
}

// handleRequest replies with the machines that have changed since an earlier reply, the oldest
// change first, and with all learned estimates. A first request gets no machines that are gone.
func (s *softState) handleRequest(e SoftStateRequest) {
	var changed []*machine
	for _, m := range s.machines.list {
		if m.softStateVersion > e.Since && (m.state != machineGone || e.Since > 0) {
			changed = append(changed, m)
		}
	}
	slices.SortFunc(changed, func(a, b *machine) int { return cmp.Compare(a.softStateVersion, b.softStateVersion) })
	reply := SoftStateReply{ReplyTo: e.ReplyTo, Term: s.term, UpTo: s.version, Estimates: s.learnedEstimates()}
	if len(changed) > softstate.MaxChanges {
		changed = changed[:softstate.MaxChanges]
		reply.UpTo = changed[softstate.MaxChanges-1].softStateVersion
		reply.More = true
	}
	for _, m := range changed {
		reply.Machines = append(reply.Machines, s.machineSoftState(m))
	}
	s.effects.emit(reply)
}

// machineSoftState returns the soft state of a machine.
func (s *softState) machineSoftState(m *machine) softstate.Machine {
	state := softstate.Machine{Name: m.name, Gone: m.state == machineGone, Address: m.agent.Address(), AgentEpoch: m.agent.Epoch(), FencingToken: m.agent.FencingToken(),
		SinceHeartbeat: max(0, s.clock.now-m.agent.LastHeartbeat()), Idle: max(0, s.clock.now-m.capacity.idleSince)}
	for _, cached := range m.capacity.images {
		state.Images = append(state.Images, softstate.Image{Name: s.placement.images.list[cached.image], GB: cached.gb})
	}
	for _, alloc := range m.capacity.allocations {
		saved := softstate.Allocation{Task: s.jobs.taskName(alloc), Attempt: alloc.attempt}
		if alloc.runningSince > 0 {
			saved.Running = s.clock.now - alloc.runningSince
		}
		state.Allocations = append(state.Allocations, saved)
	}
	return state
}

// learnedEstimates returns the estimates learned in this term, with the pools in a fixed order.
func (s *softState) learnedEstimates() softstate.Estimates {
	estimates := softstate.Estimates{RunRatios: map[string]float64{}, BootSeconds: map[string]float64{}}
	for class, ratio := range s.estimates.runRatios {
		if ratio > 0 {
			estimates.RunRatios[s.classes.names.list[class]] = ratio
		}
	}
	for i := range s.types.list {
		if boot := s.types.list[i].bootTime.Seconds(); boot > 0 {
			estimates.BootSeconds[s.types.list[i].Name] = boot
		}
	}
	for pool, state := range s.pools.states {
		if pool.Type < 0 || pool.Zone < 0 || *state == (poolState{}) {
			continue
		}
		estimates.Pools = append(estimates.Pools, softstate.CapacityPool{Type: s.types.list[pool.Type].Name, Zone: s.machines.zones.list[pool.Zone], Spot: pool.Spot,
			BackoffLeft: max(0, state.blockedUntil-s.clock.now), Backoff: state.backoff, Filled: state.consecutiveFills})
	}
	slices.SortFunc(estimates.Pools, comparePools)
	return estimates
}

// comparePools orders pools by type, zone and spot.
func comparePools(a, b softstate.CapacityPool) int {
	spot := func(pool softstate.CapacityPool) int {
		if pool.Spot {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(spot(a), spot(b)))
}
