package autoscaler

import (
	"fmt"
	"math"
	"time"

	"leadproxy/internal/slowfit"
)

// Plan decides which machines to rent. Tasks in the queue that don't fit on pending machines get
// machines from the pool with the lowest price per task. After that, it rents the cheapest cores up
// to the headroom for the learned demand.
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

// planner is the state of a plan while it is computed.
type planner struct {
	*PlanInput
	scaleOuts map[CapacityPool]*PlannedScaleOut
	order     []CapacityPool // keys of scaleOuts in the order in which they were added
	// machinesLeft is the number of machines that may still be rented.
	machinesLeft int
	// queuedCoreSeconds is the work of the groups planned so far, including the current one.
	queuedCoreSeconds float64
}

// requested returns the number of machines of a pool in the plan.
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
func (p *planner) planGroup(group *TaskGroup) {
	p.queuedCoreSeconds += group.work()
	tasks := p.assignToPending(group)
	for tasks > 0 {
		scaleOut := p.groupScaleOut(group, tasks)
		machines := min(scaleOut.machines, p.machinesLeft)
		if machines <= 0 {
			return
		}
		p.request(scaleOut.pool, machines, fmt.Sprintf("%d tasks queued", group.Count))
		p.addPending(scaleOut.pool, machines, group.Size, tasks)
		tasks -= max(scaleOut.tasksCovered, 1)
	}
}

// assignToPending assigns tasks of a group to the free resources of pending machines, and returns the
// number of tasks that did not fit.
func (p *planner) assignToPending(group *TaskGroup) int {
	tasks := group.Count
	for i := range p.Pending {
		if tasks == 0 {
			break
		}
		machine := &p.Pending[i]
		if !group.Size.Within(machine.Free) || !group.Allows(machine.CapacityPool) {
			continue
		}
		assigned := min(tasks, group.Size.Slots(machine.Free))
		machine.Free = machine.Free.Minus(group.Size.Times(float64(assigned)))
		tasks -= assigned
	}
	return tasks
}

// addPending adds planned machines to the pending ones, with tasks of the given size assigned to them.
func (p *planner) addPending(pool CapacityPool, machines int, size slowfit.Size, tasks int) {
	total := p.Types[pool.Type].Total
	slots := size.Slots(total)
	for range machines {
		assigned := min(tasks, slots)
		tasks -= assigned
		p.Pending = append(p.Pending, PendingMachine{CapacityPool: pool, Free: total.Minus(size.Times(float64(assigned)))})
	}
}

// planHeadroom plans the cheapest cores up to the headroom. It uses one pool per plan, because only
// the cloud's response shows how many machines that pool has.
func (p *planner) planHeadroom() {
	missingCores := p.HeadroomCores - p.ProvisionedCores
	for _, size := range p.HeadroomSizes {
		if missingCores <= 0 || p.machinesLeft <= 0 || size.CPUs <= 0 {
			continue
		}
		tasks := atMost(math.Ceil(missingCores/size.CPUs), math.MaxInt32)
		best, found := p.cheapest(size, tasks, func(pool CapacityPool) bool { return pool.Spot })
		if !found {
			continue
		}
		wanted := atMost(missingCores/p.Types[best.Type].Total.CPUs+0.5, math.MaxInt32)
		if machines := min(wanted, p.machinesLeft, best.maxCount()-p.requested(best.CapacityPool)); machines > 0 {
			p.request(best.CapacityPool, machines, fmt.Sprintf("headroom of %.0f cores for the learned demand", p.HeadroomCores))
		}
		return
	}
}

// groupScaleOut is the machines to rent for a group of tasks. machines is 0 if there are none.
type groupScaleOut struct {
	pool     CapacityPool
	machines int
	// tasksCovered is the number of tasks that need no further machines.
	tasksCovered int
}

