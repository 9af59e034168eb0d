package scheduler

import (
	"math"
	"time"

	"leadproxy/internal/slowfit"
)

// allocationState is the progress of an allocation from placement to confirmation by the agent.
type allocationState uint8

const (
	allocationPlanned   allocationState = iota // its host record is not durable yet
	allocationQueued                           // its start waits for the next response, or is sent at the end of this step
	allocationSent                             // its start is in flight, or the outcome of its start is unknown
	allocationConfirmed                        // the agent has executed the start, or reported the task
)

// allocation is the resources reserved on a machine for one attempt of a task.
type allocation struct {
	job, task int32 // indices
	zone      int32
	attempt   uint64
	state     allocationState
	// responseSequence is the sequence number of the heartbeat whose response carried the start;
	// 0 if a direct command carried it. Only a later heartbeat can show that the start was not
	// executed.
	responseSequence  uint64
	lastHeartbeatSeen uint64        // number of the last processed heartbeat that listed the attempt
	status            string        // task status in the last heartbeat
	share             float64       // load of the task on the machine, as SLOW-FIT counts it
	phase             uint32        // phase of the SLOW-FIT goal in which share was added to the load
	runningSince      time.Duration // when the task started to run or was first reported running; 0: neither yet
	// runStartUnknown is set when the task was already running when this leader first saw it
	// and its start time is unknown, so its run time can't be measured.
	runStartUnknown bool
	stopping        bool    // the task is being stopped
	gracePeriodS    float64 // seconds that the stop allows for a checkpoint
	evictedByPlan   bool    // a drain plan has stopped the task
	// stopRepeated is set once the stop has been sent again, because the first one may have
	// reached the agent before the start.
	stopRepeated bool
	// start tracks the delivery of the start, which can be withdrawn until it is sent.
	start StartDelivery
}

// withdrawStart withdraws the start and reports whether it did so in time. After true, the start
// never leaves this controller.
func (a *allocation) withdrawStart() bool { return a.state == allocationSent && a.start.withdraw() }

// capacity is the resources of one machine, the allocations on them, and the images in its cache.
type capacity struct {
	total       slowfit.Size
	free        slowfit.Size
	load        float64 // load added in the current phase of the SLOW-FIT goal
	phase       uint32
	allocations []*allocation
	// endedAttempts is the number of ended attempts in the newest heartbeat, which still lists them.
	endedAttempts int
	idleSince     time.Duration
	images        []cachedImage // least recently used first
	reserved      bool          // reserved for the first task of one job
}

// allocation returns the allocation of an attempt on the machine, or nil.
func (m *machine) allocation(attempt uint64) *allocation {
	for _, alloc := range m.capacity.allocations {
		if alloc.attempt == attempt {
			return alloc
		}
	}
	return nil
}

// addImage records that the machine's cache holds an image, now the most recently used one, and
// evicts the least recently used images while the total exceeds the cache size. Sizes are in GB.
func (c *capacity) addImage(image int32, sizeGB, cacheGB float64) {
	for i, cached := range c.images {
		if cached.image == image {
			copy(c.images[i:], c.images[i+1:])
			c.images[len(c.images)-1] = cached
			return
		}
	}
	c.images = append(c.images, cachedImage{image, sizeGB})
	totalGB := 0.0
	for _, cached := range c.images {
		totalGB += cached.gb
	}
	for len(c.images) > 1 && totalGB > cacheGB {
		totalGB -= c.images[0].gb
		c.images = c.images[1:]
	}
}

// inheritImage adds an image that an earlier leader's soft state lists for the machine.
func (c *capacity) inheritImage(image int32, sizeGB float64) {
	c.images = append(c.images, cachedImage{image, sizeGB})
}

// setTotal sets the machine's total resources when its type becomes known or changes. Resources in
// use stay in use.
func (c *capacity) setTotal(total slowfit.Size) {
	used := c.total.Minus(c.free)
	c.total = total
	c.free = total.Minus(used)
}

// placeable returns the resources for further tasks. Ended attempts that a heartbeat still lists take the
// place of a task.
func (c *capacity) placeable() slowfit.Size {
	return c.free.Minus(slowfit.Size{Tasks: float64(c.endedAttempts)})
}

// setEndedAttempts sets the number of ended attempts that the agent still lists. It reports whether the
// machine may run further tasks and could not before, for the number of its tasks.
func (c *capacity) setEndedAttempts(count int) (freed bool) {
	wasFull := c.placeable().Tasks < 1
	c.endedAttempts = count
	return wasFull && c.placeable().Tasks >= 1
}

