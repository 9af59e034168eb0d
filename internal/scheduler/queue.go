package scheduler

import (
	"cmp"
	"slices"
	"time"

	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
)

// mayWaitForImage tells whether a job has time to let others precede it: more than fetching its
// image would take, or none at all any more.
func (p *placement) mayWaitForImage(j *job) bool {
	if j.priority.deadline == noDeadline {
		return true
	}
	slack := j.priority.deadline - p.clock.now - p.estimates.expectedRun(j)
	slowest := time.Duration(0)
	for i := range p.types.list {
		if t := &p.types.list[i]; t.FetchGBPerS > 0 {
			slowest = max(slowest, settings.Seconds(j.spec.ImageGB/t.FetchGBPerS))
		}
	}
	return slack < 0 || slack > 2*slowest
}

// sortedQueue returns the jobs with tasks to place, in order: teams within their guarantee, priority,
// age, the least work where some are late already, the time that is left.
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
	contended := map[int]bool{} // by priority class: some job is late already
	for _, j := range queue {
		contended[j.priority.class] = contended[j.priority.class] || p.ageBucket(j) == ageLate
	}
	// A team whose unfinished jobs all fit within its guarantee need not wait
	// for other teams.
	withinGuarantee := func(j *job) bool {
		return p.teams.Team(j.request.team).WithinGuarantee(demand[j.request.team])
	}
	slices.SortStableFunc(queue, func(a, b *job) int {
		if sa, sb := withinGuarantee(a), withinGuarantee(b); sa != sb {
			if sa {
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

// foreignJobsLast has this cell's own jobs precede those of other cells.
func foreignJobsLast(a, b *job) int {
	switch {
	case (a.transfer.origin == "") == (b.transfer.origin == ""):
		return 0
	case a.transfer.origin == "":
		return -1
	}
	return 1
}

// resolveTypes maps the type names that a job allows, once types are known.
func (p *placement) resolveTypes(j *job) {
	if j.spec.Types == nil || j.request.types != nil {
		return
	}
	j.request.types = []int32{}
	for _, name := range j.spec.Types {
		if t, ok := p.types.indexByName[name]; ok {
			j.request.types = append(j.request.types, t)
		}
	}
}

// ageBucket orders jobs of one priority: first those that have waited longer than any job
// should, the longest first, so that each is placed in the end; then those that can meet their
// deadline; then those that can't any more.
func (p *placement) ageBucket(j *job) time.Duration {
	switch age := p.clock.now - j.priority.arrived; {
	case age >= maxStartDelay:
		return -age
	case j.priority.deadline != noDeadline && j.priority.deadline-p.clock.now < p.estimates.expectedRun(j):
		return ageLate
	}
	return ageInTime
}

// queuedWork is what a job's waiting tasks need, in core-seconds. Where there is not room for
// all, as in the first minutes of a day, by slack alone one large job makes many small ones
// late; the least work first leaves fewer late. As long as all that wait can be in time, the
// time that is left decides.
func (p *placement) queuedWork(j *job) float64 {
	return float64(len(j.progress.waiting)) * j.request.size.CPUs * p.estimates.expectedRun(j).Seconds()
}

// placeableWithinLimit lists the jobs with tasks that their teams' limits let run.
func (p *placement) placeableWithinLimit() []*job {
	return slices.DeleteFunc(p.sortedQueue(), func(j *job) bool {
		team := p.teams.Team(j.request.team)
		return team.AdditionalTasks(j.request.size, team.Allocated()) == 0
	})
}

// remainingWork is the core-seconds that are expected to be left of a machine's tasks.
func (p *placement) remainingWork(m *machine) float64 {
	sum := 0.0
	for _, b := range m.capacity.allocations {
		j := p.jobs.list[b.job]
		if j.spec == nil {
			continue
		}
		left := p.estimates.expectedRun(j)
		if b.runningSince > 0 {
			// One that has outrun its estimate is expected to run for some time more.
			left = max(left-(p.clock.now-b.runningSince), left/4)
		}
		sum += j.request.size.CPUs * left.Seconds()
	}
	return sum
}
