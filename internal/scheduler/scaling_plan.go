package scheduler

import (
	"iter"
	"math"

	"leadproxy/internal/autoscaler"
)

// counts tells whether a machine is part of the capacity to plan with.
func (c *Core) counts(m *machine) bool {
	switch m.state {
	case machineStarting:
		return m.typ >= 0
	case machineUp:
		return m.typ >= 0 && !m.health.quarantined && !m.eviction.cordoned && m.rental.terminationAt == 0 && c.inactive(m) < c.unreachableAfter()
	}
	return false
}

// scaleOutMachines asks for what waiting tasks need and what is to be kept warm.
func (c *Core) scaleOutMachines() {
	open := len(c.openScaleOuts())
	for _, w := range autoscaler.Plan(c.plan()) {
		for ; w.Count > 0; w.Count -= autoscaler.MaxScaleOut {
			if open >= maxOpenScaleOuts {
				return
			}
			c.startScaleOut(w)
			open++
		}
	}
}

func (c *Core) openScaleOuts() []*scaleOut {
	var out []*scaleOut
	for _, h := range c.autoscaling.scaleOuts {
		if h.open {
			out = append(out, h)
		}
	}
	return out
}

// plan describes the situation to plan hires from.
func (c *Core) plan() autoscaler.PlanInput {
	s := autoscaler.PlanInput{MaxMachines: c.cfg.Operator.MaxMachines, Sizes: c.headroomSizes(), Headroom: c.headroomCores()}
	c.planPools(&s)
	c.planMachines(&s)
	c.planScaleOuts(&s)
	c.planWaiting(&s)
	return s
}

// planPools lists the machine types and the offers that may be asked for.
func (c *Core) planPools(s *autoscaler.PlanInput) {
	for i := range c.autoscaling.types {
		s.Types = append(s.Types, autoscaler.MachineType{Total: c.autoscaling.types[i].total, Boot: c.autoscaling.types[i].boot})
	}
	for o, st := range c.openPools() {
		s.Pools = append(s.Pools, autoscaler.PricedPool{CapacityPool: o, Price: c.autoscaling.types[o.Type].price(o.Spot), MaxCount: st.maxCount()})
	}
}

// openPools are the offers of the cloud that were not refused a moment ago.
func (c *Core) openPools() iter.Seq2[autoscaler.CapacityPool, *poolState] {
	return func(yield func(autoscaler.CapacityPool, *poolState) bool) {
		for i := range c.autoscaling.types {
			for _, z := range c.autoscaling.types[i].zones {
				for _, spot := range []bool{true, false} {
					o := autoscaler.CapacityPool{Type: int32(i), Zone: z, Spot: spot}
					if st := c.autoscaling.pool(o); c.clock.now >= st.blockedUntil && !yield(o, st) {
						return
					}
				}
			}
		}
	}
}

// machineCount is how many machines there are, up or coming.
func (c *Core) machineCount() (n int) {
	for _, m := range c.machines.live {
		if m.state != machineGone {
			n++
		}
	}
	return n
}

// planMachines counts the machines that are up or coming.
func (c *Core) planMachines(s *autoscaler.PlanInput) {
	s.Machines += c.machineCount()
	for _, m := range c.machines.live {
		if !c.counts(m) {
			continue
		}
		s.Cores += m.capacity.total.CPUs
		o := autoscaler.CapacityPool{Type: m.typ, Zone: m.zone, Spot: m.spot}
		if m.trusted(c.term) {
			s.Running = append(s.Running, autoscaler.RunningMachine{CapacityPool: o, BusyCoreSeconds: c.busy(m)})
		} else {
			s.Pending = append(s.Pending, autoscaler.PendingMachine{CapacityPool: o, Free: m.capacity.free})
		}
	}
}

// planScaleOuts counts the machines of hires that the cloud has not answered yet.
func (c *Core) planScaleOuts(s *autoscaler.PlanInput) {
	for _, h := range c.openScaleOuts() {
		if h.pool.Type < 0 {
			continue
		}
		total := c.autoscaling.types[h.pool.Type].total
		for range h.record.Request.Count {
			s.Pending = append(s.Pending, autoscaler.PendingMachine{CapacityPool: h.pool, Free: total})
			s.Cores += total.CPUs
			s.Machines++
		}
	}
}

// planWaiting lists the tasks that wait, in the order of the queue. What a team's limit
// leaves is shared by all its waiting jobs.
func (c *Core) planWaiting(s *autoscaler.PlanInput) {
	used := make([]units, len(c.placement.teams))
	for i := range used {
		used[i] = c.placement.teams[i].booked
	}
	for _, j := range c.queue() {
		c.resolveTypes(j)
		n := min(len(j.progress.waiting), c.roomInLimit(j, used[j.request.team]))
		used[j.request.team] = used[j.request.team].plus(unitsOf(j.request.size).times(n))
		if j.suspect() {
			n = min(n, 1)
		}
		if n > 0 {
			s.Queued = append(s.Queued, autoscaler.TaskGroup{Size: j.request.size, Count: n, Run: c.expectedRun(j), Slack: j.slack(c.clock.now),
				Allows: func(o autoscaler.CapacityPool) bool { return j.allows(o.Type, o.Zone, o.Spot) }})
		}
	}
}

// busy is the core-seconds that are expected to be left of a machine's tasks.
func (c *Core) busy(m *machine) float64 {
	sum := 0.0
	for _, b := range m.capacity.allocations {
		j := c.jobs.list[b.job]
		if j.spec == nil {
			continue
		}
		left := c.expectedRun(j)
		if b.runningSince > 0 {
			// One that has outrun its estimate goes on for some time more.
			left = max(left-(c.clock.now-b.runningSince), left/4)
		}
		sum += j.request.size.CPUs * left.Seconds()
	}
	return sum
}

// roomInLimit is how many more tasks of a job its team's limit lets run while
// the team uses so much.
func (c *Core) roomInLimit(j *job, used units) int {
	limit := c.placement.teams[j.request.team].limit
	need := unitsOf(j.request.size)
	n := math.MaxInt32
	if limit.cpus > 0 && need.cpus > 0 {
		n = min(n, int((limit.cpus-used.cpus)/need.cpus))
	}
	if limit.gpus > 0 && need.gpus > 0 {
		n = min(n, int((limit.gpus-used.gpus)/need.gpus))
	}
	return max(n, 0)
}
