package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/wire"
)

// costs is the cost of the machines over an interval, in the cloud's currency, by use. The cost of a
// machine that is up is attributed to its tasks in proportion to their cores.
type costs struct {
	booting   float64 // machines that have sent no heartbeat yet
	fetching  float64 // cores of tasks that wait for their image or for the result of their start
	running   float64 // cores of tasks that run
	stopping  float64 // cores of tasks that are being stopped
	partIdle  float64 // free cores of machines with tasks
	idle      float64 // machines without tasks
	returning float64 // machines whose deletion is requested
	lost      float64 // part of running: work of tasks that have to run again
}

// spending accumulates the cost of the machines since it was last logged.
type spending struct {
	clock    *clock
	log      *slog.Logger
	types    *machineTypes
	jobs     *jobTable
	machines *machineTable

	spent        costs
	accruedUntil time.Duration // end of the interval that spent covers
	loggedAt     time.Duration
}

func newSpending(c *Core) spending {
	return spending{clock: &c.clock, log: c.log, types: &c.types, jobs: &c.jobs, machines: &c.machines,
		accruedUntil: c.clock.now, loggedAt: c.clock.now}
}

// The intervals at which the cost of all machines is added up and logged.
const (
	spendingInterval    = time.Second
	spendingLogInterval = 30 * time.Second
)

const secondsPerHour = 3600

// total returns the sum of all uses. lost is contained in running.
func (s *costs) total() float64 {
	return s.booting + s.fetching + s.running + s.stopping + s.partIdle + s.idle + s.returning
}

// pricePerSecond returns the current price of a machine per second, 0 if its type is unknown.
func (s *spending) pricePerSecond(m *machine) float64 {
	if m.typeIndex < 0 {
		return 0
	}
	return s.types.list[m.typeIndex].price(m.spot) / secondsPerHour
}

// accrue adds the cost of the machines since the last call, at most once per spendingInterval.
func (s *spending) accrue() {
	if s.clock.now-s.accruedUntil < spendingInterval {
		return
	}
	elapsed := (s.clock.now - s.accruedUntil).Seconds()
	s.accruedUntil = s.clock.now
	for _, m := range s.machines.live {
		cost := s.pricePerSecond(m) * elapsed
		switch m.state {
		case machineStarting:
			s.spent.booting += cost
		case machineUp:
			s.attributeCost(m, cost)
		case machineDeleting:
			s.spent.returning += cost
		case machineGone:
		}
	}
	if s.clock.now-s.loggedAt >= spendingLogInterval {
		s.logAndReset()
	}
}

// attributeCost attributes the cost of a machine that is up to its tasks and its free cores.
func (s *spending) attributeCost(m *machine, cost float64) {
	if len(m.capacity.allocations) == 0 || m.capacity.total.CPUs <= 0 {
		s.spent.idle += cost
		return
	}
	free := cost
	for _, alloc := range m.capacity.allocations {
		share := cost * s.jobs.list[alloc.job].request.size.CPUs / m.capacity.total.CPUs
		free -= share
		switch {
		case alloc.stopping:
			s.spent.stopping += share
		case alloc.status == wire.TaskRunning:
			s.spent.running += share
		default:
			s.spent.fetching += share
		}
	}
	s.spent.partIdle += max(free, 0)
}

// addLostWork adds the cost of the work of a task that has to run again.
func (s *spending) addLostWork(m *machine, alloc *allocation) {
	j := s.jobs.list[alloc.job]
	if alloc.runningSince == 0 || m.capacity.total.CPUs <= 0 || j.ended() {
		return
	}
	s.spent.lost += s.pricePerSecond(m) * j.request.size.CPUs / m.capacity.total.CPUs * (s.clock.now - alloc.runningSince).Seconds()
}

// logAndReset logs the accumulated costs, if there are any, and resets them.
func (s *spending) logAndReset() {
	if spent := &s.spent; spent.total() > 0 {
		s.log.Info("spending", "seconds", (s.clock.now - s.loggedAt).Seconds(), "total", spent.total(), "booting", spent.booting, "fetching", spent.fetching,
			"running", spent.running, "saving", spent.stopping, "part_idle", spent.partIdle, "idle", spent.idle, "returning", spent.returning, "lost", spent.lost, "machines", len(s.machines.live))
	}
	s.spent, s.loggedAt = costs{}, s.clock.now
}
