package scheduler

import (
	"iter"
	"slices"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/scheduler/quota"
)

// countsAsCapacity tells whether a machine is part of the capacity to plan with.
func (a *autoscaling) countsAsCapacity(m *machine) bool {
	switch m.state {
	case machineStarting:
		return m.typ >= 0
	case machineUp:
		return m.typ >= 0 && !m.health.quarantined && !m.eviction.cordoned && m.rental.terminationAt == 0 && a.agents.unacknowledgedFor(m) < a.agents.unreachableAfter()
	}
	return false
}

// scaleOutMachines requests what waiting tasks need and what is to be kept as headroom.
func (a *autoscaling) scaleOutMachines() {
	open := len(a.openScaleOuts())
	for _, w := range autoscaler.Plan(a.plan()) {
		for ; w.Count > 0; w.Count -= autoscaler.MaxScaleOut {
			if open >= maxOpenScaleOuts {
				return
			}
			a.startScaleOut(w)
			open++
		}
	}
}

func (a *autoscaling) openScaleOuts() []*scaleOut {
	var out []*scaleOut
	for _, h := range a.scaleOuts {
		if h.open {
			out = append(out, h)
		}
	}
	return out
}

// plan describes the situation for which scale-outs are planned.
func (a *autoscaling) plan() autoscaler.PlanInput {
	s := autoscaler.PlanInput{MaxMachines: a.cfg.Operator.MaxMachines, HeadroomSizes: a.headroomSizes(), Headroom: a.headroomCores()}
	a.planPools(&s)
	a.planMachines(&s)
	a.planScaleOuts(&s)
	a.planWaiting(&s)
	return s
}

// planPools lists the machine types and the capacity pools that may be used.
func (a *autoscaling) planPools(s *autoscaler.PlanInput) {
	for i := range a.types.list {
		s.Types = append(s.Types, autoscaler.MachineType{Total: a.types.list[i].total, Boot: a.types.list[i].boot})
	}
	for o, st := range a.openPools() {
		s.Pools = append(s.Pools, autoscaler.PricedPool{CapacityPool: o, Price: a.types.list[o.Type].price(o.Spot), MaxCount: st.maxCount()})
	}
}

// openPools are the capacity pools of the cloud without a recent refusal.
func (a *autoscaling) openPools() iter.Seq2[autoscaler.CapacityPool, *poolState] {
	return func(yield func(autoscaler.CapacityPool, *poolState) bool) {
		for i := range a.types.list {
			for _, z := range a.types.list[i].zones {
				for _, spot := range []bool{true, false} {
					o := autoscaler.CapacityPool{Type: int32(i), Zone: z, Spot: spot}
					if st := a.pool(o); a.clock.now >= st.blockedUntil && !yield(o, st) {
						return
					}
				}
			}
		}
	}
}

// planMachines counts the machines that are up or coming.
func (a *autoscaling) planMachines(s *autoscaler.PlanInput) {
	s.Machines += a.machines.count()
	for _, m := range a.machines.live {
		if !a.countsAsCapacity(m) {
			continue
		}
		s.ProvisionedCores += m.capacity.total.CPUs
		o := autoscaler.CapacityPool{Type: m.typ, Zone: m.zone, Spot: m.spot}
		if m.trusted(a.term) {
			s.Running = append(s.Running, autoscaler.RunningMachine{CapacityPool: o, BusyCoreSeconds: a.placement.remainingWork(m)})
		} else {
			s.Pending = append(s.Pending, autoscaler.PendingMachine{CapacityPool: o, Free: m.capacity.free})
		}
	}
}

// planScaleOuts counts the machines of scale-outs without a result.
func (a *autoscaling) planScaleOuts(s *autoscaler.PlanInput) {
	for _, h := range a.openScaleOuts() {
		if h.pool.Type < 0 {
			continue
		}
		total := a.types.list[h.pool.Type].total
		for range h.saved.Request.Count {
			s.Pending = append(s.Pending, autoscaler.PendingMachine{CapacityPool: h.pool, Free: total})
			s.ProvisionedCores += total.CPUs
			s.Machines++
		}
	}
}

// planWaiting lists the tasks that wait, in the order of the queue. What a team's limit leaves
// is shared by all its waiting jobs.
func (a *autoscaling) planWaiting(s *autoscaler.PlanInput) {
	used := make([]quota.Units, a.teams.Len())
	for i := range used {
		used[i] = a.teams.At(int32(i)).Allocated()
	}
	for _, j := range a.placement.queue() {
		a.placement.resolveTypes(j)
		n := min(len(j.progress.waiting), a.teams.At(j.request.team).Room(j.request.size, used[j.request.team]))
		used[j.request.team] = used[j.request.team].Plus(quota.Of(j.request.size).Times(n))
		if j.suspect() {
			n = min(n, 1)
		}
		if n > 0 {
			s.Queued = append(s.Queued, autoscaler.TaskGroup{Size: j.request.size, Count: n, Run: a.estimates.expectedRun(j), Slack: j.slack(a.clock.now),
				Allows: func(o autoscaler.CapacityPool) bool { return j.allows(o.Type, o.Zone, o.Spot) }})
		}
	}
}

// canScaleOut tells whether machines are coming or could be requested.
func (a *autoscaling) canScaleOut() bool {
	if len(a.openScaleOuts()) > 0 {
		return true
	}
	if slices.ContainsFunc(a.machines.live, func(m *machine) bool { return m.state == machineStarting && m.typ >= 0 }) {
		return true
	}
	if most := a.cfg.Operator.MaxMachines; most > 0 && a.machines.count() >= most {
		return false
	}
	return a.poolsOpen()
}

// poolsOpen tells whether there is a capacity pool without a recent refusal.
func (a *autoscaling) poolsOpen() bool {
	for range a.openPools() {
		return true
	}
	return false
}

// scalableCores is what the cloud may still give.
func (a *autoscaling) scalableCores() float64 {
	most := a.cfg.Operator.MaxMachines
	if len(a.types.list) == 0 || !a.poolsOpen() {
		return 0
	}
	largest := 0.0
	for i := range a.types.list {
		largest = max(largest, a.types.list[i].total.CPUs)
	}
	if most == 0 {
		return largest * autoscaler.MaxScaleOut
	}
	return largest * float64(max(0, most-a.machines.count()))
}
