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

// costs is what the machines have cost since it was last logged.
type costs struct {
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
	return c.types[m.typ].price(m.spot) / secondsPerHour
}

// spend adds what the machines have cost since the last time.
func (c *Core) spend() {
	if c.now-c.costs.until < spendEvery {
		return
	}
	elapsed := (c.now - c.costs.until).Seconds()
	c.costs.until = c.now
	for _, m := range c.live {
		cost := c.pricePerSecond(m) * elapsed
		switch m.state {
		case machineBooting:
			c.costs.spent.booting += cost
		case machineUp:
			c.spendOn(m, cost)
		case machineDeleting:
			c.costs.spent.returning += cost
		case machineGone:
		}
	}
	if c.now-c.costs.logged >= spendingEvery {
		c.logSpending()
	}
}

// spendOn divides the cost of a machine that is up.
func (c *Core) spendOn(m *machine, cost float64) {
	if len(m.bookings) == 0 || m.total.CPUs <= 0 {
		c.costs.spent.idle += cost
		return
	}
	free := cost
	for _, b := range m.bookings {
		share := cost * c.jobs[b.job].size.CPUs / m.total.CPUs
		free -= share
		switch {
		case b.stopping:
			c.costs.spent.saving += share
		case b.status == wire.TaskRunning:
			c.costs.spent.running += share
		default:
			c.costs.spent.fetching += share
		}
	}
	c.costs.spent.partIdle += max(free, 0)
}

// lostWork counts what a task had run that has to run again.
func (c *Core) lostWork(m *machine, b *booking) {
	j := c.jobs[b.job]
	if b.ranSince == 0 || m.total.CPUs <= 0 || j.over() {
		return
	}
	c.costs.spent.lost += c.pricePerSecond(m) * j.size.CPUs / m.total.CPUs * (c.now - b.ranSince).Seconds()
}

func (c *Core) logSpending() {
	s := &c.costs.spent
	if s.total() > 0 {
		c.log.Info("money spent", "seconds", (c.now - c.costs.logged).Seconds(), "total", s.total(), "booting", s.booting, "fetching", s.fetching,
			"running", s.running, "saving", s.saving, "part_idle", s.partIdle, "idle", s.idle, "returning", s.returning, "lost", s.lost, "machines", len(c.live))
	}
	c.costs.spent, c.costs.logged = spending{}, c.now
}
