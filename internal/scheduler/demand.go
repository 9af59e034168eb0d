package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/slowfit"
)

// learnedDemand estimates the demand from the arrivals of recent jobs. It owns the estimators by
// class and team, and the most demanded task sizes.
type learnedDemand struct {
	cfg       *Config
	clock     *clock
	classes   *classTable
	estimates *runEstimates
	teams     *quota.Teams

	byClass       []autoscaler.DemandEstimator
	limitedByTeam []autoscaler.DemandEstimator // used only for teams with a CPU limit
	sizes         []weightedSize               // in order of decreasing weight
}

func newLearnedDemand(c *Core) learnedDemand {
	return learnedDemand{cfg: &c.cfg, clock: &c.clock, classes: &c.classes, estimates: &c.estimates, teams: &c.teams,
		limitedByTeam: make([]autoscaler.DemandEstimator, c.teams.Len())}
}

// addClass adds an estimator for a new class.
func (d *learnedDemand) addClass() { d.byClass = append(d.byClass, autoscaler.DemandEstimator{}) }

// observeArrival adds the arrival of a job to the demand.
func (d *learnedDemand) observeArrival(j *job) {
	cores := j.request.size.CPUs * float64(j.progress.total)
	d.learnArrival(j.request.class, j.request.team, j.priority.arrived, cores, d.estimates.expectedRun(j).Seconds())
	d.addSize(j.request.size, cores*j.spec.EstimatedRunS, d.classes.objectives[j.request.class].wait > 0)
}

// maxDemandRun is the longest run time with which a job counts towards the demand. The demand is that
// of a steady state, which longer tasks reach only after as long.
const maxDemandRun = time.Hour

// learnArrival adds one job to the estimators: the cores that all its tasks use together, and the
// run time of a task in seconds.
func (d *learnedDemand) learnArrival(class, team int32, at time.Duration, cores, seconds float64) {
	seconds = min(seconds, maxDemandRun.Seconds())
	d.byClass[class].ObserveArrival(at, cores, seconds)
	if _, limited := d.teams.Team(team).CPULimit(); limited {
		d.limitedByTeam[team].ObserveArrival(at, cores, seconds)
	}
}

// weightedSize is a task size, weighted by the recent demand for it.
type weightedSize struct {
	size             slowfit.Size
	weight           float64 // core-seconds, decayed with each arrival
	hasWaitObjective bool    // a class with tasks of the size has an objective on waiting time
}

// maxSizes limits the number of task sizes that are tracked.
const maxSizes = 16

// addSize adds weight to a task size, and decays the weights of all others. Beyond maxSizes the size
// with the least weight is dropped.
func (d *learnedDemand) addSize(size slowfit.Size, weight float64, hasWaitObjective bool) {
	index := -1
	for i := range d.sizes {
		d.sizes[i].weight *= 0.98
		if d.sizes[i].size == size {
			index = i
		}
	}
	if index < 0 {
		index = len(d.sizes)
		d.sizes = append(d.sizes, weightedSize{size: size})
	}
	d.sizes[index].weight += weight
	d.sizes[index].hasWaitObjective = d.sizes[index].hasWaitObjective || hasWaitObjective
	slices.SortStableFunc(d.sizes, func(x, y weightedSize) int { return cmp.Compare(y.weight, x.weight) })
	d.sizes = d.sizes[:min(len(d.sizes), maxSizes)]
}

// headroomSizes returns the task sizes that the headroom should hold: the one in highest demand,
// then those of classes with an objective on waiting time.
func (d *learnedDemand) headroomSizes() []slowfit.Size {
	var out []slowfit.Size
	for i, s := range d.sizes {
		if i == 0 || s.hasWaitObjective {
			out = append(out, s.size)
		}
	}
	return out
}

// headroomCores returns the cores to keep provisioned for the learned demand: its mean plus the
// operator's multiple of its standard deviation. A team's demand beyond its limit does not count.
func (d *learnedDemand) headroomCores() float64 {
	spread := d.cfg.Operator.HeadroomSpread
	mean, deviation := autoscaler.Demand(d.clock.now, d.byClass)
	variance, capped := deviation*deviation, 0.0
	for i := range d.teams.Len() {
		if limit, limited := d.teams.Team(int32(i)).CPULimit(); limited {
			teamMean, deviation := autoscaler.Demand(d.clock.now, d.limitedByTeam[i:i+1])
			mean, variance = mean-teamMean, variance-deviation*deviation
			capped += min(teamMean+spread*deviation, limit)
		}
	}
	return max(mean, 0) + spread*math.Sqrt(max(variance, 0)) + capped
}