// groupScaleOut decides which machines to rent for the tasks of a group that don't fit on pending
// machines.
func (p *planner) groupScaleOut(group *TaskGroup, tasks int) groupScaleOut {
	spotIfAllowed := func(pool CapacityPool) bool {
		return group.Allows(pool) && (pool.Spot || !group.Allows(pool.spotPool()))
	}
	if best, found := p.cheapest(group.Size, tasks, spotIfAllowed); found {
		return p.sizeScaleOut(group, &best, tasks, tasks)
	}
	// On-demand machines cost a multiple of spot machines. They are rented only if the running and
	// pending machines would not finish the tasks in time, and only as many as are missing.
	best, found := p.cheapest(group.Size, tasks, group.Allows)
	if !found {
		return groupScaleOut{}
	}
	late := p.lateTasks(group, p.Types[best.Type].BootTime)
	if late == 0 && group.Overdue && tasks == group.Count {
		// The machines that were expected to have room have none, and no pending one holds a task.
		late = 1
	}
	if late == 0 {
		return groupScaleOut{}
	}
	return p.sizeScaleOut(group, &best, tasks, min(tasks, late))
}

// lateWaitBootTimes is the longest wait of tasks that would be late even on a new machine, in boot
// times of that machine.
const lateWaitBootTimes = 4

// minBootTime is the lower bound of the boot time with which waits are compared.
const minBootTime = time.Second

// lateTasks returns the number of tasks of a group for which the running and pending machines lack
// the cores to finish the group and all groups before it in time.
func (p *planner) lateTasks(group *TaskGroup, bootTime time.Duration) int {
	bootTime = max(bootTime, minBootTime)
	seconds := group.Slack.Seconds()
	if group.Slack < bootTime {
		// These tasks would be late even on a new machine. They still must not wait
		// indefinitely.
		seconds = lateWaitBootTimes * bootTime.Seconds()
	}
	missingCores := p.queuedCoreSeconds/seconds - p.availableCores(group, seconds)
	return atMost(math.Ceil(missingCores/group.cores()), group.Count)
}

// sizeScaleOut decides how many machines of a pool to rent for wanted tasks of a group, at least one;
// tasks is the number of all its tasks without resources. Tasks that run shorter than a new machine
// boots count only in part, because most of them start on existing machines, as other tasks end
// there, before the new machine is up.
func (p *planner) sizeScaleOut(group *TaskGroup, pool *PricedPool, tasks, wanted int) groupScaleOut {
	bootTime := max(p.Types[pool.Type].BootTime, minBootTime)
	newMachineShare := min(1, group.runTime().Seconds()/bootTime.Seconds())
	slots := p.slots(pool.CapacityPool, group.Size)
	needed := (max(int(math.Ceil(float64(wanted)*newMachineShare)), 1) + slots - 1) / slots
	machines := min(needed, pool.maxCount()-p.requested(pool.CapacityPool))
	if machines == needed {
		return groupScaleOut{pool: pool.CapacityPool, machines: machines, tasksCovered: tasks}
	}
	return groupScaleOut{pool: pool.CapacityPool, machines: machines, tasksCovered: atMost(float64(machines*slots)/newMachineShare, tasks)}
}

// atMost converts a number to an integer from 0 to limit.
func atMost(number float64, limit int) int {
	return int(min(max(number, 0), float64(limit)))
}

// expectedLifetime is the assumed time that a machine is used once it is up. Boot times are weighed
// against it.
const expectedLifetime = 3 * time.Minute

// cheapest returns the allowed pool with the lowest price per task slot. Slots beyond the number of
// tasks don't count. Pools whose maximum is already in the plan are skipped. It returns false if no
// pool is left.
func (p *planner) cheapest(size slowfit.Size, tasks int, allows func(CapacityPool) bool) (PricedPool, bool) {
	var best PricedPool
	least := math.Inf(1)
	for _, pool := range p.Pools {
		slots := p.slots(pool.CapacityPool, size)
		if slots == 0 || p.requested(pool.CapacityPool) >= pool.maxCount() || !allows(pool.CapacityPool) {
			continue
		}
		// Boot time is charged as well, so a type that boots faster costs less.
		bootCost := 1 + p.Types[pool.Type].BootTime.Seconds()/expectedLifetime.Seconds()
		if cost := pool.Price * bootCost / float64(min(slots, max(tasks, 1))); cost < least {
			best, least = pool, cost
		}
	}
	return best, !math.IsInf(least, 1)
}
