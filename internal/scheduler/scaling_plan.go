package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/scheduler/quota"
)

// Bounds on capacity planning.
const (
	planInterval     = 500 * time.Millisecond
	maxOpenScaleOuts = 8 // scale-outs that await a result at once
)

// capacityPlanner periodically returns machines that are not needed, and rents machines for queued
// tasks and headroom. It owns only the time of its next plan.
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

// planDue plans scale-in and scale-out if planInterval has passed and the machine types are known.
func (p *capacityPlanner) planDue() {
	if p.clock.now < p.nextPlan || !p.types.known() {
		return
	}
	p.nextPlan = p.clock.now + planInterval
	p.scaleIns.deleteUnneeded()
	p.scaleOutMachines()
}

// scaleOutMachines rents machines for queued tasks and headroom.
func (p *capacityPlanner) scaleOutMachines() {
	open := len(p.scaleOuts.awaitingResult())
	for _, planned := range autoscaler.Plan(p.planInput()) {
		for ; planned.Count > 0; planned.Count -= autoscaler.MaxScaleOut {
			if open >= maxOpenScaleOuts {
				return
			}
			p.scaleOuts.start(planned)
			open++
		}
	}
}

// planInput builds the input for planning scale-outs from the current state.
func (p *capacityPlanner) planInput() autoscaler.PlanInput {
	input := autoscaler.PlanInput{MaxMachines: p.cfg.Operator.MaxMachines, HeadroomSizes: p.demand.headroomSizes(), HeadroomCores: p.demand.headroomCores()}
	p.addPools(&input)
	p.addMachines(&input)
	p.addScaleOuts(&input)
	p.addQueued(&input)
	return input
}

// addPools adds the machine types, and the capacity pools that are not in back-off.
func (p *capacityPlanner) addPools(input *autoscaler.PlanInput) {
	for i := range p.types.list {
		input.Types = append(input.Types, autoscaler.MachineType{Total: p.types.list[i].total, BootTime: p.types.list[i].bootTime})
	}
	for pool, state := range p.pools.openPools() {
		input.Pools = append(input.Pools, autoscaler.PricedPool{CapacityPool: pool, Price: p.types.list[pool.Type].price(pool.Spot), MaxCount: state.maxCount()})
	}
}

// addMachines adds the machines that are up or starting.
func (p *capacityPlanner) addMachines(input *autoscaler.PlanInput) {
	input.MachineCount += p.machines.count()
	for _, m := range p.machines.live {
		if !p.agents.countsAsCapacity(m) {
			continue
		}
		input.ProvisionedCores += m.capacity.total.CPUs
		if m.trusted(p.term) {
			input.Running = append(input.Running, autoscaler.RunningMachine{CapacityPool: m.pool(), Index: m.index, BusyCoreSeconds: p.placement.remainingWork(m)})
		} else {
			input.Pending = append(input.Pending, autoscaler.PendingMachine{CapacityPool: m.pool(), Free: m.capacity.free})
		}
	}
}

// addScaleOuts adds the machines of scale-outs without a result.
func (p *capacityPlanner) addScaleOuts(input *autoscaler.PlanInput) {
	for _, scaleOut := range p.scaleOuts.awaitingResult() {
		if scaleOut.pool.Type < 0 {
			continue
		}
		total := p.types.list[scaleOut.pool.Type].total
		for range scaleOut.ledgerRecord.Request.Count {
			input.Pending = append(input.Pending, autoscaler.PendingMachine{CapacityPool: scaleOut.pool, Free: total})
			input.ProvisionedCores += total.CPUs
			input.MachineCount++
		}
	}
}

// addQueued adds the queued tasks in the order of the queue. A team's jobs share what its limit
// leaves. A suspect job counts with one task only.
func (p *capacityPlanner) addQueued(input *autoscaler.PlanInput) {
	used := make([]quota.Units, p.teams.Len())
	for i := range used {
		used[i] = p.teams.Team(int32(i)).Allocated()
	}
	for _, j := range p.placement.sortedQueue() {
		count := min(len(j.progress.waiting), p.teams.Team(j.request.team).AdditionalTasks(j.request.size, used[j.request.team]))
		used[j.request.team] = used[j.request.team].Plus(quota.UnitsOf(j.request.size).Times(count))
		if j.suspect() {
			count = min(count, 1)
		}
		if count > 0 {
			input.Queued = append(input.Queued, autoscaler.TaskGroup{Size: j.request.size, Count: count, RunTime: p.estimates.expectedRun(j), Slack: j.slack(p.clock.now),
				Overdue: j.startOverdue(p.clock.now),
				Avoids:  func(machine int32) bool { return j.avoids(machine, p.clock.now) },
				Allows:  func(pool autoscaler.CapacityPool) bool { return p.types.allowsNextIn(j, pool) }})
		}
	}
}

// canScaleOut reports whether machines are starting or could be requested. Before the machine types are
// known, that can't be ruled out.
func (p *capacityPlanner) canScaleOut() bool {
	if !p.types.known() || len(p.scaleOuts.awaitingResult()) > 0 {
		return true
	}
	if slices.ContainsFunc(p.machines.live, func(m *machine) bool { return m.state == machineStarting && m.typeIndex >= 0 }) {
		return true
	}
	if limit := p.cfg.Operator.MaxMachines; limit > 0 && p.machines.count() >= limit {
		return false
	}
	return p.pools.anyPoolOpen()
}
