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
	if m.state == machineDeleting && c.now-m.lastDeleteRequest < 10*time.Second {
		return
	}
	c.log.Info("returning machine", "machine", m.name, "why", why, "bookings", len(m.allocations), "age", (c.now - m.rentedAt).Seconds())
	m.state, m.lastDeleteRequest = machineDeleting, c.now
	c.indexChanged(m)
	c.autoscaling.deletes = append(c.autoscaling.deletes, m.name)
}

// flushDeletes asks for the deletions of a step together, since the cloud takes
// few calls.
func (c *Core) flushDeletes() {
	for names := c.autoscaling.deletes; len(names) > 0; {
		n := min(len(names), autoscaler.MaxDelete)
		c.emit(CallCloud{autoscaler.Call{Delete: slices.Clone(names[:n])}})
		names = names[n:]
	}
	c.autoscaling.deletes = c.autoscaling.deletes[:0]
}

// inactive is how long a machine has not shown that it hears this leader. That its
// reports come in alone shows nothing.
func (c *Core) inactive(m *machine) time.Duration {
	return c.now - max(m.lastAcknowledged, m.epochSeenAt, c.tickingSince)
}

// expected tells whether a machine should be reporting: it has, or an earlier
// leader has started something on it.
func (c *Core) expected(m *machine) bool {
	return m.state == machineUp || m.state == machineStarting && len(m.inDoubtJobs) > 0
}

// ExpectedAgents is how many machines should be reporting.
func (c *Core) ExpectedAgents() int { return c.expectedAgents }

// scaleIn gives back what is broken, lost, or not needed any more.
func (c *Core) scaleIn() {
	cores := c.countFleet()
	headroom := c.headroomCores()
	waiting := c.placeableWithinLimit()
	for _, m := range c.liveMachines {
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
		if c.mayGoIdle(m, waiting) && c.now-m.idleSince > patience && cores-m.total.CPUs >= target {
			cores -= m.total.CPUs
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
	zones := make([]zoneCount, len(c.zones.list))
	var all zoneCount
	for _, m := range c.liveMachines {
		if c.counts(m) {
			cores += m.total.CPUs
		}
		if !c.expected(m) || m.zone < 0 {
			continue
		}
		zones[m.zone].up++
		all.up++
		if c.inactive(m) >= c.unreachableAfter() && m.missedListings < 2 {
			zones[m.zone].silent++
			all.silent++
		}
	}
	c.expectedAgents = all.up
	c.noteCuts(zones, all)
	return cores
}

// noteCuts notes which zones seem to be cut off. A whole zone silent at once, or most
// machines, is rather a cut between us and them: there they work on, and deleting them
// would lose that. When it ends, or their reports come by another way, they come back
// one by one.
func (c *Core) noteCuts(zones []zoneCount, all zoneCount) {
	for len(c.zoneCutAt) < len(zones) {
		c.zoneCutAt = append(c.zoneCutAt, math.MinInt64/2)
	}
	maxSilent := 2*all.silent > max(all.up, 2)
	for i, z := range zones {
		if maxSilent || z.up > 1 && z.silent == z.up {
			c.zoneCutAt[i] = c.now
		}
	}
}

// cutOff tells whether a machine's zone seems to be cut off, or was a moment ago.
func (c *Core) cutOff(m *machine) bool {
	return m.zone >= 0 && c.now-c.zoneCutAt[m.zone] < 4*c.heartbeatInterval
}

// placeableWithinLimit lists the jobs with tasks that their teams' limits let run.
func (c *Core) placeableWithinLimit() []*job {
	return slices.DeleteFunc(c.queue(), func(j *job) bool { return c.roomInLimit(j, c.teams[j.team].booked) == 0 })
}

// mayGoIdle tells whether an idle machine may be given back at all: its least rental is
// over and no waiting task could use it. One that some waiting task could use is kept,
// whatever keeps that task from it now. One that is too small or not allowed for all of
// them is not: on a large site there is always something waiting. Nor is one that only
// tasks beyond their team's limit would use.
func (c *Core) mayGoIdle(m *machine, waiting []*job) bool {
	if m.state != machineUp || m.keptForPlan || len(m.allocations) > 0 || c.now-m.rentedAt < minRental || !m.trusted(c.term) {
		return false
	}
	return !slices.ContainsFunc(waiting, func(j *job) bool {
		return j.allows(m.typ, m.zone, m.spot) && j.size.Within(m.total)
	})
}

// reasonToScaleIn tells why a machine is to be given back whether or not it is wanted;
// "": there is no reason.
func (c *Core) reasonToScaleIn(m *machine) string {
	quiet := c.inactive(m)
	switch {
	case m.state == machineDeleting:
		return "not yet known to be gone"
	case c.expected(m) && quiet > c.unreachableAfter() && m.missedListings >= 2:
		// Absence from the list proves nothing, but its deletion will.
		return "silent and not listed any more"
	case c.expected(m) && quiet > 4*c.heartbeatInterval && !c.cutOff(m):
		return "silent"
	case m.state == machineStarting:
		return c.reasonToStopBoot(m, quiet)
	case quiet > c.agentLease+c.heartbeatInterval:
		return "lost"
	case len(m.allocations) > 0:
		return ""
	case m.terminationAt > 0:
		return "will be taken back"
	case m.quarantined:
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
		patience = time.Duration(c.cfg.Operator.BootPatience * float64(settings.Seconds(c.types[m.typ].BootS)))
	case quiet < c.agentLease:
		return ""
	}
	if c.now-m.rentedAt > patience && c.now-c.termStart > c.agentLease {
		return "did not come up"
	}
	return ""
}
