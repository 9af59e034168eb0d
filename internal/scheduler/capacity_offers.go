package scheduler

import (
	"time"

	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
)

// The lifetimes of capacity offers and refusals.
const (
	// offerLifetime is how long an offer of capacity is valid.
	offerLifetime = 5 * time.Second
	// refusalRetryAfter is how long a cell has to wait after a refusal before it requests capacity
	// or offers the job again.
	refusalRetryAfter = 5 * time.Second
)

// capacityOffers offers capacity to other cells. It owns the outstanding offers.
type capacityOffers struct {
	clock      *clock
	effects    *effects
	teams      *quota.Teams
	jobs       *jobTable
	machines   *machineTable
	pools      *capacityPools
	demand     *learnedDemand
	neighbours *neighbourTable

	credits map[string]*credit // by the name of the cell
}

func newCapacityOffers(c *Core) capacityOffers {
	return capacityOffers{clock: &c.clock, effects: &c.effects, teams: &c.teams, jobs: &c.jobs, machines: &c.machines,
		pools: &c.pools, demand: &c.demand, neighbours: &c.neighbours, credits: map[string]*credit{}}
}

// credit is the unused part of an offer to another cell.
type credit struct {
	cores  float64
	expiry time.Duration
}

// handleCapacityRequest answers a capacity request of another cell with an offer, or with a reason
// and the time after which to retry.
func (o *capacityOffers) handleCapacityRequest(request CapacityRequest) {
	reply := CapacityReply{ReplyTo: request.ReplyTo, RetryAfter: refusalRetryAfter}
	cell, ok := o.neighbours.cells.Find(request.Origin)
	switch {
	case !ok:
		reply.Reason = "cell " + request.Origin + " is not a neighbour"
	case cell.Draining:
		reply.Reason = "the relation is being drained"
	case !o.neighbours.transfersEnabled:
		reply.Reason = "not all controllers here know transfers"
	default:
		delete(o.credits, request.Origin) // the new offer replaces it
		reply.Cores = max(0, min(request.Cores, o.offerableCores(cell)))
		if reply.Cores <= 0 {
			reply.Reason = "no room beyond this cell's own work"
			break
		}
		reply.For, reply.RetryAfter = offerLifetime, 0
		o.credits[request.Origin] = &credit{cores: reply.Cores, expiry: o.clock.now + offerLifetime}
	}
	o.effects.emit(reply)
}

// useCredit deducts cores from the offer to a cell. It returns false and deducts nothing if the
// offer has expired or is too small.
func (o *capacityOffers) useCredit(origin string, cores float64) bool {
	credit := o.credits[origin]
	if credit == nil || o.clock.now >= credit.expiry || cores > credit.cores {
		return false
	}
	credit.cores -= cores
	return true
}

// offerableCores returns how many cores may be offered to a cell: the free ones and those that
// could be rented, minus the demand of this cell's waiting tasks, its headroom, the unused
// guarantees of its teams and the outstanding offers. The total for one cell is bounded by the
// settings.
func (o *capacityOffers) offerableCores(cell settings.Neighbour) float64 {
	cores := o.pools.scalableCores()
	for _, m := range o.machines.live {
		if m.indexed.schedulable && !m.capacity.reserved {
			cores += m.capacity.free.CPUs
		}
	}
	fromOrigin, inUse := 0.0, 0.0
	for _, j := range o.jobs.active {
		if j.ended() || j.blocked() {
			continue
		}
		cores -= j.request.size.CPUs * float64(len(j.progress.waiting))
		if j.transfer.origin == cell.Name {
			fromOrigin += j.totalCores()
		}
		inUse += j.request.size.CPUs * float64(j.progress.allocated)
	}
	cores -= max(0, o.demand.headroomCores()-inUse)
	for i := range o.teams.Len() {
		cores -= o.teams.Team(int32(i)).UnusedGuarantee()
	}
	for _, credit := range o.credits {
		if o.clock.now < credit.expiry {
			cores -= credit.cores
		}
	}
	return min(cores, cell.MaxOfferedCores-fromOrigin)
}
