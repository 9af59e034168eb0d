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

// autoscaling is what the leader knows of the cloud, of its own demand, and of what the machines
// have cost.
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

	spending spendingLog
}

func newAutoscaling(c *Core) autoscaling {
	return autoscaling{cfg: &c.cfg, term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, writes: &c.writes,
		types: &c.types, classes: &c.classes, estimates: &c.estimates, teams: &c.teams,
		jobs: &c.jobs, machines: &c.machines, agents: &c.agents, placement: &c.placement,
		pools:         map[autoscaler.CapacityPool]*poolState{},
		scaleOuts:     map[string]*scaleOut{},
		limitedDemand: make([]autoscaler.DemandEstimator, c.teams.Len()),
		spending:      spendingLog{accruedUntil: c.clock.now, loggedAt: c.clock.now},
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
