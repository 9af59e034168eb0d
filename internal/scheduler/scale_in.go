package scheduler

import (
	"math"
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/settings"
)

// askDelete has a machine deleted. It is gone only when the cloud says so; until
// then it is asked for again now and then.
func (c *Core) askDelete(m *machine, why string) {
	if m.state == machineDeleting && c.clock.now-m.rental.lastDeleteRequest < 10*time.Second {
		return
	}
	c.log.Info("returning machine", "machine", m.name, "why", why, "bookings", len(m.capacity.allocations), "age", (c.clock.now - m.rental.rentedAt).Seconds())
	m.state, m.rental.lastDeleteRequest = machineDeleting, c.clock.now
	c.indexChanged(m)
	c.autoscaling.deletes = append(c.autoscaling.deletes, m.name)
}

// flushDeletes asks for the deletions of a step together, since the cloud takes
// few calls.
func (c *Core) flushDeletes() {
	for names := c.autoscaling.deletes; len(names) > 0; {
		n := min(len(names), autoscaler.MaxDelete)
		c.effects.emit(CallCloud{autoscaler.Call{Delete: slices.Clone(names[:n])}})
		names = names[n:]
	}
	c.autoscaling.deletes = c.autoscaling.deletes[:0]
}

// inactive is how long a machine has not shown that it hears this leader. That its
// reports come in alone shows nothing.
func (c *Core) inactive(m *machine) time.Duration {
	return c.clock.now - max(m.agent.lastAcknowledged, m.agent.epochSeenAt, c.clock.tickingSince)
}

// expected tells whether a machine should be reporting: it has, or an earlier
// leader has started something on it.
func (c *Core) expected(m *machine) bool {
	return m.state == machineUp || m.state == machineStarting && len(m.recorded.inDoubtJobs) > 0
}

// ExpectedAgents is how many machines should be reporting.
func (c *Core) ExpectedAgents() int { return c.agents.expectedCount }

// scaleIn gives back what is broken, lost, or not needed any more.
func (c *Core) scaleIn() {
	cores := c.countFleet()
	headroom := c.headroomCores()
	waiting := c.placeableWithinLimit()
	for _, m := range c.machines.live {
		if m.state == machineGone {
			continue
		}
		if why := c.reasonToScaleIn(m); why != "" {
			c.askDelete(m, why)
			continue
		}
		// Ordinary machines cost a multiple and are not kept for what may come.
		target, patience := headroom, c.cfg.Operator.IdleReturn
		if !m.spot {
			target, patience = 0, patience/4
		}
		if c.mayGoIdle(m, waiting) && c.clock.now-m.capacity.idleSince > patience && cores-m.capacity.total.CPUs >= target {
			cores -= m.capacity.total.CPUs
			c.askDelete(m, "idle")
		}
	}
}

// zoneCount is how many machines of a zone should be reporting, and how many of them
// are silent.
type zoneCount struct{ up, silent int }

// countFleet counts the cores to plan with, and notes how many machines should be
// reporting and which zones seem to be cut off.
func (c *Core) countFleet() (cores float64) {
	zones := make([]zoneCount, len(c.machines.zones.list))
	var all zoneCount
	for _, m := range c.machines.live {
		if c.counts(m) {
			cores += m.capacity.total.CPUs
		}
		if !c.expected(m) || m.zone < 0 {
			continue
		}
		zones[m.zone].up++
		all.up++
		if c.inactive(m) >= c.unreachableAfter() && m.rental.missedListings < 2 {
			zones[m.zone].silent++
			all.silent++
		}
	}
	c.agents.expectedCount = all.up
	c.noteCuts(zones, all)
	return cores
}

// noteCuts notes which zones seem to be cut off. A whole zone silent at once, or most
// machines, is rather a cut between us and them: there they work on, and deleting them
// would lose that. When it ends, or their reports come by another way, they come back
// one by one.
func (c *Core) noteCuts(zones []zoneCount, all zoneCount) {
	for len(c.agents.zoneCutAt) < len(zones) {
		c.agents.zoneCutAt = append(c.agents.zoneCutAt, math.MinInt64/2)
	}
	maxSilent := 2*all.silent > max(all.up, 2)
	for i, z := range zones {
		if maxSilent || z.up > 1 && z.silent == z.up {
			c.agents.zoneCutAt[i] = c.clock.now
		}
	}
}

// cutOff tells whether a machine's zone seems to be cut off, or was a moment ago.
func (c *Core) cutOff(m *machine) bool {
	return m.zone >= 0 && c.clock.now-c.agents.zoneCutAt[m.zone] < 4*c.agents.heartbeatInterval
}

// placeableWithinLimit lists the jobs with tasks that their teams' limits let run.
func (c *Core) placeableWithinLimit() []*job {
	return slices.DeleteFunc(c.queue(), func(j *job) bool { return c.roomInLimit(j, c.placement.teams[j.request.team].booked) == 0 })
}

// mayGoIdle tells whether an idle machine may be given back at all: its least rental is
// over and no waiting task could use it. One that some waiting task could use is kept,
// whatever keeps that task from it now. One that is too small or not allowed for all of
// them is not: on a large site there is always something waiting. Nor is one that only
// tasks beyond their team's limit would use.
func (c *Core) mayGoIdle(m *machine, waiting []*job) bool {
	if m.state != machineUp || m.eviction.kept || len(m.capacity.allocations) > 0 || c.clock.now-m.rental.rentedAt < minRental || !m.trusted(c.term) {
		return false
	}
	return !slices.ContainsFunc(waiting, func(j *job) bool {
		return j.allows(m.typ, m.zone, m.spot) && j.request.size.Within(m.capacity.total)
	})
}

// reasonToScaleIn tells why a machine is to be given back whether or not it is wanted;
// "": there is no reason.
func (c *Core) reasonToScaleIn(m *machine) string {
	quiet := c.inactive(m)
	switch {
	case m.state == machineDeleting:
		return "not yet known to be gone"
	case c.expected(m) && quiet > c.unreachableAfter() && m.rental.missedListings >= 2:
		// Absence from the list proves nothing, but its deletion will.
		return "silent and not listed any more"
	case c.expected(m) && quiet > 4*c.agents.heartbeatInterval && !c.cutOff(m):
		return "silent"
	case m.state == machineStarting:
		return c.reasonToStopBoot(m, quiet)
	case quiet > c.agents.lease+c.agents.heartbeatInterval:
		return "lost"
	case len(m.capacity.allocations) > 0:
		return ""
	case m.rental.terminationAt > 0:
		return "will be taken back"
	case m.health.quarantined:
		return "faulty"
	}
	return ""
}

// unknownBootPatience is how long a machine of an unknown type may boot.
const unknownBootPatience = 90 * time.Second

// reasonToStopBoot tells why a machine that has not reported yet is to be given back.
// One that an earlier leader had up may be silent for a while: it has a lease's time to
// show itself.
func (c *Core) reasonToStopBoot(m *machine, quiet time.Duration) string {
	patience := unknownBootPatience
	switch {
	case m.typ >= 0:
		patience = time.Duration(c.cfg.Operator.BootPatience * float64(settings.Seconds(c.autoscaling.types[m.typ].BootS)))
	case quiet < c.agents.lease:
		return ""
	}
	if c.clock.now-m.rental.rentedAt > patience && c.clock.now-c.clock.termStart > c.agents.lease {
		return "did not come up"
	}
	return ""
}
