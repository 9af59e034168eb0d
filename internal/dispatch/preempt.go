package dispatch

import (
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// preempt makes room for tasks of a class with an aim on waiting, by stopping
// tasks of lower priority that lose little: those that have saved a checkpoint
// a moment ago. Work that never saves is left alone.
func (c *Core) preempt(queue []*job) {
	for _, j := range queue {
		if c.aims[j.class].wait == 0 || len(j.waiting) == 0 || j.suspect() || j.spec.OneZone || j.spec.Spread {
			continue
		}
		t := &c.teams[j.team]
		if t.limit != (units{}) {
			continue // its room is not what it waits for, or hard to tell
		}
		need := len(j.waiting)
		// Room that is being freed already serves first.
		for _, m := range c.viewOf {
			if c.suits(j, m) {
				need -= j.size.Slots(m.free.Plus(c.freeing(m)))
			}
		}
		for need > 0 {
			m, b := c.victim(j)
			if b == nil {
				break
			}
			v := c.jobs[b.job]
			c.log.Debug("task preempted", "task", c.taskName(b), "machine", m.name, "for", j.ref, "lost", c.unsaved(v, b).Seconds())
			before := j.size.Slots(m.free.Plus(c.freeing(m)))
			c.stopBooking(m, b, 0)
			need -= max(1, j.size.Slots(m.free.Plus(c.freeing(m)))-before)
		}
	}
}

// suits tells whether a job's rules let it use an open machine.
func (c *Core) suits(j *job, m *machine) bool {
	return j.allows(m.typ, m.zone, m.spot) && !j.failedOn[m.index]
}

// freeing is the room on a machine that stops already ordered will give back.
func (c *Core) freeing(m *machine) slowfit.Size {
	var s slowfit.Size
	for _, b := range m.bookings {
		if b.stopping {
			s = s.Plus(c.jobs[b.job].size)
		}
	}
	return s
}

// unsaved is how much of a task's progress is not in a checkpoint.
func (c *Core) unsaved(j *job, b *booking) time.Duration {
	every := settings.Seconds(j.spec.CheckpointS)
	return (c.now - b.ranSince) % every
}

// preemptDelay is what being preempted is assumed to cost a task.
const preemptDelay = 20 * time.Second

// endangered tells whether a task would miss its deadline by being preempted
// and might meet it otherwise.
func (c *Core) endangered(j *job, b *booking) bool {
	left := max(c.expectedRun(j)-(c.now-b.ranSince), 0)
	spare := j.due - c.now - left
	return spare > -preemptDelay/2 && spare < preemptDelay
}

// victim finds the task of lower priority that loses the least, or none whose
// loss is small.
func (c *Core) victim(j *job) (*machine, *booking) {
	var onto *machine
	var best *booking
	var least time.Duration
	for _, m := range c.viewOf {
		if !c.suits(j, m) || j.size.Slots(m.total) == 0 {
			continue
		}
		for _, b := range m.bookings {
			v := c.jobs[b.job]
			if v.rank <= j.rank || v.spec == nil || v.spec.CheckpointS <= 0 || v.over() || b.stopping ||
				b.state != bookConfirmed || b.status != wire.TaskRunning || v.size.CPUs < j.size.CPUs || v.size.MemGB < j.size.MemGB {
				continue
			}
			every := settings.Seconds(v.spec.CheckpointS)
			lost := c.unsaved(v, b)
			if c.now-b.ranSince < every || lost > every/4 || c.endangered(v, b) {
				continue
			}
			if best == nil || lost < least {
				onto, best, least = m, b, lost
			}
		}
	}
	return onto, best
}
