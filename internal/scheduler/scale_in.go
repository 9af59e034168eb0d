package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/settings"
)

// requestDelete requests the deletion of a machine. It is gone only when the cloud says so;
// until then the request is repeated now and then.
func (a *autoscaling) requestDelete(m *machine, why string) {
	if m.state == machineDeleting && a.clock.now-m.rental.lastDeleteRequest < 10*time.Second {
		return
	}
	a.log.Info("returning machine", "machine", m.name, "why", why, "allocations", len(m.capacity.allocations), "age", (a.clock.now - m.rental.rentedAt).Seconds())
	m.state, m.rental.lastDeleteRequest = machineDeleting, a.clock.now
	a.placement.indexChanged(m)
	a.deletes = append(a.deletes, m.name)
}

// flushDeletes requests the deletions of a step together, since the cloud's API allows few
// calls.
func (a *autoscaling) flushDeletes() {
	for names := a.deletes; len(names) > 0; {
		n := min(len(names), autoscaler.MaxDelete)
		a.effects.emit(CallCloud{autoscaler.Call{Delete: slices.Clone(names[:n])}})
		names = names[n:]
	}
	a.deletes = a.deletes[:0]
}

// ExpectedAgents is how many machines should be reporting.
func (c *Core) ExpectedAgents() int { return c.agents.expectedCount }

// scaleIn returns the machines that are broken, lost, or not needed any more.
func (a *autoscaling) scaleIn() {
	cores := a.countCapacity()
	headroom := a.headroomCores()
	waiting := a.placement.placeableWithinLimit()
	for _, m := range a.machines.live {
		if m.state == machineGone {
			continue
		}
		if why := a.reasonToScaleIn(m); why != "" {
			a.requestDelete(m, why)
			continue
		}
		// On-demand machines cost a multiple and are not kept for future demand.
		target, patience := headroom, a.cfg.Operator.IdleReturn
		if !m.spot {
			target, patience = 0, patience/4
		}
		if a.mayScaleIn(m, waiting) && a.clock.now-m.capacity.idleSince > patience && cores-m.capacity.total.CPUs >= target {
			cores -= m.capacity.total.CPUs
			a.requestDelete(m, "idle")
		}
	}
}

// countCapacity counts the cores to plan with, and notes how many machines should be sending
// heartbeats and which zones seem to be cut off.
func (a *autoscaling) countCapacity() (cores float64) {
	zones := make([]zoneCount, len(a.machines.zones.list))
	var all zoneCount
	for _, m := range a.machines.live {
		if a.countsAsCapacity(m) {
			cores += m.capacity.total.CPUs
		}
		if !a.agents.heartbeatExpected(m) || m.zone < 0 {
			continue
		}
		zones[m.zone].up++
		all.up++
		if a.agents.unacknowledgedFor(m) >= a.agents.unreachableAfter() && m.rental.missedListings < 2 {
			zones[m.zone].unreachable++
			all.unreachable++
		}
	}
	a.agents.zonesCounted(zones, all)
	return cores
}

// mayScaleIn tells whether an idle machine may be returned at all: its least rental has passed
// and no waiting task could use it. One that some waiting task could use is kept, whatever keeps
// that task from it now. One that is too small or not allowed for all of them is not: in a large
// cell there is always something waiting. Nor is one that only tasks beyond their team's limit
// would use.
func (a *autoscaling) mayScaleIn(m *machine, waiting []*job) bool {
	if m.state != machineUp || m.eviction.kept || len(m.capacity.allocations) > 0 || a.clock.now-m.rental.rentedAt < minRental || !m.trusted(a.term) {
		return false
	}
	return !slices.ContainsFunc(waiting, func(j *job) bool {
		return j.allows(m.typ, m.zone, m.spot) && j.request.size.Within(m.capacity.total)
	})
}

// reasonToScaleIn tells why a machine is to be returned whether or not it is needed; "": there
// is no reason.
func (a *autoscaling) reasonToScaleIn(m *machine) string {
	unacknowledged := a.agents.unacknowledgedFor(m)
	switch {
	case m.state == machineDeleting:
		return "not yet known to be gone"
	case a.agents.heartbeatExpected(m) && unacknowledged > a.agents.unreachableAfter() && m.rental.missedListings >= 2:
		// Absence from the list proves nothing, but its deletion will.
		return "unreachable and not listed any more"
	case a.agents.heartbeatExpected(m) && unacknowledged > 4*a.agents.heartbeatInterval && !a.agents.zoneCutOff(m):
		return "unreachable"
	case m.state == machineStarting:
		return a.reasonToStopBoot(m, unacknowledged)
	case unacknowledged > a.agents.lease+a.agents.heartbeatInterval:
		return "lost"
	case len(m.capacity.allocations) > 0:
		return ""
	case m.rental.terminationAt > 0:
		return "termination notice"
	case m.health.quarantined:
		return "faulty"
	}
	return ""
}

// unknownBootPatience is how long a machine of an unknown type may boot.
const unknownBootPatience = 90 * time.Second

// reasonToStopBoot tells why a machine without a heartbeat so far is to be returned. One that an
// earlier leader had up may be unreachable for a while: it has a lease's time for its first
// heartbeat.
func (a *autoscaling) reasonToStopBoot(m *machine, unacknowledged time.Duration) string {
	patience := unknownBootPatience
	switch {
	case m.typ >= 0:
		patience = time.Duration(a.cfg.Operator.BootPatience * float64(settings.Seconds(a.types.list[m.typ].BootS)))
	case unacknowledged < a.agents.lease:
		return ""
	}
	if a.clock.now-m.rental.rentedAt > patience && a.clock.now-a.clock.termStart > a.agents.lease {
		return "did not come up"
	}
	return ""
}
