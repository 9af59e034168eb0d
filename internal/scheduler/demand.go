package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/slowfit"
)

// arrived learns from a job that has just come in.
func (c *Core) arrived(j *job) {
	f := &c.autoscaling
	cores := j.request.size.CPUs * float64(j.progress.total)
	c.learnArrival(j.request.class, j.request.team, j.priority.arrived, cores, c.expectedRun(j).Seconds())
	f.addSize(j.request.size, cores*j.spec.EstimatedRunS, c.placement.classObjectives[j.request.class].wait > 0)
}

// learnArrival learns the demand from one job.
func (c *Core) learnArrival(class, team int32, at time.Duration, cores, seconds float64) {
	c.autoscaling.demand[class].ObserveArrival(at, cores, seconds)
	if c.placement.teams[team].limit.cpus > 0 {
		c.autoscaling.limitedDemand[team].ObserveArrival(at, cores, seconds)
	}
}

// sized is a task size with its share of the recent demand.
type sized struct {
	size   slowfit.Size
	weight float64
	wait   bool // some class of that size has an aim on waiting
}

// maxSizes bounds the sizes that are remembered.
const maxSizes = 16

func (f *autoscaling) addSize(size slowfit.Size, weight float64, wait bool) {
	at := -1
	for i := range f.sizes {
		f.sizes[i].weight *= 0.98
		if f.sizes[i].size == size {
			at = i
		}
	}
	if at < 0 {
		at = len(f.sizes)
		f.sizes = append(f.sizes, sized{size: size})
	}
	f.sizes[at].weight += weight
	f.sizes[at].wait = f.sizes[at].wait || wait
	slices.SortStableFunc(f.sizes, func(a, b sized) int { return cmp.Compare(b.weight, a.weight) })
	f.sizes = f.sizes[:min(len(f.sizes), maxSizes)]
}

// headroomSizes are the sizes that the headroom should hold: the heaviest of the
// demand, then those of classes that must not wait.
func (c *Core) headroomSizes() []slowfit.Size {
	var out []slowfit.Size
	for i, s := range c.autoscaling.sizes {
		if i == 0 || s.wait {
			out = append(out, s.size)
		}
	}
	return out
}

func (f *autoscaling) learnRatio(class int32, ratio float64) {
	ratio = min(max(ratio, 0.1), 10)
	if old := f.runRatios[class]; old > 0 {
		ratio = old + (ratio-old)/16
	}
	f.runRatios[class] = ratio
}

func (f *autoscaling) ratio(class int32) float64 {
	if r := f.runRatios[class]; r > 0 {
		return r
	}
	return 1
}

// headroomCores are the cores that the learned demand makes worth keeping. What a
// team asks for beyond its limit is none of it.
func (c *Core) headroomCores() float64 {
	spread := c.cfg.Operator.HeadroomSpread
	mean, deviation := autoscaler.Demand(c.clock.now, c.autoscaling.demand)
	variance, capped := deviation*deviation, 0.0
	for i, t := range c.placement.teams {
		if t.limit.cpus > 0 {
			m, d := autoscaler.Demand(c.clock.now, c.autoscaling.limitedDemand[i:i+1])
			mean, variance = mean-m, variance-d*d
			capped += min(m+spread*d, float64(t.limit.cpus)/perUnit)
		}
	}
	return max(mean, 0) + spread*math.Sqrt(max(variance, 0)) + capped
}
