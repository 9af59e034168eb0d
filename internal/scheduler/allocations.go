package scheduler

import (
	"math"
	"time"

	"leadproxy/internal/slowfit"
)

// The states of an allocation.
type allocationState uint8

const (
	allocationPlanned   allocationState = iota // waits for its host to be durable
	allocationQueued                           // its start leaves with the end of this step
	allocationSent                             // a start is on its way, or its outcome is unknown
	allocationConfirmed                        // the agent has executed the start, or reported the task
)

// allocation is room taken on a machine for one attempt of a task.
type allocation struct {
	job, task int32
	zone      int32
	attempt   uint64
	state     allocationState
	// responseSequence is the sequence number of the heartbeat whose response carried the start;
	// 0: a direct command did. Only a later heartbeat shows that it was not executed.
	responseSequence  uint64
	lastHeartbeatSeen uint64 // number of the last processed heartbeat that listed it
	status            string // as in the last heartbeat
	share             float64
	phase             uint32
	runningSince      time.Duration // when it began to run, or was first seen running
	// runStartUnknown: it was running before it was first seen, and it is not known for how
	// long.
	runStartUnknown bool
	stopping        bool
	gracePeriodS    float64
	evictedByPlan   bool // a plan has it stopped
	// stopRepeated: its stop may have come before its start, and was sent again.
	stopRepeated bool
	// start is the delivery of its start, which can be withdrawn until it is sent.
	start StartDelivery
}

// withdrawStart withdraws the start, and tells whether that came in time: it never leaves this
// controller then.
func (b *allocation) withdrawStart() bool { return b.state == allocationSent && b.start.withdraw() }

// capacity is the room of one machine, what takes it, and the images it holds.
type capacity struct {
	total       slowfit.Size
	free        slowfit.Size
	load        float64 // of the present phase of the SLOW-FIT goal
	phase       uint32
	allocations []*allocation
	idleSince   time.Duration
	images      []cachedImage // the least recently used one first
	reserved    bool          // kept free for one job's first task
}

func (m *machine) allocation(attempt uint64) *allocation {
	for _, b := range m.capacity.allocations {
		if b.attempt == attempt {
			return b
		}
	}
	return nil
}

// addImage notes that the machine holds an image, and drops the least recently used ones beyond
// its cache.
func (m *capacity) addImage(image int32, gb, cache float64) {
	for i, s := range m.images {
		if s.image == image {
			copy(m.images[i:], m.images[i+1:])
			m.images[len(m.images)-1] = s
			return
		}
	}
	m.images = append(m.images, cachedImage{image, gb})
	sum := 0.0
	for _, s := range m.images {
		sum += s.gb
	}
	for len(m.images) > 1 && sum > cache {
		sum -= m.images[0].gb
		m.images = m.images[1:]
	}
}

// inheritImage adds an image that the soft state of an earlier leader names.
func (m *capacity) inheritImage(image int32, gb float64) {
	m.images = append(m.images, cachedImage{image, gb})
}

// setTotal takes the room of the machine's type, once that is known or has changed.
func (m *capacity) setTotal(total slowfit.Size) {
	used := m.total.Minus(m.free)
	m.total = total
	m.free = total.Minus(used)
}

// markUsed notes when the machine was last used.
func (m *capacity) markUsed(at time.Duration) { m.idleSince = at }

// allocationPurpose is what room is allocated for.
type allocationPurpose int

// The purposes of an allocation.
const (
	purposeRun        allocationPurpose = iota // the task is to run
	purposeUntilEnded                          // its job has ended, and the room is taken until the task has
)

// allocate takes room on a machine.
func (c *Core) allocate(m *machine, j *job, n int32, attempt uint64, purpose allocationPurpose) *allocation {
	b := c.placement.reserveResources(m, j, n, attempt, purpose)
	c.softState.machineChanged(m)
	return b
}

// deallocate frees an allocation's room. A job that has ended may be cleaned up then.
func (c *Core) deallocate(m *machine, b *allocation) {
	c.placement.releaseResources(m, b)
	c.softState.machineChanged(m)
	c.jobs.cleanUp(c.jobs.list[b.job])
}

// reserveResources adds an allocation to its machine, its job, its class and its team.
func (p *placement) reserveResources(m *machine, j *job, n int32, attempt uint64, purpose allocationPurpose) *allocation {
	b := &allocation{job: j.index, task: n, zone: m.zone, attempt: attempt, share: j.request.size.Share(m.capacity.total)}
	b.stopping = purpose == purposeUntilEnded // mustStop stops it in the next response
	if math.IsInf(b.share, 1) {
		b.share = 0
	}
	j.progress.addAllocation(n, purpose)
	p.adjustZoneCount(j, b.zone, 1)
	p.classes.addAllocated(j.request.class, j.request.size.CPUs)
	p.teams.Team(j.request.team).Allocate(j.request.size)
	m.capacity.free = m.capacity.free.Minus(j.request.size)
	if m.capacity.phase != p.goal.Phase {
		m.capacity.phase, m.capacity.load = p.goal.Phase, 0
	}
	b.phase = m.capacity.phase
	m.capacity.load += b.share
	m.capacity.allocations = append(m.capacity.allocations, b)
	m.capacity.idleSince = p.clock.now
	p.markIndexStale(m)
	return b
}

// releaseResources removes an allocation.
func (p *placement) releaseResources(m *machine, b *allocation) {
	for k, o := range m.capacity.allocations {
		if o == b {
			m.capacity.allocations = append(m.capacity.allocations[:k], m.capacity.allocations[k+1:]...)
			break
		}
	}
	j := p.jobs.list[b.job]
	j.progress.removeAllocation()
	p.adjustZoneCount(j, b.zone, -1)
	p.classes.removeAllocated(j.request.class, j.request.size.CPUs)
	p.teams.Team(j.request.team).Deallocate(j.request.size)
	if len(m.capacity.allocations) == 0 {
		m.capacity.free, m.capacity.load = m.capacity.total, 0
	} else {
		m.capacity.free = m.capacity.free.Plus(j.request.size)
		if b.phase == m.capacity.phase {
			m.capacity.load = max(0, m.capacity.load-b.share)
		}
	}
	m.capacity.idleSince = p.clock.now
	p.markIndexStale(m)
	p.needed = true
}

// releaseAndRequeue frees an allocation's room and has its task wait again. A start that has not been sent yet
// is never sent then.
func (c *Core) releaseAndRequeue(m *machine, b *allocation) {
	c.commands.withdrawUnsentStart(m, b)
	c.spending.addLostWork(m, b)
	c.disruptions.recordDisruption(m, b, false, "its machine is lost")
	c.deallocate(m, b)
	c.placement.requeueTask(c.jobs.list[b.job], b.task)
}

// releaseLostAllocations frees all of a machine whose tasks are certainly gone.
func (c *Core) releaseLostAllocations(m *machine, why string) {
	for len(m.capacity.allocations) > 0 {
		b := m.capacity.allocations[len(m.capacity.allocations)-1]
		c.log.Debug("task lost with its machine", "machine", m.name, "task", c.jobs.taskName(b), "reason", why)
		c.releaseAndRequeue(m, b)
	}
	m.commands.dropPending()
}
