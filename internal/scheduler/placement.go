package scheduler

import (
	"cmp"
	"slices"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// place starts what can be started: first what has waited too long and who has
// less than their share (fair.go), then all jobs in the order of the queue; each
// task where SLOW-FIT puts it.
func (c *Core) place() {
	for _, m := range c.staleInIndex {
		c.refresh(m)
	}
	c.staleInIndex = c.staleInIndex[:0]
	queue := c.queue()
	uncertain := c.uncertainUse()
	c.placeAged(queue, uncertain)
	c.placeUnderserved(queue, uncertain)
	for from := 0; from < len(queue); {
		to := from + 1
		for to < len(queue) && queue[to].priorityClass == queue[from].priorityClass {
			to++
		}
		c.placeRank(queue[from:to], uncertain)
		from = to
	}
}

// placeRank starts what it can of the jobs of one priority. On a full site each
// piece of room that comes free would go to the job that is first in the queue,
// mostly on a machine without its image, and a tenth of all cores waited for
// images. So those jobs that can wait are first offered only machines that have
// their image, and another of the same priority may go before them there.
func (c *Core) placeRank(queue []*job, uncertain []units) {
	if len(queue) > 1 {
		for _, j := range queue {
			j.imageOnly = c.mayWaitForImage(j)
			c.placeJob(j, uncertain, nil)
			j.imageOnly = false
		}
	}
	for _, j := range queue {
		c.placeJob(j, uncertain, nil)
	}
}

// mayWaitForImage tells whether a job has time to let others go first: more than
// fetching its image would take, or none at all any more.
func (c *Core) mayWaitForImage(j *job) bool {
	if j.deadline == never {
		return true
	}
	slack := j.deadline - c.now - c.expectedRun(j)
	slowest := time.Duration(0)
	for i := range c.types {
		if t := &c.types[i]; t.FetchGBPerS > 0 {
			slowest = max(slowest, settings.Seconds(j.spec.ImageGB/t.FetchGBPerS))
		}
	}
	return slack < 0 || slack > 2*slowest
}

// accepts tells whether a machine takes new tasks at all.
func (c *Core) accepts(m *machine) bool {
	return m.state == machineUp && m.trusted(c.term) && m.agentEpoch > m.expiredEpoch && m.typ >= 0 && m.unreachable == nil && !m.cordoned && !m.quarantined && c.now >= m.avoidUntil && m.terminationAt == 0 && !m.unacknowledged && c.now-m.lastAcknowledged < c.unreachableAfter()
}

// queue returns the jobs with tasks to place, in order: teams within their
// guarantee, priority, turn, the work that is left where it is crowded, the time
// that is left.
func (c *Core) queue() []*job {
	var queue []*job
	demand := make([]units, len(c.teams))
	for _, j := range c.activeJobs {
		if !j.over() && !j.blocked() {
			demand[j.team] = demand[j.team].plus(unitsOf(j.size).times(j.total - j.done))
		}
		if j.placeable(c.now) {
			queue = append(queue, j)
		}
	}
	crowded := map[int]bool{} // by rank: somebody is late already
	for _, j := range queue {
		crowded[j.priorityClass] = crowded[j.priorityClass] || c.ageBucket(j) == turnLate
	}
	// A team whose unfinished jobs all fit within its guarantee need not wait
	// for other teams.
	withinGuarantee := func(j *job) bool {
		g := c.teams[j.team].guarantee
		d := demand[j.team]
		return (g.cpus > 0 || g.gpus > 0) && d.cpus <= g.cpus && d.gpus <= g.gpus
	}
	slices.SortStableFunc(queue, func(a, b *job) int {
		if sa, sb := withinGuarantee(a), withinGuarantee(b); sa != sb {
			if sa {
				return -1
			}
			return 1
		}
		if a.priorityClass != b.priorityClass {
			return a.priorityClass - b.priorityClass
		}
		work := 0
		if crowded[a.priorityClass] {
			work = cmp.Compare(c.workLeft(a), c.workLeft(b))
		}
		return cmp.Or(cmp.Compare(c.ageBucket(a), c.ageBucket(b)), foreignJobsLast(a, b), work, cmp.Compare(a.slack(c.now), b.slack(c.now)), int(a.index)-int(b.index))
	})
	return queue
}

// foreignJobsLast has this cell's own jobs go before those of other cells.
func foreignJobsLast(a, b *job) int {
	switch {
	case (a.origin == "") == (b.origin == ""):
		return 0
	case a.origin == "":
		return -1
	}
	return 1
}

// uncertainUse is what each team's tasks may use on machines that have not been
// heard of in this term, and in other cells.
func (c *Core) uncertainUse() []units {
	use := make([]units, len(c.teams))
	transfers := !c.federation.delegated.Idle()
	for _, j := range c.activeJobs {
		if len(j.inDoubtHosts) > 0 && j.terminal != wire.JobDone {
			n := j.total - j.done - j.booked
			use[j.team] = use[j.team].plus(unitsOf(j.size).times(max(n, 0)))
		}
		unreadable := j.delegated && !c.federation.delegated.Delegated(j.id)
		if unreadable || transfers && c.federation.delegated.MayRunRemotely(j.id) {
			// All of its tasks may run there at once, also if its transfer's record can't
			// be read.
			use[j.team] = use[j.team].plus(unitsOf(j.size).times(j.total))
		}
	}
	return use
}

// allows tells whether a job's rules let its tasks run on a machine, leaving
// together and spread aside.
func (j *job) allows(typ, zone int32, spot bool) bool {
	return (j.types == nil || slices.Contains(j.types, typ)) && (j.zone < 0 || j.zone == zone) && (j.spec.Spot || !spot)
}

// withinLimit tells whether a job's team may have one more of its tasks.
func (c *Core) withinLimit(j *job, uncertain []units) bool {
	t := &c.teams[j.team]
	return t.booked.plus(uncertain[j.team]).plus(unitsOf(j.size)).within(t.limit)
}

// placeJob starts what it can of a job's waiting tasks, as long as more, unless
// nil, allows, and tells how many.
func (c *Core) placeJob(j *job, uncertain []units, more func(placed int) bool) (placed int) {
	// Most of what waits on a full site, or for its team's limit, has no place:
	// that must show before anything is looked at machine by machine.
	if len(j.waiting) == 0 || !c.attemptsLeft() || c.index.Infeasible(j.size) || !c.withinLimit(j, uncertain) {
		return 0
	}
	c.resolveTypes(j)
	only := int32(-1)
	if j.spec.Gang {
		only = c.gangZone(j)
	}
	for len(j.waiting) > 0 && c.attemptsLeft() && (more == nil || more(placed)) {
		if j.suspect() && j.booked > 0 || !c.withinLimit(j, uncertain) {
			return placed // a suspect job is tried one task at a time
		}
		at := c.choose(j, only)
		if at < 0 {
			return placed
		}
		m := c.machines[at]
		c.startOn(j, m)
		placed++
		if only < 0 && j.spec.Gang {
			only = m.zone
		}
	}
	return placed
}

// startOn books a job's next task on a machine and has it started there.
func (c *Core) startOn(j *job, m *machine) {
	n := j.waiting[len(j.waiting)-1]
	j.waiting = j.waiting[:len(j.waiting)-1]
	b := c.allocate(m, j, n, c.nextAttempt(), true)
	c.refresh(m)
	if c.debug {
		c.log.Debug("task placed", "task", c.taskName(b), "attempt", b.attempt, "machine", m.name, "goal", c.goal.L, "share", b.share, "load", m.load, "image", m.has(j.image))
	}
	if _, ok := j.hostAt[m.index]; !ok {
		c.addHost(j, m)
	}
	if j.hosts[j.hostAt[m.index]].durable {
		c.sendStart(j, m, b)
	}
}

// fetchTime is how long a machine will need for a job's image.
func (c *Core) fetchTime(j *job, m *machine) time.Duration {
	rate := c.types[m.typ].FetchGBPerS
	if m.has(j.image) || rate <= 0 {
		return 0
	}
	// Images that are fetched at the same time share the rate.
	fetching := 1
	for _, b := range m.allocations {
		if o := c.jobs[b.job]; b.status != wire.TaskRunning && o.image != j.image && !m.has(o.image) {
			fetching++
			break
		}
	}
	return settings.Seconds(float64(fetching) * j.spec.ImageGB / rate)
}

// fetching tells whether a machine is about to fetch an image for some task.
func (c *Core) fetching(m *machine, image int32) bool {
	for _, b := range m.allocations {
		if b.status != wire.TaskRunning && c.jobs[b.job].image == image {
			return true
		}
	}
	return false
}

// gangZone chooses the zone for a job that must stay in one: where it is, or
// else where the most of it fits now. That takes a look at all machines, so it
// holds for a while.
func (c *Core) gangZone(j *job) int32 {
	for z, n := range j.inZone {
		if n > 0 {
			return int32(z)
		}
	}
	if j.zoneSought > 0 && c.now-j.zoneSought < time.Second {
		return j.preferredZone
	}
	slots := make([]int, len(c.zones.list))
	best := int32(-1)
	for _, m := range c.liveMachines {
		if m.schedulable && j.allows(m.typ, m.zone, m.spot) {
			slots[m.zone] += j.size.Slots(m.free)
			if best < 0 || slots[m.zone] > slots[best] {
				best = m.zone
			}
		}
	}
	j.zoneSought, j.preferredZone = c.now, best
	return best
}

// zoned counts a job's tasks by zone as they come and go.
func (j *job) zoned(zone int32, change int) {
	if zone < 0 || j.spec == nil || !j.spec.Gang && !j.spec.Spread {
		return
	}
	for int(zone) >= len(j.inZone) {
		j.inZone = append(j.inZone, 0)
	}
	j.inZone[zone] += change
}

// crowdedZone tells whether a job that must be spread may have no more tasks in
// a zone.
func (j *job) crowdedZone(zone int32) bool {
	return j.spec.Spread && int(zone) < len(j.inZone) && j.inZone[zone] >= (j.total+1)/2
}

// resolveTypes maps the type names that a job allows, once types are known.
func (c *Core) resolveTypes(j *job) {
	if j.spec.Types == nil || j.types != nil {
		return
	}
	j.types = []int32{}
	for _, name := range j.spec.Types {
		if t, ok := c.typeIndexByName[name]; ok {
			j.types = append(j.types, t)
		}
	}
}

// learnRun learns how true the owners' estimates of a class are.
func (c *Core) learnRun(j *job, took time.Duration) {
	if j.spec == nil || j.spec.EstimatedRunS <= 0 {
		return
	}
	c.autoscaling.learnRatio(j.class, took.Seconds()/j.spec.EstimatedRunS)
}

// expectedRun is how long a task of a job is expected to run.
func (c *Core) expectedRun(j *job) time.Duration {
	return time.Duration(j.spec.EstimatedRunS * c.autoscaling.ratio(j.class) * float64(time.Second))
}
