package scheduler

import (
	"time"

	"leadproxy/internal/wire"
)

// spending is what the machines cost over an interval, divided by what they were doing,
// in the cloud's currency. What a machine costs goes by cores to what uses them.
type spending struct {
	booting   float64 // machines without a heartbeat so far
	fetching  float64 // cores of tasks that wait for their image, or for the result of their start
	running   float64 // cores of tasks that run
	saving    float64 // cores of tasks that are being stopped
	partIdle  float64 // free cores of machines with tasks
	idle      float64 // machines without tasks
	returning float64 // machines whose deletion is requested
	lost      float64 // of running: what tasks had run that have to run again
}

// spendingLog is what the machines have cost since it was last logged.
type spendingLog struct {
	spent        spending
	accruedUntil time.Duration // as far as that is reckoned
	loggedAt     time.Duration
}

// The intervals of the accounting: how often the cost of all machines is added, and how often it
// is logged.
const (
	spendingInterval    = time.Second
	spendingLogInterval = 30 * time.Second
)

const secondsPerHour = 3600

// total is all that was spent.
func (s *spending) total() float64 {
	return s.booting + s.fetching + s.running + s.saving + s.partIdle + s.idle + s.returning
}

// pricePerSecond is what a machine costs at present.
func (a *autoscaling) pricePerSecond(m *machine) float64 {
	if m.typ < 0 {
		return 0
	}
	return a.types.list[m.typ].price(m.spot) / secondsPerHour
}

// accrueSpending adds what the machines have cost since the last time.
func (a *autoscaling) accrueSpending() {
	if a.clock.now-a.spending.accruedUntil < spendingInterval {
		return
	}
	elapsed := (a.clock.now - a.spending.accruedUntil).Seconds()
	a.spending.accruedUntil = a.clock.now
	for _, m := range a.machines.live {
		cost := a.pricePerSecond(m) * elapsed
		switch m.state {
		case machineStarting:
			a.spending.spent.booting += cost
		case machineUp:
			a.divideCost(m, cost)
		case machineDeleting:
			a.spending.spent.returning += cost
		case machineGone:
		}
	}
	if a.clock.now-a.spending.loggedAt >= spendingLogInterval {
		a.logSpending()
	}
}

// divideCost divides the cost of a machine that is up.
func (a *autoscaling) divideCost(m *machine, cost float64) {
	if len(m.capacity.allocations) == 0 || m.capacity.total.CPUs <= 0 {
		a.spending.spent.idle += cost
		return
	}
	free := cost
	for _, b := range m.capacity.allocations {
		share := cost * a.jobs.list[b.job].request.size.CPUs / m.capacity.total.CPUs
		free -= share
		switch {
		case b.stopping:
			a.spending.spent.saving += share
		case b.status == wire.TaskRunning:
			a.spending.spent.running += share
		default:
			a.spending.spent.fetching += share
		}
	}
	a.spending.spent.partIdle += max(free, 0)
}

// addLostWork counts what a task had run that has to run again.
func (a *autoscaling) addLostWork(m *machine, b *allocation) {
	j := a.jobs.list[b.job]
	if b.runningSince == 0 || m.capacity.total.CPUs <= 0 || j.ended() {
		return
	}
	a.spending.spent.lost += a.pricePerSecond(m) * j.request.size.CPUs / m.capacity.total.CPUs * (a.clock.now - b.runningSince).Seconds()
}

func (a *autoscaling) logSpending() {
	s := &a.spending.spent
	if s.total() > 0 {
		a.log.Info("spending", "seconds", (a.clock.now - a.spending.loggedAt).Seconds(), "total", s.total(), "booting", s.booting, "fetching", s.fetching,
			"running", s.running, "saving", s.saving, "part_idle", s.partIdle, "idle", s.idle, "returning", s.returning, "lost", s.lost, "machines", len(a.machines.live))
	}
	a.spending.spent, a.spending.loggedAt = spending{}, a.clock.now
}
