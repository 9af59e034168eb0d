package autoscaler

import (
	"time"

	"leadproxy/internal/slowfit"
)

// CapacityPool identifies what machines are rented from: a type in a zone, spot or on demand. Type
// and Zone are indices assigned by the caller.
type CapacityPool struct {
	Type, Zone int32
	Spot       bool
}

// PricedPool is a pool with its current price.
type PricedPool struct {
	CapacityPool
	Price float64 // per machine and hour
	// MaxCount is the number of machines that may be requested at once. 0 means MaxScaleOut.
	MaxCount int
}

// maxCount returns the number of machines that may be requested at once.
func (p *PricedPool) maxCount() int {
	if p.MaxCount == 0 {
		return MaxScaleOut
	}
	return p.MaxCount
}

// MachineType is the part of a machine type that planning uses.
type MachineType struct {
	Total    slowfit.Size
	BootTime time.Duration
}

// PendingMachine is a machine that is rented but not yet up.
type PendingMachine struct {
	CapacityPool
	Free slowfit.Size
}

// RunningMachine is a machine that is up.
type RunningMachine struct {
	CapacityPool
	Index int32 // assigned by the caller
	// BusyCoreSeconds is the remaining work of the tasks on the machine, in core-seconds.
	BusyCoreSeconds float64
}

// spotPool returns the spot pool of the same type and zone.
func (p CapacityPool) spotPool() CapacityPool { return CapacityPool{p.Type, p.Zone, true} }

// TaskGroup is a number of equal queued tasks that no current machine has the free resources for.
type TaskGroup struct {
	Size    slowfit.Size
	Count   int
	RunTime time.Duration
	Slack   time.Duration // how long its tasks may wait and still meet the deadline
	// Overdue is set if none of its tasks has started although they have waited too long.
	Overdue bool
	Allows  func(CapacityPool) bool
	// Avoids, unless nil, reports whether its tasks do not start on a running machine.
	Avoids func(machine int32) bool
}

// Lower bounds of what a task is counted with, so that no amount turns its work into nothing.
const (
	minTaskCores   = 1e-3
	minTaskRunTime = time.Millisecond
)

// cores returns the cores of a task, at least minTaskCores.
func (g *TaskGroup) cores() float64 { return max(g.Size.CPUs, minTaskCores) }

// runTime returns the expected run time of a task, at least minTaskRunTime.
func (g *TaskGroup) runTime() time.Duration { return max(g.RunTime, minTaskRunTime) }

// work returns the expected work of the group, in core-seconds.
func (g *TaskGroup) work() float64 {
	return float64(g.Count) * g.cores() * g.runTime().Seconds()
}

// PlanInput is the input of Plan.
type PlanInput struct {
	Types            []MachineType
	Pools            []PricedPool
	Running          []RunningMachine
	Pending          []PendingMachine
	Queued           []TaskGroup // in the order of the queue
	ProvisionedCores float64     // of all running and pending machines
	MachineCount     int         // all machines that count against MaxMachines
	MaxMachines      int         // 0 for no limit
	HeadroomCores    float64     // cores to keep provisioned, with spot machines
	// HeadroomSizes are the task sizes that the headroom should hold, the most important first.
	// A later one is used only if no pool suits the earlier ones.
	HeadroomSizes []slowfit.Size
}

// PlannedScaleOut is a decision to rent machines from a pool.
type PlannedScaleOut struct {
	Pool   CapacityPool
	Count  int
	Reason string
}

// slots returns the number of tasks of a size that fit on an empty machine of a pool.
func (p *PlanInput) slots(pool CapacityPool, size slowfit.Size) int {
	return size.Slots(p.Types[pool.Type].Total)
}

// suits reports whether the machines of a pool can run the tasks of a group.
func (p *PlanInput) suits(pool CapacityPool, group *TaskGroup) bool {
	return group.Allows(pool) && p.slots(pool, group.Size) > 0
}

// minPendingShare is the smallest share of a pending machine's cores that counts as available,
// however long the machine takes to boot.
const minPendingShare = 0.2

// availableCores returns the cores that running and pending machines have available for a group, on
// average over the given number of seconds from now.
func (p *PlanInput) availableCores(group *TaskGroup, seconds float64) float64 {
	cores := 0.0
	for _, m := range p.Running {
		if p.suits(m.CapacityPool, group) && (group.Avoids == nil || !group.Avoids(m.Index)) {
			cores += max(0, p.Types[m.Type].Total.CPUs-m.BusyCoreSeconds/seconds)
		}
	}
	for _, m := range p.Pending {
		if p.suits(m.CapacityPool, group) {
			machineType := p.Types[m.Type]
			cores += machineType.Total.CPUs * max(minPendingShare, 1-machineType.BootTime.Seconds()/2/seconds)
		}
	}
	return cores
}
