package autoscaler

import (
	"fmt"
	"math"
	"time"

	"leadproxy/internal/slowfit"
)

// Plan decides which machines to rent: for each group of queued tasks the pool with the least
// price per task, as far as pending machines don't have room for it; then the
// cheapest cores up to the learned demand.
func Plan(input PlanInput) []PlannedScaleOut {
	p := planner{PlanInput: &input, scaleOuts: map[CapacityPool]*PlannedScaleOut{}, machinesLeft: math.MaxInt32}
	if input.MaxMachines > 0 {
		p.machinesLeft = max(0, input.MaxMachines-input.MachineCount)
	}
	for i := range input.Queued {
		p.planGroup(&input.Queued[i])
	}
	p.planHeadroom()
	plan := make([]PlannedScaleOut, 0, len(p.order))
	for _, pool := range p.order {
		plan = append(plan, *p.scaleOuts[pool])
	}
	return plan
}

// planner is a plan in the making.
type planner struct {
	*PlanInput
	scaleOuts map[CapacityPool]*PlannedScaleOut
	order     []CapacityPool // of the scale-outs
	// machinesLeft is how many more machines there may be.
	machinesLeft int
	// queuedCoreSeconds is the work of the groups planned so far.
	queuedCoreSeconds float64
}

// requested is how many machines of a pool the plan has.
func (p *planner) requested(pool CapacityPool) int {
	if p.scaleOuts[pool] == nil {
		return 0
	}
	return p.scaleOuts[pool].Count
}

// request adds machines of a pool to the plan.
func (p *planner) request(pool CapacityPool, machines int, reason string) {
	if p.scaleOuts[pool] == nil {
		p.scaleOuts[pool] = &PlannedScaleOut{Pool: pool, Reason: reason}
		p.order = append(p.order, pool)
	}
	p.scaleOuts[pool].Count += machines
	p.machinesLeft -= machines
	p.ProvisionedCores += float64(machines) * p.Types[pool.Type].Total.CPUs
}

// planGroup plans machines for a group of tasks.
func (p *planner) planGroup(g *TaskGroup) {
	p.queuedCoreSeconds += float64(g.Count) * g.Size.CPUs * g.RunTime.Seconds()
	tasks := p.assignToPending(g)
	for tasks > 0 {
		s := p.groupScaleOut(g, tasks)
		machines := min(s.machines, p.machinesLeft)
		if machines <= 0 {
			return
		}
		p.request(s.pool, machines, fmt.Sprintf("%d tasks queued", g.Count))
		p.addPending(s.pool, machines, g.Size, tasks)
		tasks -= max(s.tasksCovered, 1)
	}
}

// assignToPending gives a group the room of pending machines, and returns how many of its
// tasks have none.
func (p *planner) assignToPending(g *TaskGroup) int {
	tasks := g.Count
	for i := range p.Pending {
		if tasks == 0 {
			break
		}
		machine := &p.Pending[i]
		if !g.Size.Within(machine.Free) || !g.Allows(machine.CapacityPool) {
			continue
		}
		assigned := min(tasks, g.Size.Slots(machine.Free))
		machine.Free = machine.Free.Minus(g.Size.Times(float64(assigned)))
		tasks -= assigned
	}
	return tasks
}

// addPending counts planned machines as pending, with tasks of a size on them.
func (p *planner) addPending(pool CapacityPool, machines int, size slowfit.Size, tasks int) {
	total := p.Types[pool.Type].Total
	slots := size.Slots(total)
	for range machines {
		assigned := min(tasks, slots)
		tasks -= assigned
		p.Pending = append(p.Pending, PendingMachine{CapacityPool: pool, Free: total.Minus(size.Times(float64(assigned)))})
	}
}

// planHeadroom plans the cheapest cores up to the learned demand. It takes one pool a plan:
// how many machines that has shows in the cloud's response.
func (p *planner) planHeadroom() {
	missingCores := p.HeadroomCores - p.ProvisionedCores
	for _, size := range p.HeadroomSizes {
		if missingCores <= 0 || p.machinesLeft <= 0 || size.CPUs <= 0 {
			continue
		}
		tasks := int(math.Ceil(missingCores / size.CPUs))
		best, found := p.cheapest(size, tasks, func(pool CapacityPool) bool { return pool.Spot })
		if !found {
			continue
		}
		wanted := int(missingCores/p.Types[best.Type].Total.CPUs + 0.5)
		if machines := min(wanted, p.machinesLeft, best.maxCount()-p.requested(best.CapacityPool)); machines > 0 {
			p.request(best.CapacityPool, machines, fmt.Sprintf("headroom of %.0f cores for the learned demand", p.HeadroomCores))
		}
		return
	}
}

