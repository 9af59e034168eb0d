package scheduler

import (
	"time"

	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
)

// The lifetimes of capacity offers and refusals.
const (
	// offerLifetime is how long an offer of capacity stands.
	offerLifetime = 5 * time.Second
	// refusalRetryAfter is after how long a cell that was refused room may ask again.
	refusalRetryAfter = 5 * time.Second
)

// capacityOffers offers capacity to other cells. It owns what is offered to each.
type capacityOffers struct {
	clock      *clock
	effects    *effects
	teams      *quota.Teams
	jobs       *jobTable
	machines   *machineTable
	pools      *capacityPools
	demand     *learnedDemand
	neighbours *neighbourTable

	credits map[string]*credit
}

func newCapacityOffers(c *Core) capacityOffers {
	return capacityOffers{clock: &c.clock, effects: &c.effects, teams: &c.teams, jobs: &c.jobs, machines: &c.machines,
		pools: &c.pools, demand: &c.demand, neighbours: &c.neighbours, credits: map[string]*credit{}}
}

// credit is capacity that was offered to another cell.
type credit struct {
	cores  float64
	expiry time.Duration
}

// handleCapacityRequest offers capacity to another cell, or says when to request it again.
func (o *capacityOffers) handleCapacityRequest(e CapacityRequest) {
	answer := CapacityReply{ReplyTo: e.ReplyTo, RetryAfter: refusalRetryAfter}
	n, ok := o.neighbours.cells.Find(e.Origin)
	switch {
	case !ok:
		answer.Reason = "cell " + e.Origin + " is not a neighbour"
	case n.Draining:
		answer.Reason = "the relation is being drained"
	case !o.neighbours.transfersEnabled:
		answer.Reason = "not all controllers here know transfers"
	default:
		delete(o.credits, e.Origin) // the new offer replaces it
		answer.Cores = max(0, min(e.Cores, o.offerableCores(n)))
		if answer.Cores <= 0 {
			answer.Reason = "no room beyond this cell's own work"
			break
		}
		answer.For, answer.RetryAfter = offerLifetime, 0
		o.credits[e.Origin] = &credit{cores: answer.Cores, expiry: o.clock.now + offerLifetime}
	}
	o.effects.emit(answer)
}

// useCredit takes cores from what is offered to a cell, and tells whether that was enough.
func (o *capacityOffers) useCredit(origin string, cores float64) bool {
	credit := o.credits[origin]
	if credit == nil || o.clock.now >= credit.expiry || cores > credit.cores {
		return false
	}
	credit.cores -= cores
	return true
}

// offerableCores is how many cores may be offered to a cell: those that are free or could be
// rented, less what this cell's own waiting work takes, its headroom, what is guaranteed to its
// teams and what is offered or accepted already.
func (o *capacityOffers) offerableCores(n settings.Neighbour) float64 {
	room := o.pools.scalableCores()
	for _, m := range o.machines.live {
		if m.indexed.schedulable && !m.capacity.reserved {
			room += m.capacity.free.CPUs
		}
	}
	fromOrigin, inUse := 0.0, 0.0
	for _, j := range o.jobs.active {
		if j.ended() || j.blocked() {
			continue
		}
		room -= j.request.size.CPUs * float64(len(j.progress.waiting))
		if j.transfer.origin == n.Name {
			fromOrigin += j.totalCores()
		}
		inUse += j.request.size.CPUs * float64(j.progress.allocated)
	}
	room -= max(0, o.demand.headroomCores()-inUse)
	for i := range o.teams.Len() {
		room -= o.teams.Team(int32(i)).UnusedGuarantee()
	}
	for _, credit := range o.credits {
		if o.clock.now < credit.expiry {
			room -= credit.cores
		}
	}
	return min(room, n.MaxOfferedCores-fromOrigin)
}
