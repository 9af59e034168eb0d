package scheduler

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// placement decides where tasks run and in which order, by the quotas of teams, the objectives of
// classes, the SLOW-FIT goal and index, and the reservations. It alone writes its fields, the
// placement of a job, and the index entry of a machine.
type placement struct {
	clock     *clock
	log       *slog.Logger
	types     *machineTypes
	classes   *classTable
	estimates *runEstimates
	quotas    *quotas
	jobs      *jobTable
	machines  *machineTable
	agents    *agents
	attempts  *attempts
	// start allocates room for the next task of a job on a machine and has it started.
	start func(j *job, m *machine)

	needed bool // something has changed that may let waiting tasks start
	images names

	goal           slowfit.Goal
	lowLoadSince   time.Duration
	index          slowfit.Index
	pools          []poolKey // by the index's numbers
	poolIndexByKey map[poolKey]int32
	stale          []*machine // to be brought up to date in the index
	openCores      float64    // of the machines in the index
	reservingJobs  []*job     // jobs for which a machine is kept free
}

func newPlacement(c *Core) placement {
	return placement{clock: &c.clock, log: c.log, types: &c.types, classes: &c.classes, estimates: &c.estimates, quotas: &c.quotas,
		jobs: &c.jobs, machines: &c.machines, agents: &c.agents, attempts: &c.attempts, start: c.startOn,
		poolIndexByKey: map[poolKey]int32{}, goal: slowfit.Goal{C: c.cfg.Operator.SlowFitC}}
}

// place starts what can be started: first what has waited too long and who has
// less than their share (fair.go), then all jobs in the order of the queue; each
// task where SLOW-FIT puts it.
func (p *placement) place(uncertain []units) {
	for _, m := range p.stale {
		p.refresh(m)
	}
	p.stale = p.stale[:0]
	queue := p.queue()
	p.placeAged(queue, uncertain)
	p.placeUnderserved(queue, uncertain)
	for from := 0; from < len(queue); {
		to := from + 1
		for to < len(queue) && queue[to].priority.class == queue[from].priority.class {
			to++
		}
		p.placeRank(queue[from:to], uncertain)
		from = to
	}
}

// placeRank starts what it can of the jobs of one priority. On a full site each
// piece of room that comes free would go to the job that is first in the queue,
// mostly on a machine without its image, and a tenth of all cores waited for
// images. So those jobs that can wait are first offered only machines that have
// their image, and another of the same priority may go before them there.
func (p *placement) placeRank(queue []*job, uncertain []units) {
	if len(queue) > 1 {
		for _, j := range queue {
			j.placement.imageOnly = p.mayWaitForImage(j)
			p.placeJob(j, uncertain, nil)
			j.placement.imageOnly = false
		}
	}
	for _, j := range queue {
		p.placeJob(j, uncertain, nil)
	}
}

