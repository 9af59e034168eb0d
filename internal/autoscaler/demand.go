package autoscaler

import (
	"math"
	"time"
)

// memory is how far back arrivals are remembered, in arrivals of a class.
const memory = 24

// burstMemory is how far back a burst is looked for, and burstDoubt how much
// shorter than usual its gaps must be to be taken for one.
const (
	burstMemory = 6
	burstDoubt  = 1.3
)

// quietPeriod is how many mean gaps without an arrival end a class's demand: with
// arrivals at random a gap that long comes once in some four hundred.
const quietPeriod = 6

// settling is how long a class must have been seen before its rate is fully
// believed: a service that starts finds a first crowd of jobs, whose gaps say
// nothing about the rest of the day.
const settling = 45 * time.Second

// DemandEstimator learns how the jobs of one class arrive.
type DemandEstimator struct {
	seen  int
	first time.Duration
	last  time.Duration
	gap   float64 // mean seconds between arrivals
	burst float64 // the same over the last few
	work  float64 // mean core-seconds of a job
	peak  float64 // mean of cores squared times seconds of a job
}

// ObserveArrival takes in a job: the cores that all its tasks take together, and how
// long one runs.
func (s *DemandEstimator) ObserveArrival(now time.Duration, cores, seconds float64) {
	if s.seen == 0 {
		s.first = now
	}
	s.seen++
	a := 1 / float64(min(s.seen, memory))
	s.work += a * (cores*seconds - s.work)
	s.peak += a * (cores*cores*seconds - s.peak)
	if s.seen > 1 {
		// Before the second arrival there is no gap to learn from.
		gap := max((now - s.last).Seconds(), 0.01)
		s.gap += (gap - s.gap) / float64(min(s.seen-1, memory))
		s.burst += (gap - s.burst) / float64(min(s.seen-1, burstMemory))
	}
	s.last = now
}

// Cores is the class's mean of cores in use at once, and the variance: what
// jobs that come at random, each taking all its cores for its run, amount to.
func (s *DemandEstimator) Cores(now time.Duration) (mean, variance float64) {
	since := (now - s.last).Seconds()
	if s.seen < 3 || since > max(quietPeriod*s.gap, settling.Seconds()) {
		return 0, 0
	}
	// A gap that is already longer than the mean counts as what it is.
	rate := 1 / max(min(s.gap, burstDoubt*s.burst), since/2)
	if s.seen < memory {
		rate = min(rate, float64(s.seen)/(now-s.first+settling).Seconds())
	}
	return rate * s.work, rate * s.peak
}

// Demand sums streams up.
func Demand(now time.Duration, streams []DemandEstimator) (mean, deviation float64) {
	variance := 0.0
	for i := range streams {
		m, v := streams[i].Cores(now)
		mean += m
		variance += v
	}
	return mean, math.Sqrt(variance)
}
