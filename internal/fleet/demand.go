package fleet

import (
	"math"
	"time"
)

// memory is how far back arrivals are remembered, in arrivals of a class.
const memory = 24

// lull is how many mean gaps without an arrival end a class's demand: with
// arrivals at random a gap that long comes once in some four hundred.
const lull = 6

// settling is how long a class must have been seen before its rate is fully
// believed: a service that starts finds a first crowd of jobs, whose gaps say
// nothing about the rest of the day.
const settling = 45 * time.Second

// Stream learns how the jobs of one class arrive.
type Stream struct {
	seen  int
	first time.Duration
	last  time.Duration
	gap   float64 // mean seconds between arrivals
	work  float64 // mean core-seconds of a job
	peak  float64 // mean of cores squared times seconds of a job
}

// Arrived takes in a job: the cores that all its tasks take together, and how
// long one runs.
func (s *Stream) Arrived(now time.Duration, cores, seconds float64) {
	if s.seen == 0 {
		s.first = now
	}
	s.seen++
	a := 1 / float64(min(s.seen, memory))
	s.work += a * (cores*seconds - s.work)
	s.peak += a * (cores*cores*seconds - s.peak)
	if s.seen > 1 {
		// Before the second arrival there is no gap to learn from.
		a = 1 / float64(min(s.seen-1, memory))
		s.gap += a * (max((now-s.last).Seconds(), 0.01) - s.gap)
	}
	s.last = now
}

// Cores is the class's mean of cores in use at once, and the variance: what
// jobs that come at random, each taking all its cores for its run, amount to.
func (s *Stream) Cores(now time.Duration) (mean, variance float64) {
	since := (now - s.last).Seconds()
	if s.seen < 3 || since > max(lull*s.gap, settling.Seconds()) {
		return 0, 0
	}
	// A gap that is already longer than the mean counts as what it is.
	rate := 1 / max(s.gap, since/2)
	known := (now - s.first).Seconds()
	rate = min(rate, float64(s.seen)/(known+settling.Seconds()*min(1, memory/float64(4*s.seen))))
	return rate * s.work, rate * s.peak
}

// Demand sums streams up.
func Demand(now time.Duration, streams []Stream) (mean, deviation float64) {
	variance := 0.0
	for i := range streams {
		m, v := streams[i].Cores(now)
		mean += m
		variance += v
	}
	return mean, math.Sqrt(variance)
}
