package scheduler

import (
	"cmp"
	"slices"
	"time"

	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
)

// mayWaitForImage reports whether a job can afford that other jobs overtake it: it has no deadline,
// or more slack than twice the slowest fetch of its image, or it will be late anyway.
func (p *placement) mayWaitForImage(j *job) bool {
	if j.priority.deadline == noDeadline {
		return true
	}
	slack := j.priority.deadline - p.clock.now - p.estimates.expectedRun(j)
	slowestFetch := time.Duration(0)
	for i := range p.types.list {
		if t := &p.types.list[i]; t.FetchGBPerS > 0 {
			slowestFetch = max(slowestFetch, settings.Seconds(j.spec.ImageGB/t.FetchGBPerS))
		}
	}
	return slack < 0 || slack > 2*slowestFetch
}

// sortedQueue returns the jobs with tasks to place, sorted by: teams within their guarantee first,
// priority class, age bucket, own jobs before foreign ones, least work first if some job of the
// class is late, and slack.
func (p *placement) sortedQueue() []*job {
	var queue []*job
	demand := make([]quota.Units, p.teams.Len())
	for _, j := range p.jobs.active {
		if !j.ended() && !j.blocked() {
			demand[j.request.team] = demand[j.request.team].Plus(quota.UnitsOf(j.request.size).Times(j.progress.total - j.progress.done))
		}
		if j.placeable(p.clock.now) {
			queue = append(queue, j)
		}
	}
	contended := map[int]bool{} // by priority class: some job is expected to be late
	for _, j := range queue {
		contended[j.priority.class] = contended[j.priority.class] || p.ageBucket(j) == ageLate
	}
	// A team whose unfinished jobs all fit within its guarantee does not wait for other teams.
	withinGuarantee := func(j *job) bool {
		return p.teams.Team(j.request.team).WithinGuarantee(demand[j.request.team])
	}
	slices.SortStableFunc(queue, func(a, b *job) int {
		if aWithin, bWithin := withinGuarantee(a), withinGuarantee(b); aWithin != bWithin {
			if aWithin {
				return -1
			}
			return 1
		}
		if a.priority.class != b.priority.class {
			return a.priority.class - b.priority.class
		}
		work := 0
		if contended[a.priority.class] {
			work = cmp.Compare(p.queuedWork(a), p.queuedWork(b))
		}
		return cmp.Or(cmp.Compare(p.ageBucket(a), p.ageBucket(b)), foreignJobsLast(a, b), work, cmp.Compare(a.slack(p.clock.now), b.slack(p.clock.now)), int(a.index)-int(b.index))
	})
	return queue
}

// foreignJobsLast orders this cell's own jobs before jobs delegated by other cells.
func foreignJobsLast(a, b *job) int {
	switch {
	case (a.transfer.origin == "") == (b.transfer.origin == ""):
		return 0
	case a.transfer.origin == "":
		return -1
	}
	return 1
}

// ageBucket orders jobs of one priority class. First come those that have waited for maxStartDelay
// or more, the longest first, so that every job is placed eventually; then those that can meet
// their deadline; then those that no longer can.
func (p *placement) ageBucket(j *job) time.Duration {
	switch age := p.clock.now - j.priority.arrived; {
	case age >= maxStartDelay:
		return -age
	case j.priority.deadline != noDeadline && j.priority.deadline-p.clock.now < p.estimates.expectedRun(j):
		return ageLate
	}
	return ageInTime
}

// queuedWork returns the expected work of a job's waiting tasks, in core-seconds. When there is not
// enough capacity for all jobs, as in the first minutes of a day, ordering by slack alone lets one
// large job make many small ones late; ordering by least work first leaves fewer late. As long as
// all waiting jobs can meet their deadlines, slack decides.
func (p *placement) queuedWork(j *job) float64 {
	return float64(len(j.progress.waiting)) * j.request.size.CPUs * p.estimates.expectedRun(j).Seconds()
}

// placeableWithinLimit returns the queued jobs whose team's quota allows at least one more task.
func (p *placement) placeableWithinLimit() []*job {
	return slices.DeleteFunc(p.sortedQueue(), func(j *job) bool {
		team := p.teams.Team(j.request.team)
		return team.AdditionalTasks(j.request.size, team.Allocated()) == 0
	})
}

// remainingWork returns the expected remaining work of a machine's tasks, in core-seconds.
func (p *placement) remainingWork(m *machine) float64 {
	total := 0.0
	for _, alloc := range m.capacity.allocations {
		j := p.jobs.list[alloc.job]
		if j.spec == nil {
			continue
		}
		remaining := p.estimates.expectedRun(j)
		if alloc.runningSince > 0 {
			// A task that has exceeded its estimate is expected to run for another quarter of it.
			remaining = max(remaining-(p.clock.now-alloc.runningSince), remaining/4)
		}
		total += j.request.size.CPUs * remaining.Seconds()
	}
	return total
}
