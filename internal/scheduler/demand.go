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

// learnedDemand is the demand that recent jobs have shown. It owns the estimators and the sizes.
type learnedDemand struct {
	cfg       *Config
	clock     *clock
	classes   *classTable
	estimates *runEstimates
	teams     *quota.Teams

	byClass       []autoscaler.DemandEstimator
	limitedByTeam []autoscaler.DemandEstimator // only of teams with a limit
	sizes         []weightedSize               // the one with most core-seconds first
}

func newLearnedDemand(c *Core) learnedDemand {
	return learnedDemand{cfg: &c.cfg, clock: &c.clock, classes: &c.classes, estimates: &c.estimates, teams: &c.teams,
		limitedByTeam: make([]autoscaler.DemandEstimator, c.teams.Len())}
}

// addClass makes room for the demand of a class.
func (d *learnedDemand) addClass() { d.byClass = append(d.byClass, autoscaler.DemandEstimator{}) }

// observeArrival learns from a job that has just come in.
func (d *learnedDemand) observeArrival(j *job) {
	cores := j.request.size.CPUs * float64(j.progress.total)
	d.learnArrival(j.request.class, j.request.team, j.priority.arrived, cores, d.estimates.expectedRun(j).Seconds())
	d.addSize(j.request.size, cores*j.spec.EstimatedRunS, d.classes.objectives[j.request.class].wait > 0)
}

// learnArrival learns the demand from one job.
func (d *learnedDemand) learnArrival(class, team int32, at time.Duration, cores, seconds float64) {
	d.byClass[class].ObserveArrival(at, cores, seconds)
	if _, limited := d.teams.Team(team).CPULimit(); limited {
		d.limitedByTeam[team].ObserveArrival(at, cores, seconds)
	}
}

// weightedSize is a task size with its share of the recent demand.
type weightedSize struct {
	size             slowfit.Size
	weight           float64
	hasWaitObjective bool // some class of that size has an objective on waiting
}

// maxSizes bounds the sizes that are remembered.
const maxSizes = 16

func (d *learnedDemand) addSize(size slowfit.Size, weight float64, wait bool) {
	at := -1
	for i := range d.sizes {
		d.sizes[i].weight *= 0.98
		if d.sizes[i].size == size {
			at = i
		}
	}
	if at < 0 {
		at = len(d.sizes)
		d.sizes = append(d.sizes, weightedSize{size: size})
	}
	d.sizes[at].weight += weight
	d.sizes[at].hasWaitObjective = d.sizes[at].hasWaitObjective || wait
	slices.SortStableFunc(d.sizes, func(x, y weightedSize) int { return cmp.Compare(y.weight, x.weight) })
	d.sizes = d.sizes[:min(len(d.sizes), maxSizes)]
}

// headroomSizes are the sizes that the headroom should hold: the heaviest of the
// demand, then those of classes that must not wait.
func (d *learnedDemand) headroomSizes() []slowfit.Size {
	var out []slowfit.Size
	for i, s := range d.sizes {
		if i == 0 || s.hasWaitObjective {
			out = append(out, s.size)
		}
	}
	return out
}

// headroomCores are the cores that the learned demand makes worth keeping. A team's demand
// beyond its limit does not count.
func (d *learnedDemand) headroomCores() float64 {
	spread := d.cfg.Operator.HeadroomSpread
	mean, deviation := autoscaler.Demand(d.clock.now, d.byClass)
	variance, capped := deviation*deviation, 0.0
	for i := range d.teams.Len() {
		if limit, limited := d.teams.Team(int32(i)).CPULimit(); limited {
			m, deviation := autoscaler.Demand(d.clock.now, d.limitedByTeam[i:i+1])
			mean, variance = mean-m, variance-deviation*deviation
			capped += min(m+spread*deviation, limit)
		}
	}
	return max(mean, 0) + spread*math.Sqrt(max(variance, 0)) + capped
}
