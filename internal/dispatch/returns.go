package dispatch

import (
	"math"
	"slices"
	"time"

	"leadproxy/internal/fleet"
	"leadproxy/internal/settings"
)

// askDelete has a machine deleted. It is gone only when the cloud says so; until
// then the wish is repeated now and then.
func (c *Core) askDelete(m *machine, why string) {
	if m.state == machineDeleting && c.now-m.asked < 10*time.Second {
		return
	}
	c.log.Info("returning machine", "machine", m.name, "why", why, "bookings", len(m.bookings), "age", (c.now - m.hired).Seconds())
	m.state, m.asked = machineDeleting, c.now
	c.touch(m)
	c.fleet.deletes = append(c.fleet.deletes, m.name)
}

// flushDeletes asks for the deletions of a step together, since the cloud takes
// few calls.
func (c *Core) flushDeletes() {
	for names := c.fleet.deletes; len(names) > 0; {
		n := min(len(names), fleet.MaxDelete)
		c.emit(CallCloud{fleet.Call{Delete: slices.Clone(names[:n])}})
		names = names[n:]
	}
	c.fleet.deletes = c.fleet.deletes[:0]
}

// quiet is how long a machine has not shown that it hears this leader. That its
// reports come in alone shows nothing.
func (c *Core) quiet(m *machine) time.Duration { return c.now - max(m.echoed, m.begun, c.awake) }

// expected tells whether a machine should be reporting: it has, or an earlier
// leader has started something on it.
func (c *Core) expected(m *machine) bool {
	return m.state == machineUp || m.state == machineBooting && len(m.unclear) > 0
}

// Reporting is how many machines should be reporting.
func (c *Core) Reporting() int { return c.reporting }

// returnMachines gives back what is broken, lost, or not needed any more.
func (c *Core) returnMachines() {
	var cores float64
	up, silent := make([]int, len(c.zones.list)), make([]int, len(c.zones.list))
	allUp, allSilent := 0, 0
	for _, m := range c.live {
		if c.counts(m) {
			cores += m.total.CPUs
		}
		if c.expected(m) && m.zone >= 0 {
			up[m.zone]++
			allUp++
			if c.quiet(m) >= c.silentAfter() && m.missing < 2 {
				silent[m.zone]++
				allSilent++
			}
		}
	}
	c.reporting = allUp
	warm := c.warmCores()
	// A machine that some waiting task could use is kept, whatever keeps that
	// task from it now. One that is too small or not allowed for all of them is
	// not: on a large site there is always something waiting.
	// Nor is one that only tasks beyond their team's limit would use.
	waiting := slices.DeleteFunc(c.queue(), func(j *job) bool { return c.roomInLimit(j, c.teams[j.team].booked) == 0 })
	wanted := func(m *machine) bool {
		return slices.ContainsFunc(waiting, func(j *job) bool {
			return j.allows(m.typ, m.zone, m.spot) && j.size.Within(m.total)
		})
	}
	// A whole zone silent at once, or most machines, is rather a cut between us
	// and them: there they work on, and deleting them would lose that. When it
	// ends, or their reports come by another way, they come back one by one.
	for len(c.cutAt) < len(up) {
		c.cutAt = append(c.cutAt, math.MinInt64/2)
	}
	for z := range up {
		if 2*allSilent > max(allUp, 2) || up[z] > 1 && silent[z] == up[z] {
			c.cutAt[z] = c.now
		}
	}
	cutOff := func(m *machine) bool { return m.zone >= 0 && c.now-c.cutAt[m.zone] < 4*c.report }
	for _, m := range c.live {
		quiet := c.quiet(m)
		switch {
		case m.state == machineGone:
		case m.state == machineDeleting:
			c.askDelete(m, "not yet known to be gone")
		case c.expected(m) && quiet > c.silentAfter() && m.missing >= 2:
			// Absence from the list proves nothing, but its deletion will.
			c.askDelete(m, "silent and not listed any more")
		case c.expected(m) && quiet > 4*c.report && !cutOff(m):
			c.askDelete(m, "silent")
		case m.state == machineBooting:
			if m.typ < 0 && quiet < c.leaseTime {
				break
			}
			patience := 90 * time.Second
			if m.typ >= 0 {
				patience = time.Duration(c.cfg.Operator.BootPatience * float64(settings.Seconds(c.types[m.typ].BootS)))
			}
			// A machine that an earlier leader had up may be silent for a while:
			// it has a lease's time to show itself.
			if c.now-m.hired > patience && c.now-c.began > c.leaseTime {
				c.askDelete(m, "did not come up")
			}
		case quiet > c.leaseTime+c.report:
			c.askDelete(m, "lost")
		case len(m.bookings) > 0:
		case m.noticeAt > 0:
			c.askDelete(m, "will be taken back")
		case m.quarantine:
			c.askDelete(m, "faulty")
		case c.now-m.hired < leastRental || !m.known(c.term) || wanted(m):
		default:
			// Ordinary machines cost a multiple and are not kept for what may come.
			target, patience := warm, c.cfg.Operator.IdleReturn
			if !m.spot {
				target, patience = 0, patience/4
			}
			if c.now-m.idleSince > patience && cores-m.total.CPUs >= target {
				cores -= m.total.CPUs
				c.askDelete(m, "idle")
			}
		}
	}
}