// groupScaleOut is what to rent for a group of tasks; no machines if nothing.
type groupScaleOut struct {
	pool     CapacityPool
	machines int
	// tasksCovered is how many of the tasks need no further machines then.
	tasksCovered int
}

// groupScaleOut decides what to rent for those of a group's tasks that have no room.
func (p *planner) groupScaleOut(g *TaskGroup, tasks int) groupScaleOut {
	spotIfAllowed := func(pool CapacityPool) bool { return g.Allows(pool) && (pool.Spot || !g.Allows(pool.spotPool())) }
	if best, found := p.cheapest(g.Size, tasks, spotIfAllowed); found {
		return p.sizeScaleOut(g, &best, tasks, tasks)
	}
	// On-demand machines cost a multiple. They are rented when the running and pending
	// ones would not get through in time, and as many as make up for that.
	best, found := p.cheapest(g.Size, tasks, g.Allows)
	if !found {
		return groupScaleOut{}
	}
	late := p.lateTasks(g, p.Types[best.Type].BootTime)
	if late == 0 {
		return groupScaleOut{}
	}
	return p.sizeScaleOut(g, &best, tasks, min(tasks, late))
}

// lateWaitBootTimes is how long, in boot times of a new machine, tasks may wait that no new machine
// would bring in on time.
const lateWaitBootTimes = 4

// lateTasks is how many tasks' worth of cores the running and pending machines lack to get
// through a group, and those before it, in time.
func (p *planner) lateTasks(g *TaskGroup, boot time.Duration) int {
	seconds := g.Slack.Seconds()
	if g.Slack < boot {
		// No new machine brings these in on time. They still should not wait without
		// end.
		seconds = lateWaitBootTimes * boot.Seconds()
	}
	missingCores := p.queuedCoreSeconds/seconds - p.availableCores(g, seconds)
	if missingCores <= 0 {
		return 0
	}
	const minCores = 1e-3 // of a task, so that the division has a bound
	return int(math.Ceil(missingCores / max(g.Size.CPUs, minCores)))
}

// sizeScaleOut decides how many machines of a pool to rent so that some of the tasks get room.
// Tasks shorter than a boot are mostly served by turnover before a new machine is up.
func (p *planner) sizeScaleOut(g *TaskGroup, pool *PricedPool, tasks, wanted int) groupScaleOut {
	boot := p.Types[pool.Type].BootTime
	notTurnedOver := min(1, g.RunTime.Seconds()/max(boot.Seconds(), 1))
	slots := p.slots(pool.CapacityPool, g.Size)
	needed := (int(math.Ceil(float64(wanted)*notTurnedOver)) + slots - 1) / slots
	machines := min(needed, pool.maxCount()-p.requested(pool.CapacityPool))
	if machines == needed {
		return groupScaleOut{pool: pool.CapacityPool, machines: machines, tasksCovered: tasks}
	}
	return groupScaleOut{pool: pool.CapacityPool, machines: machines, tasksCovered: int(float64(machines*slots) / notTurnedOver)}
}

// expectedLifetime is how long a machine is assumed to be of use once it is up, for
// weighing its boot time.
const expectedLifetime = 3 * time.Minute

// cheapest finds the pool with the least price per task slot. Slots beyond
// the number of tasks count for nothing, nor do pools of which the plan has
// all that may be requested.
func (p *planner) cheapest(size slowfit.Size, tasks int, allows func(CapacityPool) bool) (PricedPool, bool) {
	var best PricedPool
	least := math.Inf(1)
	for _, pool := range p.Pools {
		slots := p.slots(pool.CapacityPool, size)
		if slots == 0 || p.requested(pool.CapacityPool) >= pool.maxCount() || !allows(pool.CapacityPool) {
			continue
		}
		// Booting is paid for as well: a type that is up sooner is worth more.
		bootCost := 1 + p.Types[pool.Type].BootTime.Seconds()/expectedLifetime.Seconds()
		if cost := pool.Price * bootCost / float64(min(slots, max(tasks, 1))); cost < least {
			best, least = pool, cost
		}
	}
	return best, !math.IsInf(least, 1)
}
