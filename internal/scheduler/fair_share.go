package scheduler

import (
	"cmp"
	"slices"
	"time"

	"leadproxy/internal/scheduler/quota"
)

// If only priority and slack decided, a sustained overload of urgent work would starve all other
// jobs, and a job with large tasks would wait forever while small tasks fill every gap. Two bounded
// exceptions are therefore placed before the sorted queue:
//
//   - Ageing: the first task of a job that has waited for agedAfter is placed first, the oldest
//     job before the others. If the task fits on no machine, the machine with the least remaining
//     work is reserved for it. This costs one task per such job, and at most one in
//     reservedMachinesDivisor machines is reserved.
//   - Fair share: each class and each team with unfinished jobs is entitled to a part of the
//     schedulable cores. All classes together are entitled to guaranteedShare of them, and so
//     are all teams together.
const (
	maxStartDelay           = 4 * time.Minute   // by when every job should have started
	agedAfter               = maxStartDelay / 4 // waiting time after which a job is placed first
	reservedMachinesDivisor = 16                // at most 1/16 of the machines, but always one, may be reserved
	guaranteedShare         = 0.25              // fraction of the schedulable cores
)

// placeAged places the first task of each job that has waited longer than agedAfter.
func (p *placement) placeAged(queue []*job, uncertain []quota.Units) {
	p.placeReserved(uncertain)
	var aged []*job
	for _, j := range queue {
		if j.startOverdue(p.clock.now) && j.placement.reservedMachine == nil {
			aged = append(aged, j)
		}
	}
	slices.SortStableFunc(aged, func(a, b *job) int { return cmp.Compare(a.priority.arrived, b.priority.arrived) })
	for _, j := range aged {
		if p.placeJob(j, uncertain, func(placed int) bool { return placed == 0 }) == 0 && p.withinTeamLimit(j, uncertain) {
			p.reserveMachine(j, uncertain)
		}
	}
}

// startOverdue reports whether no task of the job has started although they have waited for agedAfter.
func (j *job) startOverdue(now time.Duration) bool {
	return !j.progress.startedOnce && j.progress.allocated == 0 && now-j.priority.arrived >= agedAfter
}

// reservationInterval is the minimum time between two searches for a machine to reserve for one job.
const reservationInterval = time.Second

// reserveMachine reserves a machine for a job's first task: of the suitable machines, the one with
// the least remaining work.
func (p *placement) reserveMachine(j *job, uncertain []quota.Units) {
	limitReached := len(p.reservingJobs) > 0 && len(p.reservingJobs) >= len(p.machines.live)/reservedMachinesDivisor
	triedRecently := j.placement.reservationTriedAt > 0 && p.clock.now-j.placement.reservationTriedAt < reservationInterval
	if limitReached || triedRecently {
		return
	}
	j.placement.reservationTriedAt = p.clock.now
	var best *machine
	leastWork := 0.0
	for _, m := range p.machines.live {
		if m.capacity.reserved || !j.request.size.Within(m.capacity.total) || p.refusal(proposedStart{job: j, machine: m}, uncertain) != startAllowed {
			continue
		}
		if work := p.remainingWork(m); best == nil || work < leastWork {
			best, leastWork = m, work
		}
	}
	if best == nil {
		return
	}
	p.log.Info("machine reserved for a job that has waited long", "machine", best.name, "job", j.id, "waited_s", (p.clock.now - j.priority.arrived).Seconds(), "core_seconds_left", leastWork)
	best.capacity.reserved, j.placement.reservedMachine = true, best
	p.reservingJobs = append(p.reservingJobs, j)
	p.refreshIndex(best)
}

// placeReserved starts the first task of each job whose reserved machine has enough free resources,
// on that machine and without consulting SLOW-FIT. It ends reservations that are no longer needed, and
// those of machines on which the task may not start. A job whose team is at its limit keeps its machine
// until the machine has room.
func (p *placement) placeReserved(uncertain []quota.Units) {
	p.reservingJobs = slices.DeleteFunc(p.reservingJobs, func(j *job) bool {
		m := j.placement.reservedMachine
		stillWaiting := !j.progress.startedOnce && j.progress.allocated == 0 && j.placeable(p.clock.now)
		reason := p.refusal(proposedStart{job: j, machine: m}, uncertain)
		mayStartLater := stillWaiting && (reason == startAllowed || reason == refusedTeamLimit)
		if mayStartLater && !j.request.size.Within(m.capacity.free) {
			return false
		}
		m.capacity.reserved, j.placement.reservedMachine = false, nil
		if stillWaiting && reason == startAllowed {
			p.start(j, m, uncertain)
		}
		p.refreshIndex(m)
		return true
	})
}

// placeUnderserved starts tasks of classes and teams that use less than their guaranteed part of the
// schedulable cores.
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
	guaranteedCores := guaranteedShare * p.schedulableCores
	for _, j := range queue {
		p.placeJob(j, uncertain, func(int) bool {
			classEntitled := p.classes.allocatedCores[j.request.class]+j.request.size.CPUs <= guaranteedCores/float64(len(classes))
			teamEntitled := p.teams.Team(j.request.team).Allocated().Cores()+j.request.size.CPUs <= guaranteedCores/float64(len(teams))
			return classEntitled || teamEntitled
		})
	}
}

// The age buckets of jobs that have waited less than maxStartDelay, see ageBucket.
const (
	ageInTime = 1 // can meet its deadline or has none
	ageLate   = 2 // is expected to miss its deadline
)
