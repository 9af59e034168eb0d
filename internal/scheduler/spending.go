package scheduler

import (
	"time"

	"leadproxy/internal/wire"
)

// spending is what the machines cost over an interval, divided by what they were doing,
// in the cloud's currency. What a machine costs goes by cores to what uses them.
type spending struct {
	booting   float64 // machines that have not reported yet
	fetching  float64 // cores of tasks that wait for their image, or for word of their start
	running   float64 // cores of tasks that run
	saving    float64 // cores of tasks that are being stopped
	partIdle  float64 // free cores of machines with tasks
	idle      float64 // machines without tasks
	returning float64 // machines whose deletion is asked for
	lost      float64 // of running: what tasks had run that have to run again
}

// spendingLog is what the machines have cost since it was last logged.
type spendingLog struct {
	spent  spending
	until  time.Duration // as far as that is reckoned
	logged time.Duration
}

// The times of the reckoning: how often all machines are looked at for it, and how often
// it is logged.
const (
	spendEvery    = time.Second
	spendingEvery = 30 * time.Second
)

const secondsPerHour = 3600

// total is all that was spent.
func (s *spending) total() float64 {
	return s.booting + s.fetching + s.running + s.saving + s.partIdle + s.idle + s.returning
}

// pricePerSecond is what a machine costs at present.
func (c *Core) pricePerSecond(m *machine) float64 {
	if m.typ < 0 {
		return 0
	}
	return c.autoscaling.types[m.typ].price(m.spot) / secondsPerHour
}

// spend adds what the machines have cost since the last time.
func (c *Core) spend() {
	if c.clock.now-c.autoscaling.spending.until < spendEvery {
		return
	}
	elapsed := (c.clock.now - c.autoscaling.spending.until).Seconds()
	c.autoscaling.spending.until = c.clock.now
	for _, m := range c.machines.live {
		cost := c.pricePerSecond(m) * elapsed
		switch m.state {
		case machineStarting:
			c.autoscaling.spending.spent.booting += cost
		case machineUp:
			c.spendOn(m, cost)
		case machineDeleting:
			c.autoscaling.spending.spent.returning += cost
		case machineGone:
		}
	}
	if c.clock.now-c.autoscaling.spending.logged >= spendingEvery {
		c.logSpending()
	}
}

// spendOn divides the cost of a machine that is up.
func (c *Core) spendOn(m *machine, cost float64) {
	if len(m.capacity.allocations) == 0 || m.capacity.total.CPUs <= 0 {
		c.autoscaling.spending.spent.idle += cost
		return
	}
	free := cost
	for _, b := range m.capacity.allocations {
		share := cost * c.jobs.list[b.job].request.size.CPUs / m.capacity.total.CPUs
		free -= share
		switch {
		case b.stopping:
			c.autoscaling.spending.spent.saving += share
		case b.status == wire.TaskRunning:
			c.autoscaling.spending.spent.running += share
		default:
			c.autoscaling.spending.spent.fetching += share
		}
	}
	c.autoscaling.spending.spent.partIdle += max(free, 0)
}

// lostWork counts what a task had run that has to run again.
func (c *Core) lostWork(m *machine, b *allocation) {
	j := c.jobs.list[b.job]
	if b.runningSince == 0 || m.capacity.total.CPUs <= 0 || j.over() {
		return
	}
	c.autoscaling.spending.spent.lost += c.pricePerSecond(m) * j.request.size.CPUs / m.capacity.total.CPUs * (c.clock.now - b.runningSince).Seconds()
}

func (c *Core) logSpending() {
	s := &c.autoscaling.spending.spent
	if s.total() > 0 {
		c.log.Info("money spent", "seconds", (c.clock.now - c.autoscaling.spending.logged).Seconds(), "total", s.total(), "booting", s.booting, "fetching", s.fetching,
			"running", s.running, "saving", s.saving, "part_idle", s.partIdle, "idle", s.idle, "returning", s.returning, "lost", s.lost, "machines", len(c.machines.live))
	}
	c.autoscaling.spending.spent, c.autoscaling.spending.logged = spending{}, c.clock.now
}
