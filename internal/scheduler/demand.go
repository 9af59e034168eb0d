package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/slowfit"
)

// observeArrival learns from a job that has just come in.
func (a *autoscaling) observeArrival(j *job) {
	cores := j.request.size.CPUs * float64(j.progress.total)
	a.learnArrival(j.request.class, j.request.team, j.priority.arrived, cores, a.estimates.expectedRun(j).Seconds())
	a.addSize(j.request.size, cores*j.spec.EstimatedRunS, a.classes.objectives[j.request.class].wait > 0)
}

// learnArrival learns the demand from one job.
func (a *autoscaling) learnArrival(class, team int32, at time.Duration, cores, seconds float64) {
	a.demand[class].ObserveArrival(at, cores, seconds)
	if _, limited := a.teams.At(team).CPULimit(); limited {
		a.limitedDemand[team].ObserveArrival(at, cores, seconds)
	}
}

// weightedSize is a task size with its share of the recent demand.
type weightedSize struct {
	size   slowfit.Size
	weight float64
	wait   bool // some class of that size has an objective on waiting
}

// maxSizes bounds the sizes that are remembered.
const maxSizes = 16

func (a *autoscaling) addSize(size slowfit.Size, weight float64, wait bool) {
	at := -1
	for i := range a.sizes {
		a.sizes[i].weight *= 0.98
		if a.sizes[i].size == size {
			at = i
		}
	}
	if at < 0 {
		at = len(a.sizes)
		a.sizes = append(a.sizes, weightedSize{size: size})
	}
	a.sizes[at].weight += weight
	a.sizes[at].wait = a.sizes[at].wait || wait
	slices.SortStableFunc(a.sizes, func(x, y weightedSize) int { return cmp.Compare(y.weight, x.weight) })
	a.sizes = a.sizes[:min(len(a.sizes), maxSizes)]
}

// headroomSizes are the sizes that the headroom should hold: the heaviest of the
// demand, then those of classes that must not wait.
func (a *autoscaling) headroomSizes() []slowfit.Size {
	var out []slowfit.Size
	for i, s := range a.sizes {
		if i == 0 || s.wait {
			out = append(out, s.size)
		}
	}
	return out
}

// headroomCores are the cores that the learned demand makes worth keeping. A team's demand
// beyond its limit does not count.
func (a *autoscaling) headroomCores() float64 {
	spread := a.cfg.Operator.HeadroomSpread
	mean, deviation := autoscaler.Demand(a.clock.now, a.demand)
	variance, capped := deviation*deviation, 0.0
	for i := range a.teams.Len() {
		if limit, limited := a.teams.At(int32(i)).CPULimit(); limited {
			m, d := autoscaler.Demand(a.clock.now, a.limitedDemand[i:i+1])
			mean, variance = mean-m, variance-d*d
			capped += min(m+spread*d, limit)
		}
	}
	return max(mean, 0) + spread*math.Sqrt(max(variance, 0)) + capped
}
