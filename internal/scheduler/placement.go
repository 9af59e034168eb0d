package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// placement decides where tasks run and in which order, by team quotas, class objectives, the
// SLOW-FIT goal and index, and reservations. Only placement writes its fields, the placement state
// of a job, and the index entry of a machine.
type placement struct {
	term      uint64
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
	// startOn reserves resources for the next task of a job on a machine and starts it there.
	startOn func(j *job, m *machine)

	needed bool      // a change may allow waiting tasks to start
	images nameTable // image names by index

	goal             slowfit.Goal
	queueEmptySince  time.Duration // when a task last waited or the goal was last lowered
	lastBackoffCheck time.Duration // when endBackoffs was last called
	index            slowfit.Index
	poolKeys         []autoscaler.CapacityPool // by pool number of the index
	poolIndexByKey   map[autoscaler.CapacityPool]int32
	staleMachines    []*machine // machines whose index entry must be refreshed
	schedulableCores float64    // cores of all schedulable machines
	reservingJobs    []*job     // jobs with a reserved machine
}

func newPlacement(c *Core) placement {
	return placement{term: c.term, clock: &c.clock, log: c.log, types: &c.types, classes: &c.classes, estimates: &c.estimates, teams: &c.teams,
		jobs: &c.jobs, machines: &c.machines, agents: &c.agents, attempts: &c.attempts, startOn: c.startOn,
		poolIndexByKey: map[autoscaler.CapacityPool]int32{}, goal: slowfit.Goal{C: c.cfg.Operator.SlowFitC}}
}

// markNeeded schedules a placement at the end of the step, after a change that may allow waiting
// tasks to start.
func (p *placement) markNeeded() { p.needed = true }

// placeQueuedTasks starts all tasks that can be started: first those of jobs that have waited too
// long and of classes and teams below their share (fair_share.go), then all jobs in queue order.
// SLOW-FIT chooses the machine of each task. uncertain is, by team, what its tasks may use on
// machines without a heartbeat in this term and in other cells.
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

// placePriorityClass starts tasks of the jobs of one priority class. In a full cell, the first job
// in the queue would take each piece of capacity that becomes free, mostly on a machine without its
// image, and its cores would wait for the image. Jobs that can afford to wait are therefore first
// placed only on machines that have their image; other jobs of the same priority may overtake them
// on other machines.
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

// withinTeamLimit reports whether the quota of a job's team allows one more task of the job.
func (p *placement) withinTeamLimit(j *job, uncertain []quota.Units) bool {
	return p.teams.Team(j.request.team).AllowsAnother(j.request.size, uncertain[j.request.team])
}

// placeJob starts waiting tasks of a job while mayPlaceMore, unless nil, allows, and returns how
// many it started.
func (p *placement) placeJob(j *job, uncertain []quota.Units, mayPlaceMore func(placed int) bool) (placed int) {
	// Most waiting tasks of a full cell or of a team at its limit can't be placed. That must be
	// detected before any machine is examined.
	if len(j.progress.waiting) == 0 || !p.attempts.hasAttemptsLeft() || p.index.Infeasible(j.request.size) || !p.withinTeamLimit(j, uncertain) {
		return 0
	}
	onlyZone := anyZone
	if j.spec.Gang {
		onlyZone = p.gangZone(j)
	}
	for len(j.progress.waiting) > 0 && p.attempts.hasAttemptsLeft() && (mayPlaceMore == nil || mayPlaceMore(placed)) {
		if j.suspect() && j.progress.allocated > 0 || !p.withinTeamLimit(j, uncertain) {
			return placed // a suspect job runs one task at a time
		}
		machineIndex := p.chooseMachine(j, onlyZone)
		if machineIndex < 0 {
			return placed
		}
		m := p.machines.list[machineIndex]
		if !p.start(j, m, uncertain) {
			return placed
		}
		placed++
		if onlyZone == anyZone && j.spec.Gang {
			onlyZone = m.zone
		}
	}
	return placed
}

