package scheduler

import (
	"cmp"
	"slices"

	"leadproxy/internal/softstate"
)

// softState passes on to standbys what this leader holds in memory. It owns the version of that.
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

	version uint64 // counts the changes of machines that are passed on
}

func newSoftState(c *Core) softState {
	return softState{term: c.term, clock: &c.clock, effects: &c.effects, types: &c.types, classes: &c.classes, estimates: &c.estimates,
		jobs: &c.jobs, machines: &c.machines, placement: &c.placement, pools: &c.pools}
}

// machineChanged notes that the soft state of a machine has changed.
func (s *softState) machineChanged(m *machine) {
	s.version++
	m.softStateVersion = s.version
}

// handleRequest replies with what has changed since an earlier reply, the oldest change
// first.
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

// machineSoftState is the soft state of a machine.
func (s *softState) machineSoftState(m *machine) softstate.Machine {
	h := softstate.Machine{Name: m.name, Gone: m.state == machineGone, Address: m.agent.Address(), AgentEpoch: m.agent.Epoch(), FencingToken: m.agent.FencingToken(),
		SinceHeartbeat: max(0, s.clock.now-m.agent.LastHeartbeat()), Idle: max(0, s.clock.now-m.capacity.idleSince)}
	for _, i := range m.capacity.images {
		h.Images = append(h.Images, softstate.Image{Name: s.placement.images.list[i.image], GB: i.gb})
	}
	for _, b := range m.capacity.allocations {
		k := softstate.Allocation{Task: s.jobs.taskName(b), Attempt: b.attempt}
		if b.runningSince > 0 {
			k.Running = s.clock.now - b.runningSince
		}
		h.Allocations = append(h.Allocations, k)
	}
	return h
}

// learnedEstimates is what this term has learned.
func (s *softState) learnedEstimates() softstate.Estimates {
	l := softstate.Estimates{RunRatios: map[string]float64{}, BootSeconds: map[string]float64{}}
	for class, ratio := range s.estimates.runRatios {
		if ratio > 0 {
			l.RunRatios[s.classes.names.list[class]] = ratio
		}
	}
	for i := range s.types.list {
		if boot := s.types.list[i].bootTime.Seconds(); boot > 0 {
			l.BootSeconds[s.types.list[i].Name] = boot
		}
	}
	for o, st := range s.pools.states {
		if o.Type < 0 || o.Zone < 0 || *st == (poolState{}) {
			continue
		}
		l.Pools = append(l.Pools, softstate.CapacityPool{Type: s.types.list[o.Type].Name, Zone: s.machines.zones.list[o.Zone], Spot: o.Spot,
			BackoffLeft: max(0, st.blockedUntil-s.clock.now), Backoff: st.backoff, Filled: st.consecutiveFills})
	}
	slices.SortFunc(l.Pools, comparePools)
	return l
}

func comparePools(a, b softstate.CapacityPool) int {
	spot := func(o softstate.CapacityPool) int {
		if o.Spot {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(spot(a), spot(b)))
}
