package scheduler

import (
	"cmp"
	"slices"
	"time"

	"leadproxy/internal/scheduler/quota"
)

// Priority and slack alone would let a lasting overload of urgent work starve
// the rest, and a job whose tasks are large wait for ever while small ones fill
// every gap. Two bounded exceptions precede the order of the queue:
//
//   - Ageing: the first task of a job that has waited agedAfter is placed first, that of the
//     oldest job before others. Where it fits nowhere, the machine that will be
//     free soonest is reserved for it. This costs one task for each such job,
//     and never more than one of reservedMachinesDivisor machines.
//   - Shares: a class, and a team, with tasks that wait is entitled to a part of the
//     open cores. All classes together are entitled to a guaranteedShare, and all teams.
const (
	maxStartDelay           = 4 * time.Minute // when every job should have begun
	agedAfter               = maxStartDelay / 4
	reservedMachinesDivisor = 16
	guaranteedShare         = 0.25
)

// placeAged starts the first tasks of jobs that have waited too long.
func (p *placement) placeAged(queue []*job, uncertain []quota.Units) {
	p.placeReserved(uncertain)
	var aged []*job
	for _, j := range queue {
		if !j.progress.startedOnce && j.progress.allocated == 0 && j.placement.reservedMachine == nil && p.clock.now-j.priority.arrived >= agedAfter {
			aged = append(aged, j)
		}
	}
	slices.SortStableFunc(aged, func(a, b *job) int { return cmp.Compare(a.priority.arrived, b.priority.arrived) })
	for _, j := range aged {
		if p.placeJob(j, uncertain, func(placed int) bool { return placed == 0 }) == 0 && p.withinTeamLimit(j, uncertain) {
			p.reserveMachine(j)
		}
	}
}

// reservationInterval is the least time between two searches for a machine to reserve for a job.
const reservationInterval = time.Second

// reserveMachine keeps the machine free for a job's first task on which the least is left
// to do.
func (p *placement) reserveMachine(j *job) {
	enough := len(p.reservingJobs) > 0 && len(p.reservingJobs) >= len(p.machines.live)/reservedMachinesDivisor
	triedJustNow := j.placement.reservationTriedAt > 0 && p.clock.now-j.placement.reservationTriedAt < reservationInterval
	if enough || triedJustNow {
		return
	}
	j.placement.reservationTriedAt = p.clock.now
	var best *machine
	least := 0.0
	for _, m := range p.machines.live {
		if !m.indexed.schedulable || m.capacity.reserved || !j.allowsMachine(m.typeIndex, m.zone, m.spot) || j.retry.failedOn[m.index] || !j.request.size.Within(m.capacity.total) {
			continue
		}
		if left := p.remainingWork(m); best == nil || left < least {
			best, least = m, left
		}
	}
	if best == nil {
		return
	}
	p.log.Info("machine reserved for a job that has waited long", "machine", best.name, "job", j.id, "waited_s", (p.clock.now - j.priority.arrived).Seconds(), "core_seconds_left", least)
	best.capacity.reserved, j.placement.reservedMachine = true, best
	p.reservingJobs = append(p.reservingJobs, j)
	p.refreshIndex(best)
}

// placeReserved starts the first task of each job whose reserved machine has become free enough,
// there and without asking SLOW-FIT, and ends reservations without a purpose.
func (p *placement) placeReserved(uncertain []quota.Units) {
	p.reservingJobs = slices.DeleteFunc(p.reservingJobs, func(j *job) bool {
		m := j.placement.reservedMachine
		waits := !j.progress.startedOnce && j.progress.allocated == 0 && j.placeable(p.clock.now)
		if waits && m.indexed.schedulable && !j.request.size.Within(m.capacity.free) {
			return false
		}
		m.capacity.reserved, j.placement.reservedMachine = false, nil
		if waits && m.indexed.schedulable && p.withinTeamLimit(j, uncertain) {
			p.startOn(j, m)
		}
		p.refreshIndex(m)
		return true
	})
}

// placeUnderserved starts tasks of classes and teams that have less than their share
// of the open cores.
func (p *placement) placeUnderserved(queue []*job, uncertain []quota.Units) {
	classes, teams := map[int32]bool{}, map[int32]bool{}
	for _, j := range p.jobs.active {
		if !j.ended() && !j.blocked() {
			classes[j.request.class], teams[j.request.team] = true, true
		}
	}
	if len(classes) < 2 && len(teams) < 2 {
		return
	}
	part := guaranteedShare * p.openCores
	for _, j := range queue {
		p.placeJob(j, uncertain, func(int) bool {
			class := p.classes.allocatedCores[j.request.class]+j.request.size.CPUs <= part/float64(len(classes))
			team := p.teams.Team(j.request.team).Allocated().Cores()+j.request.size.CPUs <= part/float64(len(teams))
			return class || team
		})
	}
}

// The age buckets of jobs that have not waited long.
const (
	ageInTime = 1
	ageLate   = 2
)
