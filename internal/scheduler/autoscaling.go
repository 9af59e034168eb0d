package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/scheduler/quota"
)

// The intervals and limits of the autoscaling loop.
const (
	typesInterval    = 30 * time.Second
	listInterval     = 4 * time.Second
	planInterval     = 500 * time.Millisecond
	minPoolBackoff   = 8 * time.Second
	maxPoolBackoff   = 30 * time.Second
	minRental        = 60 * time.Second // a machine is charged for this long at least
	maxOpenScaleOuts = 8
	maxCalls         = 4 // for one capacity pool at once
)

// autoscaling is what the leader knows of the cloud and of its own demand.
type autoscaling struct {
	cfg       *Config
	term      uint64
	clock     *clock
	log       *slog.Logger
	effects   *effects
	writes    *durableWrites
	types     *machineTypes
	classes   *classTable
	estimates *runEstimates
	teams     *quota.Teams
	jobs      *jobTable
	machines  *machineTable
	agents    *agents
	placement *placement

	pools         map[autoscaler.CapacityPool]*poolState
	scaleOuts     map[string]*scaleOut
	scaleOutCount uint64
	deletes       []string // to be requested at the end of the step

	nextList     time.Duration
	nextTypes    time.Duration
	nextPlan     time.Duration
	listing      bool
	readingTypes bool

	demand        []autoscaler.DemandEstimator // by class
	limitedDemand []autoscaler.DemandEstimator // by team, only of those with a limit
	sizes         []weightedSize               // of the demand, the one with most core-seconds first
}

func newAutoscaling(c *Core) autoscaling {
	return autoscaling{cfg: &c.cfg, term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, writes: &c.writes,
		types: &c.types, classes: &c.classes, estimates: &c.estimates, teams: &c.teams,
		jobs: &c.jobs, machines: &c.machines, agents: &c.agents, placement: &c.placement,
		pools:         map[autoscaler.CapacityPool]*poolState{},
		scaleOuts:     map[string]*scaleOut{},
		limitedDemand: make([]autoscaler.DemandEstimator, c.teams.Len()),
	}
}

type poolState struct {
	blockedUntil  time.Duration
	backoff       time.Duration
	fillsRequests int // scale-outs in a row that were filled
}

// maxCount is how many machines of a pool may be requested at once: one call's worth at first,
// more once the cloud has filled some.
func (o *poolState) maxCount() int { return min(1+o.fillsRequests, maxCalls) * autoscaler.MaxScaleOut }

// block stops the use of a pool for a while, longer each time, after the cloud has refused it or
// filled a request in part.
func (o *poolState) block(now time.Duration) {
	if now < o.blockedUntil {
		return // several scale-outs in one pool were on their way
	}
	o.backoff = min(max(o.backoff*2, minPoolBackoff), maxPoolBackoff)
	o.blockedUntil = now + o.backoff
	o.fillsRequests = 0
}

// filled notes that a request was filled.
func (o *poolState) filled() {
	o.backoff = 0
	o.fillsRequests++
}

// typesRequestEnded notes that a request for the machine types has ended, and tells whether it
// has succeeded.
func (a *autoscaling) typesRequestEnded(err error) (succeeded bool) {
	a.readingTypes = false
	a.nextTypes = a.clock.now + typesInterval
	if err != nil {
		a.log.Debug("reading the machine types failed", "error", err)
		a.nextTypes = a.clock.now + time.Second
	}
	return err == nil
}

// listRequestEnded notes that a request for the list of machines has ended, and tells whether it
// has succeeded.
func (a *autoscaling) listRequestEnded(err error) (succeeded bool) {
	a.listing = false
	a.nextList = a.clock.now + listInterval
	if err != nil {
		a.log.Debug("listing the machines failed", "error", err)
	}
	return err == nil
}

// addClass makes room for the demand of a class.
func (a *autoscaling) addClass() { a.demand = append(a.demand, autoscaler.DemandEstimator{}) }

func (a *autoscaling) pool(o autoscaler.CapacityPool) *poolState {
	if a.pools[o] == nil {
		a.pools[o] = &poolState{}
	}
	return a.pools[o]
}

// tick reads the cloud, scales in and scales out, each at its interval.
func (a *autoscaling) tick() {
	if !a.readingTypes && a.clock.now >= a.nextTypes {
		a.readingTypes = true
		a.effects.emit(CallCloud{autoscaler.Call{Types: true}})
	}
	if !a.listing && a.clock.now >= a.nextList {
		a.listing = true
		a.effects.emit(CallCloud{autoscaler.Call{List: true}})
	}
	for _, h := range a.scaleOuts {
		if h.open && !h.sent && h.retry > 0 && a.clock.now >= h.retry {
			a.sendScaleOut(h)
		}
	}
	if a.clock.now < a.nextPlan || len(a.types.list) == 0 {
		return
	}
	a.nextPlan = a.clock.now + planInterval
	a.scaleIn()
	a.scaleOutMachines()
}
