package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"leadproxy/internal/scheduler/quota"
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
	teams     *quota.Teams
	jobs      *jobTable
	machines  *machineTable
	agents    *agents
	attempts  *attempts
	// startOn allocates room for the next task of a job on a machine and has it started.
	startOn func(j *job, m *machine)

	needed bool // something has changed that may let waiting tasks start
	images nameTable

	goal            slowfit.Goal
	queueEmptySince time.Duration
	index           slowfit.Index
	pools           []poolKey // by the index's numbers
	poolIndexByKey  map[poolKey]int32
	staleMachines   []*machine // to be brought up to date in the index
	openCores       float64    // of the machines in the index
	reservingJobs   []*job     // jobs for which a machine is kept free
}

func newPlacement(c *Core) placement {
	return placement{clock: &c.clock, log: c.log, types: &c.types, classes: &c.classes, estimates: &c.estimates, teams: &c.teams,
		jobs: &c.jobs, machines: &c.machines, agents: &c.agents, attempts: &c.attempts, startOn: c.startOn,
		poolIndexByKey: map[poolKey]int32{}, goal: slowfit.Goal{C: c.cfg.Operator.SlowFitC}}
}

// markNeeded has tasks placed at the end of the step, since something has changed that may let
// waiting ones start.
func (p *placement) markNeeded() { p.needed = true }

// placeQueuedTasks starts what can be started: first the jobs that have waited too long and those with less
// than their share (fair_share.go), then all jobs in the order of the queue; each task where
// SLOW-FIT puts it.
func (p *placement) placeQueuedTasks(uncertain []quota.Units) {
	p.needed = false
	for _, m := range p.staleMachines {
		p.refreshIndex(m)
	}
	p.staleMachines = p.staleMachines[:0]
	queue := p.sortedQueue()
	p.placeAged(queue, uncertain)
	p.placeUnderserved(queue, uncertain)
	for from := 0; from < len(queue); {
		to := from + 1
		for to < len(queue) && queue[to].priority.class == queue[from].priority.class {
			to++
		}
		p.placePriorityClass(queue[from:to], uncertain)
		from = to
	}
}

// placePriorityClass starts what it can of the jobs of one priority. In a full cell each piece
// of room that becomes free would be taken by the job that is first in the queue, mostly on a
// machine without its image, and a tenth of all cores waited for images. So those jobs that can
// wait are first placed only on machines that have their image, and another of the same priority
// may precede them there.
func (p *placement) placePriorityClass(queue []*job, uncertain []quota.Units) {
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

// allowsMachine tells whether a job's rules let its tasks run on a machine, apart from gang scheduling
// and spreading.
func (j *job) allowsMachine(typ, zone int32, spot bool) bool {
	return (j.request.types == nil || slices.Contains(j.request.types, typ)) && (j.request.zone < 0 || j.request.zone == zone) && (j.spec.Spot || !spot)
}

// withinTeamLimit tells whether a job's team may have one more of its tasks.
func (p *placement) withinTeamLimit(j *job, uncertain []quota.Units) bool {
	return p.teams.Team(j.request.team).AllowsAnother(j.request.size, uncertain[j.request.team])
}

// placeJob starts what it can of a job's waiting tasks, as long as more, unless nil, allows, and
// returns how many.
func (p *placement) placeJob(j *job, uncertain []quota.Units, more func(placed int) bool) (placed int) {
	// Most of what waits in a full cell, or for its team's limit, can't be placed: that must
	// show before any machine is examined.
	if len(j.progress.waiting) == 0 || !p.attempts.hasAttemptsLeft() || p.index.Infeasible(j.request.size) || !p.withinTeamLimit(j, uncertain) {
		return 0
	}
	p.resolveTypes(j)
	onlyZone := int32(-1)
	if j.spec.Gang {
		onlyZone = p.gangZone(j)
	}
	for len(j.progress.waiting) > 0 && p.attempts.hasAttemptsLeft() && (more == nil || more(placed)) {
		if j.suspect() && j.progress.allocated > 0 || !p.withinTeamLimit(j, uncertain) {
			return placed // a suspect job is tried one task at a time
		}
		at := p.chooseMachine(j, onlyZone)
		if at < 0 {
			return placed
		}
		m := p.machines.list[at]
		p.startOn(j, m)
		placed++
		if onlyZone < 0 && j.spec.Gang {
			onlyZone = m.zone
		}
	}
	return placed
}

// startOn allocates room for a job's next task on a machine and has it started there.
func (c *Core) startOn(j *job, m *machine) {
	n := j.progress.popWaiting()
	b := c.allocate(m, j, n, c.attempts.nextAttempt(), purposeRun)
	c.placement.refreshIndex(m)
	if c.debugEnabled {
		c.log.Debug("task placed", "task", c.jobs.taskName(b), "attempt", b.attempt, "machine", m.name,
			"goal", c.placement.goal.L, "share", b.share, "load", m.capacity.load, "image", m.hasImage(j.request.image))
	}
	if _, ok := j.record.hostIndexByMachine[m.index]; !ok {
		c.jobs.addHost(j, m)
	}
	if j.record.hosts[j.record.hostIndexByMachine[m.index]].durable {
		c.commands.queueStart(j, m, b)
	}
}

// fetchTime is how long a machine will need for a job's image.
func (p *placement) fetchTime(j *job, m *machine) time.Duration {
	rate := p.types.list[m.typeIndex].FetchGBPerS
	if m.hasImage(j.request.image) || rate <= 0 {
		return 0
	}
	// Images that are fetched at the same time share the rate.
	fetching := 1
	for _, b := range m.capacity.allocations {
		if o := p.jobs.list[b.job]; b.status != wire.TaskRunning && o.request.image != j.request.image && !m.hasImage(o.request.image) {
			fetching++
			break
		}
	}
	return settings.Seconds(float64(fetching) * j.spec.ImageGB / rate)
}

// imageFetchPending tells whether a machine is about to fetch an image for some task.
func (p *placement) imageFetchPending(m *machine, image int32) bool {
	for _, b := range m.capacity.allocations {
		if b.status != wire.TaskRunning && p.jobs.list[b.job].request.image == image {
			return true
		}
	}
	return false
}

// gangZone chooses the zone for a job that must stay in one: where it is, or else where the most
// of it fits now. That examines all machines, so it holds for a while.
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
		if m.indexed.schedulable && j.allowsMachine(m.typeIndex, m.zone, m.spot) {
			slots[m.zone] += j.request.size.Slots(m.capacity.free)
			if best < 0 || slots[m.zone] > slots[best] {
				best = m.zone
			}
		}
	}
	j.placement.gangZoneChosenAt, j.placement.gangZone = p.clock.now, best
	return best
}

// adjustZoneCount counts a job's tasks by zone as they come and go.
func (p *placement) adjustZoneCount(j *job, zone int32, change int) {
	if zone < 0 || j.spec == nil || !j.spec.Gang && !j.spec.Spread {
		return
	}
	for int(zone) >= len(j.placement.tasksByZone) {
		j.placement.tasksByZone = append(j.placement.tasksByZone, 0)
	}
	j.placement.tasksByZone[zone] += change
}

// spreadLimitReached tells whether a job that must be spread may have no more tasks in
// a zone.
func (j *job) spreadLimitReached(zone int32) bool {
	return j.spec.Spread && int(zone) < len(j.placement.tasksByZone) && j.placement.tasksByZone[zone] >= (j.progress.total+1)/2
}
