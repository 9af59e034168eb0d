package autoscaler

import (
	"time"

	"leadproxy/internal/slowfit"
)

// CapacityPool is what machines are rented from: a type, in a zone, spot or on demand. Types
// and zones are the caller's indices.
type CapacityPool struct {
	Type, Zone int32
	Spot       bool
}

// PricedPool is a pool at its present price per hour.
type PricedPool struct {
	CapacityPool
	Price float64
	// MaxCount is how many may be requested at once; 0: one call's worth.
	MaxCount int
}

// maxCount is how many may be requested at once.
func (p *PricedPool) maxCount() int {
	if p.MaxCount == 0 {
		return MaxScaleOut
	}
	return p.MaxCount
}

// MachineType is a machine type as planning sees it.
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
	// BusyCoreSeconds is the core-seconds that are left of what runs there.
	BusyCoreSeconds float64
}

// spotPool is the pool with the same machines as spot ones.
func (p CapacityPool) spotPool() CapacityPool { return CapacityPool{p.Type, p.Zone, true} }

// TaskGroup is a number of equal tasks that no present machine has room for.
type TaskGroup struct {
	Size    slowfit.Size
	Count   int
	RunTime time.Duration
	Slack   time.Duration // how long it may wait and still end in time
	Allows  func(CapacityPool) bool
}

// PlanInput is what a plan is made from.
type PlanInput struct {
	Types            []MachineType
	Pools            []PricedPool
	Running          []RunningMachine
	Pending          []PendingMachine
	Queued           []TaskGroup // in the order of the queue
	ProvisionedCores float64     // of all machines, running and pending
	MachineCount     int
	MaxMachines      int     // 0: no bound
	HeadroomCores    float64 // cores worth keeping, with spot machines
	// HeadroomSizes are what the headroom should hold, the most wanted first. A later
	// one counts only when no pool suits those before.
	HeadroomSizes []slowfit.Size
}

// PlannedScaleOut is a decision to rent machines.
type PlannedScaleOut struct {
	Pool   CapacityPool
	Count  int
	Reason string
}

// slots is how many tasks of a size a machine of a pool holds.
func (s *PlanInput) slots(pool CapacityPool, size slowfit.Size) int {
	return size.Slots(s.Types[pool.Type].Total)
}

// suits tells whether the machines of a pool can run the tasks of a group.
func (s *PlanInput) suits(pool CapacityPool, g *TaskGroup) bool {
	return g.Allows(pool) && s.slots(pool, g.Size) > 0
}

// minPendingShare is the least share of a pending machine's cores that counts, however long it
// takes to boot.
const minPendingShare = 0.2

// availableCores is how many cores the running and pending machines that suit a group have for
// it, on the mean, within so many seconds.
func (s *PlanInput) availableCores(g *TaskGroup, seconds float64) float64 {
	cores := 0.0
	for _, m := range s.Running {
		if s.suits(m.CapacityPool, g) {
			cores += max(0, s.Types[m.Type].Total.CPUs-m.BusyCoreSeconds/seconds)
		}
	}
	for _, m := range s.Pending {
		if s.suits(m.CapacityPool, g) {
			machineType := s.Types[m.Type]
			cores += machineType.Total.CPUs * max(minPendingShare, 1-machineType.BootTime.Seconds()/2/seconds)
		}
	}
	return cores
}
