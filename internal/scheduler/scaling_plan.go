package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/scheduler/quota"
)

// The interval and limit of the capacity plan.
const (
	planInterval     = 500 * time.Millisecond
	maxOpenScaleOuts = 8
)

// capacityPlanner plans the capacity at an interval: it has unneeded machines returned and those
// that waiting tasks and the headroom need requested. It owns only when it plans next.
type capacityPlanner struct {
	cfg       *Config
	term      uint64
	clock     *clock
	types     *machineTypes
	estimates *runEstimates
	teams     *quota.Teams
	machines  *machineTable
	agents    *agents
	placement *placement
	pools     *capacityPools
	demand    *learnedDemand
	scaleOuts *scaleOutRequests
	scaleIns  *scaleInRequests

	nextPlan time.Duration
}

func newCapacityPlanner(c *Core) capacityPlanner {
	return capacityPlanner{cfg: &c.cfg, term: c.term, clock: &c.clock, types: &c.types, estimates: &c.estimates,
		teams: &c.teams, machines: &c.machines, agents: &c.agents, placement: &c.placement,
		pools: &c.pools, demand: &c.demand, scaleOuts: &c.scaleOuts, scaleIns: &c.scaleIns}
}

// planDue plans the capacity if that is due.
func (p *capacityPlanner) planDue() {
	if p.clock.now < p.nextPlan || len(p.types.list) == 0 {
		return
	}
	p.nextPlan = p.clock.now + planInterval
	p.scaleIns.deleteUnneeded()
	p.scaleOutMachines()
}

// scaleOutMachines requests what waiting tasks need and what is to be kept as headroom.
func (p *capacityPlanner) scaleOutMachines() {
	open := len(p.scaleOuts.awaitingResult())
	for _, w := range autoscaler.Plan(p.planInput()) {
		for ; w.Count > 0; w.Count -= autoscaler.MaxScaleOut {
			if open >= maxOpenScaleOuts {
				return
			}
			p.scaleOuts.start(w)
			open++
		}
	}
}

// planInput describes the situation for which scale-outs are planned.
func (p *capacityPlanner) planInput() autoscaler.PlanInput {
	s := autoscaler.PlanInput{MaxMachines: p.cfg.Operator.MaxMachines, HeadroomSizes: p.demand.headroomSizes(), HeadroomCores: p.demand.headroomCores()}
	p.addPools(&s)
	p.addMachines(&s)
	p.addScaleOuts(&s)
	p.addQueued(&s)
	return s
}

// addPools lists the machine types and the capacity pools that may be used.
func (p *capacityPlanner) addPools(s *autoscaler.PlanInput) {
	for i := range p.types.list {
		s.Types = append(s.Types, autoscaler.MachineType{Total: p.types.list[i].total, BootTime: p.types.list[i].bootTime})
	}
	for o, st := range p.pools.openPools() {
		s.Pools = append(s.Pools, autoscaler.PricedPool{CapacityPool: o, Price: p.types.list[o.Type].price(o.Spot), MaxCount: st.maxCount()})
	}
}

// addMachines counts the machines that are up or coming.
func (p *capacityPlanner) addMachines(s *autoscaler.PlanInput) {
	s.MachineCount += p.machines.count()
	for _, m := range p.machines.live {
		if !p.agents.countsAsCapacity(m) {
			continue
		}
		s.ProvisionedCores += m.capacity.total.CPUs
		o := autoscaler.CapacityPool{Type: m.typeIndex, Zone: m.zone, Spot: m.spot}
		if m.trusted(p.term) {
			s.Running = append(s.Running, autoscaler.RunningMachine{CapacityPool: o, BusyCoreSeconds: p.placement.remainingWork(m)})
		} else {
			s.Pending = append(s.Pending, autoscaler.PendingMachine{CapacityPool: o, Free: m.capacity.free})
		}
	}
}

// addScaleOuts counts the machines of scale-outs without a result.
func (p *capacityPlanner) addScaleOuts(s *autoscaler.PlanInput) {
	for _, h := range p.scaleOuts.awaitingResult() {
		if h.pool.Type < 0 {
			continue
		}
		total := p.types.list[h.pool.Type].total
		for range h.ledgerRecord.Request.Count {
			s.Pending = append(s.Pending, autoscaler.PendingMachine{CapacityPool: h.pool, Free: total})
			s.ProvisionedCores += total.CPUs
			s.MachineCount++
		}
	}
}

// addQueued lists the tasks that wait, in the order of the queue. What a team's limit leaves
// is shared by all its waiting jobs.
func (p *capacityPlanner) addQueued(s *autoscaler.PlanInput) {
	used := make([]quota.Units, p.teams.Len())
	for i := range used {
		used[i] = p.teams.Team(int32(i)).Allocated()
	}
	for _, j := range p.placement.sortedQueue() {
		p.placement.resolveTypes(j)
		n := min(len(j.progress.waiting), p.teams.Team(j.request.team).AdditionalTasks(j.request.size, used[j.request.team]))
		used[j.request.team] = used[j.request.team].Plus(quota.UnitsOf(j.request.size).Times(n))
		if j.suspect() {
			n = min(n, 1)
		}
		if n > 0 {
			s.Queued = append(s.Queued, autoscaler.TaskGroup{Size: j.request.size, Count: n, RunTime: p.estimates.expectedRun(j), Slack: j.slack(p.clock.now),
				Allows: func(o autoscaler.CapacityPool) bool { return j.allowsMachine(o.Type, o.Zone, o.Spot) }})
		}
	}
}

// canScaleOut tells whether machines are coming or could be requested.
func (p *capacityPlanner) canScaleOut() bool {
	if len(p.scaleOuts.awaitingResult()) > 0 {
		return true
	}
	if slices.ContainsFunc(p.machines.live, func(m *machine) bool { return m.state == machineStarting && m.typeIndex >= 0 }) {
		return true
	}
	if most := p.cfg.Operator.MaxMachines; most > 0 && p.machines.count() >= most {
		return false
	}
	return p.pools.anyPoolOpen()
}