// markUsed records when the machine was last in use.
func (c *capacity) markUsed(at time.Duration) { c.idleSince = at }

// allocationPurpose is the reason why resources are reserved.
type allocationPurpose int

const (
	purposeRun        allocationPurpose = iota // the task is to run
	purposeUntilEnded                          // the job has ended; the resources stay reserved until the task has too
)

// allocate reserves resources on a machine for an attempt of a job's task.
func (c *Core) allocate(m *machine, j *job, taskIndex int32, attempt uint64, purpose allocationPurpose) *allocation {
	alloc := c.placement.reserveResources(m, j, taskIndex, attempt, purpose)
	c.softState.machineChanged(m)
	return alloc
}

// deallocate releases an allocation's resources. If that was the last allocation of a job that has
// ended, the job is cleaned up.
func (c *Core) deallocate(m *machine, alloc *allocation) {
	c.placement.releaseResources(m, alloc)
	c.softState.machineChanged(m)
	c.jobs.cleanUp(c.jobs.list[alloc.job])
}

// reserveResources adds an allocation to its machine, job, class and team.
func (p *placement) reserveResources(m *machine, j *job, taskIndex int32, attempt uint64, purpose allocationPurpose) *allocation {
	alloc := &allocation{job: j.index, task: taskIndex, zone: m.zone, attempt: attempt, share: j.request.size.Share(m.capacity.total)}
	alloc.stopping = purpose == purposeUntilEnded // mustStop adds the stop to the next heartbeat response
	if math.IsInf(alloc.share, 1) {
		alloc.share = 0
	}
	j.progress.addAllocation(taskIndex, purpose)
	p.adjustZoneCount(j, alloc.zone, 1)
	p.classes.addAllocated(j.request.class, j.request.size.CPUs)
	p.teams.Team(j.request.team).Allocate(j.request.size)
	m.capacity.free = m.capacity.free.Minus(j.request.size)
	if m.capacity.phase != p.goal.Phase {
		m.capacity.phase, m.capacity.load = p.goal.Phase, 0
	}
	alloc.phase = m.capacity.phase
	m.capacity.load += alloc.share
	m.capacity.allocations = append(m.capacity.allocations, alloc)
	m.capacity.idleSince = p.clock.now
	p.markIndexStale(m)
	return alloc
}

// releaseResources removes an allocation from its machine, job, class and team.
func (p *placement) releaseResources(m *machine, alloc *allocation) {
	for i, other := range m.capacity.allocations {
		if other == alloc {
			m.capacity.allocations = append(m.capacity.allocations[:i], m.capacity.allocations[i+1:]...)
			break
		}
	}
	j := p.jobs.list[alloc.job]
	j.progress.removeAllocation()
	p.adjustZoneCount(j, alloc.zone, -1)
	p.classes.removeAllocated(j.request.class, j.request.size.CPUs)
	p.teams.Team(j.request.team).Deallocate(j.request.size)
	if len(m.capacity.allocations) == 0 {
		m.capacity.free, m.capacity.load = m.capacity.total, 0
	} else {
		m.capacity.free = m.capacity.free.Plus(j.request.size)
		if alloc.phase == m.capacity.phase {
			m.capacity.load = max(0, m.capacity.load-alloc.share)
		}
	}
	m.capacity.idleSince = p.clock.now
	p.markIndexStale(m)
	p.needed = true
}

// releaseAndRequeue releases an allocation whose task no longer runs and requeues the task. A start
// that has not been sent yet is withdrawn and never sent.
func (c *Core) releaseAndRequeue(m *machine, alloc *allocation) {
	c.commands.withdrawUnsentStart(m, alloc)
	c.spending.addLostWork(m, alloc)
	c.disruptions.recordDisruption(m, alloc, false, "its machine is lost")
	c.deallocate(m, alloc)
	c.placement.requeueTask(c.jobs.list[alloc.job], alloc.task)
}

// releaseLostAllocations releases all allocations of a machine on which no task can be running any
// more, and drops its pending commands.
func (c *Core) releaseLostAllocations(m *machine, why string) {
	for len(m.capacity.allocations) > 0 {
		alloc := m.capacity.allocations[len(m.capacity.allocations)-1]
		c.log.Debug("task lost with its machine", "machine", m.name, "task", c.jobs.taskName(alloc), "reason", why)
		c.releaseAndRequeue(m, alloc)
	}
	m.commands.dropPending()
}
