package scheduler

import (
	"math"
	"time"

	"leadproxy/internal/wire"
)

// The states of a booking.
type allocationState uint8

const (
	allocationPlanned   allocationState = iota // waits for its host to be durable
	allocationQueued                           // its start leaves with the end of this step
	allocationSent                             // a start is on its way, or its outcome is unknown
	allocationConfirmed                        // the worker has executed the start, or reported the task
)

// allocation is room taken on a machine for one attempt of a task.
type allocation struct {
	job, task int32
	zone      int32
	attempt   uint64
	state     allocationState
	// answeredSequence is the seq of the report whose answer carried the start; 0: a
	// direct command did. Only a later report tells that it was not executed.
	answeredSequence  uint64
	lastHeartbeatSeen uint64 // the last look at a report that listed it
	status            string // as last reported
	share             float64
	phase             uint32
	runningSince      time.Duration // when it began to run, or was first seen running
	// runStartUnknown: it was running before it was first seen, for nobody knows how long.
	runStartUnknown bool
	stopping        bool
	gracePeriod     float64
	moving          bool // a plan has it stopped
	// stopRepeated: its stop may have come before its start, and was sent again.
	stopRepeated bool
}

func (c *Core) taskName(b *allocation) string {
	return wire.TaskName{JobID: c.jobs[b.job].id, Index: int(b.task)}.String()
}

func (m *machine) allocation(attempt uint64) *allocation {
	for _, b := range m.allocations {
		if b.attempt == attempt {
			return b
		}
	}
	return nil
}

// allocate takes room on a machine. charge is false for a task that is only waited
// for to be gone.
func (c *Core) allocate(m *machine, j *job, n int32, attempt uint64, charge bool) *allocation {
	b := &allocation{job: j.index, task: n, zone: m.zone, attempt: attempt, share: j.size.Share(m.total)}
	if charge {
		j.tasks[n].state = taskBooked
	} else {
		b.stopping = true
	}
	if math.IsInf(b.share, 1) {
		b.share = 0
	}
	j.booked++
	j.zoned(b.zone, 1)
	c.coresByClass[j.class] += j.size.CPUs
	c.teams[j.team].booked = c.teams[j.team].booked.plus(unitsOf(j.size))
	m.free = m.free.Minus(j.size)
	if m.phase != c.goal.Phase {
		m.phase, m.load = c.goal.Phase, 0
	}
	b.phase = m.phase
	m.load += b.share
	m.allocations = append(m.allocations, b)
	m.idleSince = c.now
	c.changed(m)
	c.indexChanged(m)
	return b
}

// deallocate gives a booking's room back.
func (c *Core) deallocate(m *machine, b *allocation) {
	for k, o := range m.allocations {
		if o == b {
			m.allocations = append(m.allocations[:k], m.allocations[k+1:]...)
			break
		}
	}
	j := c.jobs[b.job]
	j.booked--
	j.zoned(b.zone, -1)
	c.coresByClass[j.class] -= j.size.CPUs
	c.teams[j.team].booked = c.teams[j.team].booked.minus(unitsOf(j.size))
	if len(m.allocations) == 0 {
		m.free, m.load = m.total, 0
	} else {
		m.free = m.free.Plus(j.size)
		if b.phase == m.phase {
			m.load = max(0, m.load-b.share)
		}
	}
	m.idleSince = c.now
	c.changed(m)
	c.indexChanged(m)
	c.needsPlacement = true
	c.settleJob(j)
}

// release gives a booking's room back and has its task wait again.
func (c *Core) release(m *machine, b *allocation) {
	c.lostWork(m, b)
	c.displaced(m, b, false, "its machine is lost")
	c.deallocate(m, b)
	c.requeue(c.jobs[b.job], b.task)
}

// dropAllocations frees all of a machine whose tasks are certainly gone.
func (c *Core) dropAllocations(m *machine, why string) {
	for len(m.allocations) > 0 {
		b := m.allocations[len(m.allocations)-1]
		c.log.Debug("task lost with its machine", "machine", m.name, "task", c.taskName(b), "why", why)
		c.release(m, b)
	}
	m.pendingCommands = nil
}
