package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/wire"
)

// costs is what the machines cost over an interval, divided by what they were doing,
// in the cloud's currency. What a machine costs is charged by cores to what uses them.
type costs struct {
	booting   float64 // machines without a heartbeat so far
	fetching  float64 // cores of tasks that wait for their image, or for the result of their start
	running   float64 // cores of tasks that run
	stopping  float64 // cores of tasks that are being stopped
	partIdle  float64 // free cores of machines with tasks
	idle      float64 // machines without tasks
	returning float64 // machines whose deletion is requested
	lost      float64 // of running: what tasks had run that have to run again
}

// spending is what the machines have cost since it was last logged.
type spending struct {
	clock    *clock
	log      *slog.Logger
	types    *machineTypes
	jobs     *jobTable
	machines *machineTable

	spent        costs
	accruedUntil time.Duration // as far as that is reckoned
	loggedAt     time.Duration
}

func newSpending(c *Core) spending {
	return spending{clock: &c.clock, log: c.log, types: &c.types, jobs: &c.jobs, machines: &c.machines,
		accruedUntil: c.clock.now, loggedAt: c.clock.now}
}

// The intervals of the accounting: how often the cost of all machines is added, and how often it
// is logged.
const (
	spendingInterval    = time.Second
	spendingLogInterval = 30 * time.Second
)

const secondsPerHour = 3600

// total is all that was spent.
func (s *costs) total() float64 {
	return s.booting + s.fetching + s.running + s.stopping + s.partIdle + s.idle + s.returning
}

// pricePerSecond is what a machine costs at present.
func (s *spending) pricePerSecond(m *machine) float64 {
	if m.typeIndex < 0 {
		return 0
	}
	return s.types.list[m.typeIndex].price(m.spot) / secondsPerHour
}

// accrue adds what the machines have cost since the last time.
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

// attributeCost divides the cost of a machine that is up.
func (s *spending) attributeCost(m *machine, cost float64) {
	if len(m.capacity.allocations) == 0 || m.capacity.total.CPUs <= 0 {
		s.spent.idle += cost
		return
	}
	free := cost
	for _, b := range m.capacity.allocations {
		share := cost * s.jobs.list[b.job].request.size.CPUs / m.capacity.total.CPUs
		free -= share
		switch {
		case b.stopping:
			s.spent.stopping += share
		case b.status == wire.TaskRunning:
			s.spent.running += share
		default:
			s.spent.fetching += share
		}
	}
	s.spent.partIdle += max(free, 0)
}

// addLostWork counts what a task had run that has to run again.
func (s *spending) addLostWork(m *machine, b *allocation) {
	j := s.jobs.list[b.job]
	if b.runningSince == 0 || m.capacity.total.CPUs <= 0 || j.ended() {
		return
	}
	s.spent.lost += s.pricePerSecond(m) * j.request.size.CPUs / m.capacity.total.CPUs * (s.clock.now - b.runningSince).Seconds()
}

// logAndReset logs what was spent, and begins anew.
func (s *spending) logAndReset() {
	if spent := &s.spent; spent.total() > 0 {
		s.log.Info("spending", "seconds", (s.clock.now - s.loggedAt).Seconds(), "total", spent.total(), "booting", spent.booting, "fetching", spent.fetching,
			"running", spent.running, "saving", spent.stopping, "part_idle", spent.partIdle, "idle", spent.idle, "returning", spent.returning, "lost", spent.lost, "machines", len(s.machines.live))
	}
	s.spent, s.loggedAt = costs{}, s.clock.now
}
