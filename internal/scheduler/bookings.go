package scheduler

import (
	"math"
	"time"

	"leadproxy/internal/wire"
)

// The states of a booking.
type bookState uint8

const (
	bookPlanned   bookState = iota // waits for its host to be durable
	bookQueued                     // its start leaves with the end of this step
	bookSent                       // a start is on its way, or its outcome is unknown
	bookConfirmed                  // the worker has executed the start, or reported the task
)

// booking is room taken on a machine for one attempt of a task.
type booking struct {
	job, task int32
	zone      int32
	attempt   uint64
	state     bookState
	// answered is the seq of the report whose answer carried the start; 0: a
	// direct command did. Only a later report tells that it was not executed.
	answered uint64
	seen     uint64 // the last look at a report that listed it
	status   string // as last reported
	share    float64
	phase    uint32
	ranSince time.Duration // when it began to run, or was first seen running
	// late: it was running before it was first seen, for nobody knows how long.
	late     bool
	stopping bool
	grace    float64
	moving   bool // a plan has it stopped
	// stopRepeated: its stop may have come before its start, and was sent again.
	stopRepeated bool
}

func (c *Core) taskName(b *booking) string { return wire.TaskName(c.jobs[b.job].ref, int(b.task)) }

func (m *machine) booking(attempt uint64) *booking {
	for _, b := range m.bookings {
		if b.attempt == attempt {
			return b
		}
	}
	return nil
}

// book takes room on a machine. charge is false for a task that is only waited
// for to be gone.
func (c *Core) book(m *machine, j *job, n int32, attempt uint64, charge bool) *booking {
	b := &booking{job: j.index, task: n, zone: m.zone, attempt: attempt, share: j.size.Share(m.total)}
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
	c.classUse[j.class] += j.size.CPUs
	c.teams[j.team].booked = c.teams[j.team].booked.plus(unitsOf(j.size))
	m.free = m.free.Minus(j.size)
	if m.phase != c.goal.Phase {
		m.phase, m.load = c.goal.Phase, 0
	}
	b.phase = m.phase
	m.load += b.share
	m.bookings = append(m.bookings, b)
	m.idleSince = c.now
	c.changed(m)
	c.touch(m)
	return b
}

// free gives a booking's room back.
func (c *Core) free(m *machine, b *booking) {
	for k, o := range m.bookings {
		if o == b {
			m.bookings = append(m.bookings[:k], m.bookings[k+1:]...)
			break
		}
	}
	j := c.jobs[b.job]
	j.booked--
	j.zoned(b.zone, -1)
	c.classUse[j.class] -= j.size.CPUs
	c.teams[j.team].booked = c.teams[j.team].booked.minus(unitsOf(j.size))
	if len(m.bookings) == 0 {
		m.free, m.load = m.total, 0
	} else {
		m.free = m.free.Plus(j.size)
		if b.phase == m.phase {
			m.load = max(0, m.load-b.share)
		}
	}
	m.idleSince = c.now
	c.changed(m)
	c.touch(m)
	c.dirty = true
	c.settleJob(j)
}

// release gives a booking's room back and has its task wait again.
func (c *Core) release(m *machine, b *booking) {
	c.lostWork(m, b)
	c.displaced(m, b, false, "its machine is lost")
	c.free(m, b)
	c.requeue(c.jobs[b.job], b.task)
}

// dropBookings frees all of a machine whose tasks are certainly gone.
func (c *Core) dropBookings(m *machine, why string) {
	for len(m.bookings) > 0 {
		b := m.bookings[len(m.bookings)-1]
		c.log.Debug("task lost with its machine", "machine", m.name, "task", c.taskName(b), "why", why)
		c.release(m, b)
	}
	m.outbox = nil
}