// mayWaitForImage tells whether a job has time to let others go first: more than
// fetching its image would take, or none at all any more.
func (p *placement) mayWaitForImage(j *job) bool {
	if j.priority.deadline == never {
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

// accepts tells whether a machine takes new tasks at all.
func (a *agents) accepts(m *machine) bool {
	return m.state == machineUp && m.trusted(a.term) && m.agent.epoch > m.agent.expiredEpoch && m.typ >= 0 && m.agent.unreachable == nil && !m.eviction.cordoned && !m.health.quarantined && a.clock.now >= m.commands.avoidUntil && m.rental.terminationAt == 0 && !m.agent.unacknowledged && a.clock.now-m.agent.lastAcknowledged < a.unreachableAfter()
}

// queue returns the jobs with tasks to place, in order: teams within their
// guarantee, priority, turn, the work that is left where it is crowded, the time
// that is left.
func (p *placement) queue() []*job {
	var queue []*job
	demand := make([]units, len(p.quotas.teams))
	for _, j := range p.jobs.active {
		if !j.over() && !j.blocked() {
			demand[j.request.team] = demand[j.request.team].plus(unitsOf(j.request.size).times(j.progress.total - j.progress.done))
		}
		if j.placeable(p.clock.now) {
			queue = append(queue, j)
		}
	}
	crowded := map[int]bool{} // by rank: somebody is late already
	for _, j := range queue {
		crowded[j.priority.class] = crowded[j.priority.class] || p.ageBucket(j) == turnLate
	}
	// A team whose unfinished jobs all fit within its guarantee need not wait
	// for other teams.
	withinGuarantee := func(j *job) bool {
		g := p.quotas.teams[j.request.team].guarantee
		d := demand[j.request.team]
		return (g.cpus > 0 || g.gpus > 0) && d.cpus <= g.cpus && d.gpus <= g.gpus
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
		if crowded[a.priority.class] {
			work = cmp.Compare(p.workLeft(a), p.workLeft(b))
		}
		return cmp.Or(cmp.Compare(p.ageBucket(a), p.ageBucket(b)), foreignJobsLast(a, b), work, cmp.Compare(a.slack(p.clock.now), b.slack(p.clock.now)), int(a.index)-int(b.index))
	})
	return queue
}

// foreignJobsLast has this cell's own jobs go before those of other cells.
func foreignJobsLast(a, b *job) int {
	switch {
	case (a.transfer.origin == "") == (b.transfer.origin == ""):
		return 0
	case a.transfer.origin == "":
		return -1
	}
	return 1
}

// uncertainUse is what each team's tasks may use on machines that have not been
// heard of in this term, and in other cells.
func (f *federationState) uncertainUse() []units {
	use := make([]units, len(f.quotas.teams))
	transfers := !f.delegated.Idle()
	for _, j := range f.jobs.active {
		if len(j.record.inDoubtHosts) > 0 && j.end.state != wire.JobDone {
			n := j.progress.total - j.progress.done - j.progress.allocated
			use[j.request.team] = use[j.request.team].plus(unitsOf(j.request.size).times(max(n, 0)))
		}
		unreadable := j.transfer.delegated && !f.delegated.Delegated(j.id)
		if unreadable || transfers && f.delegated.MayRunRemotely(j.id) {
			// All of its tasks may run there at once, also if its transfer's record can't
			// be read.
			use[j.request.team] = use[j.request.team].plus(unitsOf(j.request.size).times(j.progress.total))
		}
	}
	return use
}

// allows tells whether a job's rules let its tasks run on a machine, leaving
// together and spread aside.
func (j *job) allows(typ, zone int32, spot bool) bool {
	return (j.request.types == nil || slices.Contains(j.request.types, typ)) && (j.request.zone < 0 || j.request.zone == zone) && (j.spec.Spot || !spot)
}

// withinLimit tells whether a job's team may have one more of its tasks.
func (q *quotas) withinLimit(j *job, uncertain []units) bool {
	t := &q.teams[j.request.team]
	return t.allocated.plus(uncertain[j.request.team]).plus(unitsOf(j.request.size)).within(t.limit)
}

// placeJob starts what it can of a job's waiting tasks, as long as more, unless
// nil, allows, and tells how many.
func (p *placement) placeJob(j *job, uncertain []units, more func(placed int) bool) (placed int) {
	// Most of what waits on a full site, or for its team's limit, has no place:
	// that must show before anything is looked at machine by machine.
	if len(j.progress.waiting) == 0 || !p.attempts.attemptsLeft() || p.index.Infeasible(j.request.size) || !p.quotas.withinLimit(j, uncertain) {
		return 0
	}
	p.resolveTypes(j)
	only := int32(-1)
	if j.spec.Gang {
		only = p.gangZone(j)
	}
	for len(j.progress.waiting) > 0 && p.attempts.attemptsLeft() && (more == nil || more(placed)) {
		if j.suspect() && j.progress.allocated > 0 || !p.quotas.withinLimit(j, uncertain) {
			return placed // a suspect job is tried one task at a time
		}
		at := p.choose(j, only)
		if at < 0 {
			return placed
		}
		m := p.machines.list[at]
		p.start(j, m)
		placed++
		if only < 0 && j.spec.Gang {
			only = m.zone
		}
	}
	return placed
}

// startOn books a job's next task on a machine and has it started there.
func (c *Core) startOn(j *job, m *machine) {
	n := j.progress.waiting[len(j.progress.waiting)-1]
	j.progress.waiting = j.progress.waiting[:len(j.progress.waiting)-1]
	b := c.allocate(m, j, n, c.attempts.nextAttempt(), true)
	c.placement.refresh(m)
	if c.debug {
		c.log.Debug("task placed", "task", c.jobs.taskName(b), "attempt", b.attempt, "machine", m.name, "goal", c.placement.goal.L, "share", b.share, "load", m.capacity.load, "image", m.has(j.request.image))
	}
	if _, ok := j.record.hostAt[m.index]; !ok {
		c.jobs.addHost(j, m)
	}
	if j.record.hosts[j.record.hostAt[m.index]].durable {
		c.commands.sendStart(j, m, b)
	}
}

// fetchTime is how long a machine will need for a job's image.
func (p *placement) fetchTime(j *job, m *machine) time.Duration {
	rate := p.types.list[m.typ].FetchGBPerS
	if m.has(j.request.image) || rate <= 0 {
		return 0
	}
	// Images that are fetched at the same time share the rate.
	fetching := 1
	for _, b := range m.capacity.allocations {
		if o := p.jobs.list[b.job]; b.status != wire.TaskRunning && o.request.image != j.request.image && !m.has(o.request.image) {
			fetching++
			break
		}
	}
	return settings.Seconds(float64(fetching) * j.spec.ImageGB / rate)
}

// fetching tells whether a machine is about to fetch an image for some task.
func (p *placement) fetching(m *machine, image int32) bool {
	for _, b := range m.capacity.allocations {
		if b.status != wire.TaskRunning && p.jobs.list[b.job].request.image == image {
			return true
		}
	}
	return false
}

// gangZone chooses the zone for a job that must stay in one: where it is, or
// else where the most of it fits now. That takes a look at all machines, so it
// holds for a while.
func (p *placement) gangZone(j *job) int32 {
	for z, n := range j.placement.tasksByZone {
		if n > 0 {
			return int32(z)
		}
	}
	if j.placement.gangZoneChosenAt > 0 && p.clock.now-j.placement.gangZoneChosenAt < time.Second {
		return j.placement.gangZone
	}
	slots := make([]int, len(p.machines.zones.list))
	best := int32(-1)
	for _, m := range p.machines.live {
		if m.indexed.schedulable && j.allows(m.typ, m.zone, m.spot) {
			slots[m.zone] += j.request.size.Slots(m.capacity.free)
			if best < 0 || slots[m.zone] > slots[best] {
				best = m.zone
			}
		}
	}
	j.placement.gangZoneChosenAt, j.placement.gangZone = p.clock.now, best
	return best
}

// zoned counts a job's tasks by zone as they come and go.
func (j *job) zoned(zone int32, change int) {
	if zone < 0 || j.spec == nil || !j.spec.Gang && !j.spec.Spread {
		return
	}
	for int(zone) >= len(j.placement.tasksByZone) {
		j.placement.tasksByZone = append(j.placement.tasksByZone, 0)
	}
	j.placement.tasksByZone[zone] += change
}

// crowdedZone tells whether a job that must be spread may have no more tasks in
// a zone.
func (j *job) crowdedZone(zone int32) bool {
	return j.spec.Spread && int(zone) < len(j.placement.tasksByZone) && j.placement.tasksByZone[zone] >= (j.progress.total+1)/2
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
