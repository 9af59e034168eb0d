package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/settings"
)

// minRental is the minimum time that the cloud charges for a machine.
const minRental = 60 * time.Second

// scaleInRequests returns machines to the cloud that are broken, lost or not needed. It owns the
// deletions to be requested, and also writes a machine's rental.
type scaleInRequests struct {
	cfg       *Config
	term      uint64
	clock     *clock
	log       *slog.Logger
	effects   *effects
	types     *machineTypes
	machines  *machineTable
	agents    *agents
	placement *placement
	demand    *learnedDemand

	deletes []string // machines whose deletion is requested at the end of the step
}

func newScaleInRequests(c *Core) scaleInRequests {
	return scaleInRequests{cfg: &c.cfg, term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, types: &c.types,
		machines: &c.machines, agents: &c.agents, placement: &c.placement, demand: &c.demand}
}

// requestDelete requests the deletion of a machine at the end of the step. The machine is gone only
// when the cloud confirms that; until then the request is repeated, at most every 10 seconds.
func (r *scaleInRequests) requestDelete(m *machine, reason string) {
	if m.state == machineDeleting && r.clock.now-m.rental.lastDeleteRequest < 10*time.Second {
		return
	}
	r.log.Info("returning machine", "machine", m.name, "why", reason, "allocations", len(m.capacity.allocations), "age", (r.clock.now - m.rental.rentedAt).Seconds())
	m.state, m.rental.lastDeleteRequest = machineDeleting, r.clock.now
	r.placement.markIndexStale(m)
	r.deletes = append(r.deletes, m.name)
}

// sendDeletes requests the deletions of a step in as few calls as possible, because the cloud limits
// the rate of calls.
func (r *scaleInRequests) sendDeletes() {
	for names := r.deletes; len(names) > 0; {
		count := min(len(names), autoscaler.MaxDelete)
		r.effects.emit(CallCloud{autoscaler.Call{Delete: slices.Clone(names[:count])}})
		names = names[count:]
	}
	r.deletes = r.deletes[:0]
}

// deleteUnneeded requests the deletion of machines that are broken, lost or no longer needed.
func (r *scaleInRequests) deleteUnneeded() {
	cores := r.countCapacity()
	headroom := r.demand.headroomCores()
	waiting := r.placement.placeableWithinLimit()
	for _, m := range r.machines.live {
		if m.state == machineGone {
			continue
		}
		if reason := r.reasonToScaleIn(m); reason != "" {
			r.requestDelete(m, reason)
			continue
		}
		// On-demand machines cost a multiple and are not kept for future demand.
		target, patience := headroom, r.cfg.Operator.IdleReturn
		if !m.spot {
			target, patience = 0, patience/4
		}
		if r.mayScaleIn(m, waiting) && r.clock.now-m.capacity.idleSince > patience && cores-m.capacity.total.CPUs >= target {
			cores -= m.capacity.total.CPUs
			r.requestDelete(m, "idle")
		}
	}
}

// countCapacity returns the cores that count as capacity. It also counts the expected and the
// unreachable agents of each zone, from which agents detects zones that are cut off. A machine
// that is missing from two lists in a row is not counted as unreachable: it is probably gone.
func (r *scaleInRequests) countCapacity() (cores float64) {
	zones := make([]zoneCount, len(r.machines.zones.list))
	var all zoneCount
	for _, m := range r.machines.live {
		if r.agents.countsAsCapacity(m) {
			cores += m.capacity.total.CPUs
		}
		if !r.agents.heartbeatExpected(m) || m.zone < 0 {
			continue
		}
		zones[m.zone].expected++
		all.expected++
		if r.agents.unacknowledgedFor(m) >= r.agents.unreachableTimeout() && m.rental.missedListings < 2 {
			zones[m.zone].unreachable++
			all.unreachable++
		}
	}
	r.agents.updateZoneCounts(zones, all)
	return cores
}

// mayScaleIn reports whether an idle machine may be returned: its minimum rental has passed, and no
// job in waiting could use it. A machine that a waiting task could use is kept, whatever prevents
// the task from starting there now. One that is too small or not allowed for all waiting tasks is
// returned, because in a large cell some tasks always wait. waiting excludes tasks beyond their
// team's limit, which therefore keep no machine.
func (r *scaleInRequests) mayScaleIn(m *machine, waiting []*job) bool {
	if m.state != machineUp || m.eviction.rentedForPlan || len(m.capacity.allocations) > 0 || r.clock.now-m.rental.rentedAt < minRental || !m.trusted(r.term) {
		return false
	}
	return !slices.ContainsFunc(waiting, func(j *job) bool {
		return r.types.allowsNextIn(j, m.pool()) && j.request.size.Within(m.capacity.total)
	})
}

// reasonToScaleIn returns the reason to return a machine even if it is needed, or "" if there is
// none.
func (r *scaleInRequests) reasonToScaleIn(m *machine) string {
	unacknowledged := r.agents.unacknowledgedFor(m)
	switch {
	case m.state == machineDeleting:
		return "not yet known to be gone"
	case r.agents.heartbeatExpected(m) && unacknowledged > r.agents.unreachableTimeout() && m.rental.missedListings >= 2:
		// Absence from the list does not prove that the machine is gone, but its deletion does.
		return "unreachable and not listed any more"
	case r.agents.heartbeatExpected(m) && unacknowledged > 4*r.agents.heartbeatInterval && !r.agents.zonePartitioned(m):
		return "unreachable"
	case m.state == machineStarting:
		return r.reasonToStopBoot(m, unacknowledged)
	case unacknowledged > r.agents.lease+r.agents.heartbeatInterval:
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

// unknownBootPatience is the longest boot of a machine of an unknown type.
const unknownBootPatience = 90 * time.Second

// reasonToStopBoot returns the reason to return a machine that has sent no heartbeat in this term, or
// "" if there is none. A machine that was up under an earlier leader may be unreachable for a
// while, so no machine is returned until one lease has passed in this term.
func (r *scaleInRequests) reasonToStopBoot(m *machine, unacknowledged time.Duration) string {
	patience := unknownBootPatience
	switch {
	case m.typeIndex >= 0:
		patience = time.Duration(r.cfg.Operator.BootPatience * float64(settings.Seconds(r.types.list[m.typeIndex].BootS)))
	case unacknowledged < r.agents.lease:
		return ""
	}
	if r.clock.now-m.rental.rentedAt > patience && r.clock.now-r.clock.termStart > r.agents.lease {
		return "did not come up"
	}
	return ""
}
