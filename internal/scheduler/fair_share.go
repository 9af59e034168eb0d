package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Priority and slack alone would let a lasting overload of urgent work starve
// the rest, and a job whose tasks are large wait for ever while small ones fill
// every gap. Two bounded exceptions go before the order of the queue:
//
//   - Ageing: the first task of a job that has waited agedAfter goes first, the
//     oldest job before others. Where it fits nowhere, the machine that will be
//     free soonest is kept free for it. This costs one task for each such job,
//     and never more than a heldPart of the machines.
//   - Shares: a class, and a team, with tasks that wait is entitled to a part of the
//     open cores. All classes together are entitled to a reservedPart, and all teams.
const (
	beginWithin  = 4 * time.Minute // when every job should have begun
	agedAfter    = beginWithin / 4
	heldPart     = 16
	reservedPart = 0.25
)

// placeAged starts the first tasks of jobs that have waited too long.
func (c *Core) placeAged(queue []*job, uncertain []units) {
	c.placeReserved(uncertain)
	var aged []*job
	for _, j := range queue {
		if !j.startedOnce && j.booked == 0 && j.reservedMachine == nil && c.now-j.arrived >= agedAfter {
			aged = append(aged, j)
		}
	}
	slices.SortStableFunc(aged, func(a, b *job) int { return cmp.Compare(a.arrived, b.arrived) })
	for _, j := range aged {
		if c.placeJob(j, uncertain, func(placed int) bool { return placed == 0 }) == 0 && c.withinLimit(j, uncertain) {
			c.reserve(j)
		}
	}
}

// reserve keeps the machine free for a job's first task on which the least is left
// to do.
func (c *Core) reserve(j *job) {
	if len(c.reservingJobs) > 0 && len(c.reservingJobs) >= len(c.liveMachines)/heldPart || j.reservationSoughtAt > 0 && c.now-j.reservationSoughtAt < time.Second {
		return
	}
	j.reservationSoughtAt = c.now
	var best *machine
	least := 0.0
	for _, m := range c.liveMachines {
		if !m.schedulable || m.reserved || !j.allows(m.typ, m.zone, m.spot) || j.failedOn[m.index] || !j.size.Within(m.total) {
			continue
		}
		if left := c.busy(m); best == nil || left < least {
			best, least = m, left
		}
	}
	if best == nil {
		return
	}
	c.log.Info("machine kept free for a job that has waited long", "machine", best.name, "job", j.id, "waited", (c.now - j.arrived).Seconds(), "core_seconds_left", least)
	best.reserved, j.reservedMachine = true, best
	c.reservingJobs = append(c.reservingJobs, j)
	c.refresh(best)
}

// placeReserved starts the jobs whose machine has become free enough, and gives up
// what is no longer to be kept.
func (c *Core) placeReserved(uncertain []units) {
	c.reservingJobs = slices.DeleteFunc(c.reservingJobs, func(j *job) bool {
		m := j.reservedMachine
		waits := !j.startedOnce && j.booked == 0 && j.placeable(c.now)
		if waits && m.schedulable && !j.size.Within(m.free) {
			return false
		}
		m.reserved, j.reservedMachine = false, nil
		if waits && m.schedulable && c.withinLimit(j, uncertain) {
			c.startOn(j, m)
		}
		c.refresh(m)
		return true
	})
}

// placeUnderserved starts tasks of classes and teams that have less than their share
// of the open cores.
func (c *Core) placeUnderserved(queue []*job, uncertain []units) {
	classes, teams := map[int32]bool{}, map[int32]bool{}
	for _, j := range c.activeJobs {
		if !j.over() && !j.blocked() {
			classes[j.class], teams[j.team] = true, true
		}
	}
	if len(classes) < 2 && len(teams) < 2 {
		return
	}
	part := reservedPart * c.openCores
	for _, j := range queue {
		c.placeJob(j, uncertain, func(int) bool {
			class := c.coresByClass[j.class]+j.size.CPUs <= part/float64(len(classes))
			team := float64(c.teams[j.team].booked.cpus)/perUnit+j.size.CPUs <= part/float64(len(teams))
			return class || team
		})
	}
}

// ageBucket ranks jobs of one priority: first those that have waited longer than
// every job should, so that each gets its turn, the longer the sooner; then those
// that can meet their deadline; then those that can't any more.
func (c *Core) ageBucket(j *job) time.Duration {
	switch age := c.now - j.arrived; {
	case age >= beginWithin:
		return -age
	case j.deadline != never && j.deadline-c.now < c.expectedRun(j):
		return turnLate
	}
	return turnInTime
}

// The turns of jobs that have not waited long.
const (
	turnInTime = 1
	turnLate   = 2
)

// workLeft is what a job's waiting tasks ask for, in core-seconds. Where there is
// not room for all, as in the first minutes of a day, by slack alone one large
// job makes many small ones late; the least work first leaves fewer late. As long
// as all that wait can be in time, the time that is left decides.
func (c *Core) workLeft(j *job) float64 {
	return float64(len(j.waiting)) * j.size.CPUs * c.expectedRun(j).Seconds()
}