// start starts a job's next task on a machine, unless it may not start there. It reports whether it
// did.
func (p *placement) start(j *job, m *machine, uncertain []quota.Units) bool {
	if reason := p.refusal(proposedStart{job: j, machine: m}, uncertain); reason != startAllowed {
		p.log.Error("machine chosen for a task that may not start there", "machine", m.name, "job", j.id, "reason", reason)
		return false
	}
	p.startOn(j, m)
	return true
}

// startOn reserves resources for a job's next task on a machine and starts it there. Only
// placement.start calls it.
func (c *Core) startOn(j *job, m *machine) {
	taskIndex := j.progress.popWaiting()
	alloc := c.allocate(m, j, taskIndex, c.attempts.nextAttempt(), purposeRun)
	c.placement.refreshIndex(m)
	if c.debugEnabled {
		c.log.Debug("task placed", "task", c.jobs.taskName(alloc), "attempt", alloc.attempt, "machine", m.name,
			"goal", c.placement.goal.L, "share", alloc.share, "load", m.capacity.load, "image", m.hasImage(j.request.image))
	}
	if _, ok := j.record.hostIndexByMachine[m.index]; !ok {
		c.jobs.addHost(j, m)
	}
	if j.record.hosts[j.record.hostIndexByMachine[m.index]].durable {
		c.commands.queueStart(j, m, alloc)
	}
}

// fetchTime estimates how long a machine will take to fetch a job's image; 0 if the machine has it
// or its type has no fetch rate.
func (p *placement) fetchTime(j *job, m *machine) time.Duration {
	rate := p.types.list[m.typeIndex].FetchGBPerS
	if m.hasImage(j.request.image) || rate <= 0 {
		return 0
	}
	// Images that are fetched at the same time share the fetch rate.
	fetching := 1
	for _, alloc := range m.capacity.allocations {
		if other := p.jobs.list[alloc.job]; alloc.status != wire.TaskRunning && other.request.image != j.request.image && !m.hasImage(other.request.image) {
			fetching++
			break
		}
	}
	return settings.Seconds(float64(fetching) * j.spec.ImageGB / rate)
}

// imageFetchPending reports whether a machine has a task with the image that is not running yet, so
// that the machine will fetch the image.
func (p *placement) imageFetchPending(m *machine, image int32) bool {
	for _, alloc := range m.capacity.allocations {
		if alloc.status != wire.TaskRunning && p.jobs.list[alloc.job].request.image == image {
			return true
		}
	}
	return false
}

// gangZone chooses the zone of a job whose tasks must all run in one zone: the zone in which it
// already has tasks, or else the one with free resources for the most of them; anyZone if there is none.
// The search examines all machines, so its result is kept for one second.
func (p *placement) gangZone(j *job) int32 {
	for zone, tasks := range j.placement.tasksByZone {
		if tasks > 0 {
			return int32(zone)
		}
	}
	if j.placement.gangZoneChosenAt > 0 && p.clock.now-j.placement.gangZoneChosenAt < time.Second {
		return j.placement.gangZone
	}
	slots := make([]int, len(p.machines.zones.list))
	bestZone := anyZone
	for _, m := range p.machines.live {
		if m.indexed.schedulable && p.types.allowsPool(j, m.pool()) {
			slots[m.zone] += j.request.size.Slots(m.capacity.free)
			if bestZone == anyZone || slots[m.zone] > slots[bestZone] {
				bestZone = m.zone
			}
		}
	}
	j.placement.gangZoneChosenAt, j.placement.gangZone = p.clock.now, bestZone
	return bestZone
}

// adjustZoneCount adds change to the number of a job's tasks in a zone. Only gang and spread jobs
// are counted.
func (p *placement) adjustZoneCount(j *job, zone int32, change int) {
	if zone < 0 || j.spec == nil || !j.spec.Gang && !j.spec.Spread {
		return
	}
	for int(zone) >= len(j.placement.tasksByZone) {
		j.placement.tasksByZone = append(j.placement.tasksByZone, 0)
	}
	j.placement.tasksByZone[zone] += change
}
