package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/settings"
)

// minRental is how long a machine is charged for at least.
const minRental = 60 * time.Second

// scaleInRequests returns machines to the cloud: those that are broken, lost or not needed. It owns
// the deletions to be requested, and writes the rental of a machine besides the methods of that.
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

	deletes []string // to be requested at the end of the step
}

func newScaleInRequests(c *Core) scaleInRequests {
	return scaleInRequests{cfg: &c.cfg, term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, types: &c.types,
		machines: &c.machines, agents: &c.agents, placement: &c.placement, demand: &c.demand}
}

// requestDelete requests the deletion of a machine. It is gone only when the cloud says so;
// until then the request is repeated now and then.
func (r *scaleInRequests) requestDelete(m *machine, why string) {
	if m.state == machineDeleting && r.clock.now-m.rental.lastDeleteRequest < 10*time.Second {
		return
	}
	r.log.Info("returning machine", "machine", m.name, "why", why, "allocations", len(m.capacity.allocations), "age", (r.clock.now - m.rental.rentedAt).Seconds())
	m.state, m.rental.lastDeleteRequest = machineDeleting, r.clock.now
	r.placement.markIndexStale(m)
	r.deletes = append(r.deletes, m.name)
}

// sendDeletes requests the deletions of a step together, since the cloud's API allows few
// calls.
func (r *scaleInRequests) sendDeletes() {
	for names := r.deletes; len(names) > 0; {
		n := min(len(names), autoscaler.MaxDelete)
		r.effects.emit(CallCloud{autoscaler.Call{Delete: slices.Clone(names[:n])}})
		names = names[n:]
	}
	r.deletes = r.deletes[:0]
}

// deleteUnneeded returns the machines that are broken, lost, or not needed any more.
func (r *scaleInRequests) deleteUnneeded() {
	cores := r.countCapacity()
	headroom := r.demand.headroomCores()
	waiting := r.placement.placeableWithinLimit()
	for _, m := range r.machines.live {
		if m.state == machineGone {
			continue
		}
		if why := r.reasonToScaleIn(m); why != "" {
			r.requestDelete(m, why)
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

// countCapacity counts the cores to plan with, and notes how many machines should be sending
// heartbeats and which zones seem to be cut off.
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

// mayScaleIn tells whether an idle machine may be returned at all: its least rental has passed
// and no waiting task could use it. One that some waiting task could use is kept, whatever keeps
// that task from it now. One that is too small or not allowed for all of them is not: in a large
// cell there is always something waiting. Nor is one that only tasks beyond their team's limit
// would use.
func (r *scaleInRequests) mayScaleIn(m *machine, waiting []*job) bool {
	if m.state != machineUp || m.eviction.rentedForPlan || len(m.capacity.allocations) > 0 || r.clock.now-m.rental.rentedAt < minRental || !m.trusted(r.term) {
		return false
	}
	return !slices.ContainsFunc(waiting, func(j *job) bool {
		return j.allowsMachine(m.typeIndex, m.zone, m.spot) && j.request.size.Within(m.capacity.total)
	})
}

// reasonToScaleIn tells why a machine is to be returned whether or not it is needed; "": there
// is no reason.
func (r *scaleInRequests) reasonToScaleIn(m *machine) string {
	unacknowledged := r.agents.unacknowledgedFor(m)
	switch {
	case m.state == machineDeleting:
		return "not yet known to be gone"
	case r.agents.heartbeatExpected(m) && unacknowledged > r.agents.unreachableTimeout() && m.rental.missedListings >= 2:
		// Absence from the list proves nothing, but its deletion will.
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

// unknownBootPatience is how long a machine of an unknown type may boot.
const unknownBootPatience = 90 * time.Second

// reasonToStopBoot tells why a machine without a heartbeat so far is to be returned. One that an
// earlier leader had up may be unreachable for a while: it has a lease's time for its first
// heartbeat.
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
