package autoscaler

import (
	"math"
	"time"
)

// How far back arrivals count, in arrivals of a class: for its rate, and for a burst.
const (
	rateArrivals  = 24
	burstArrivals = 6
)

// burstFactor is by how much the gaps of the latest arrivals must be shorter than usual to be
// taken for a burst.
const burstFactor = 1.3

// quietGaps is how many mean gaps without an arrival end a class's demand: with
// arrivals at random a gap that long comes once in some four hundred.
const quietGaps = 6

// minArrivals is how many arrivals there must have been for a rate.
const minArrivals = 3

// minGapSeconds is the least gap between two arrivals that counts.
const minGapSeconds = 0.01

// warmUp is how long a class must have been observed before its rate is fully
// believed: a service that starts finds a first crowd of jobs, whose gaps say
// nothing about the rest of the day.
const warmUp = 45 * time.Second

// DemandEstimator estimates how many cores the jobs of one class use, from their arrivals.
type DemandEstimator struct {
	arrivals     int
	firstArrival time.Duration
	lastArrival  time.Duration
	meanGap      float64 // seconds between arrivals
	burstGap     float64 // the same over the last few
	meanWork     float64 // core-seconds of a job
	meanSquare   float64 // cores squared times seconds of a job
}

// ObserveArrival takes in a job: the cores that all its tasks take together, and how
// long one runs.
func (d *DemandEstimator) ObserveArrival(now time.Duration, cores, seconds float64) {
	if d.arrivals == 0 {
		d.firstArrival = now
	}
	d.arrivals++
	weight := 1 / float64(min(d.arrivals, rateArrivals))
	d.meanWork += weight * (cores*seconds - d.meanWork)
	d.meanSquare += weight * (cores*cores*seconds - d.meanSquare)
	if d.arrivals > 1 {
		// Before the second arrival there is no gap to learn from.
		gap := max((now - d.lastArrival).Seconds(), minGapSeconds)
		d.meanGap += (gap - d.meanGap) / float64(min(d.arrivals-1, rateArrivals))
		d.burstGap += (gap - d.burstGap) / float64(min(d.arrivals-1, burstArrivals))
	}
	d.lastArrival = now
}

// Cores is the class's mean of cores in use at once, and the variance: what
// jobs that come at random, each taking all its cores for its run, amount to.
func (d *DemandEstimator) Cores(now time.Duration) (mean, variance float64) {
	sinceArrival := (now - d.lastArrival).Seconds()
	if d.arrivals < minArrivals || sinceArrival > max(quietGaps*d.meanGap, warmUp.Seconds()) {
		return 0, 0
	}
	// A gap that is already longer than the mean counts as what it is.
	rate := 1 / max(min(d.meanGap, burstFactor*d.burstGap), sinceArrival/2)
	if d.arrivals < rateArrivals {
		rate = min(rate, float64(d.arrivals)/(now-d.firstArrival+warmUp).Seconds())
	}
	return rate * d.meanWork, rate * d.meanSquare
}

// Demand sums up the cores of all classes: their mean and standard deviation.
func Demand(now time.Duration, classes []DemandEstimator) (mean, deviation float64) {
	variance := 0.0
	for i := range classes {
		classMean, classVariance := classes[i].Cores(now)
		mean += classMean
		variance += classVariance
	}
	return mean, math.Sqrt(variance)
}
