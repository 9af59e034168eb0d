package autoscaler

import (
	"math"
	"time"
)

// The windows of the moving averages, in arrivals of a class: for its rate, and for bursts.
const (
	rateArrivals  = 24
	burstArrivals = 6
)

// burstFactor is the ratio of the usual gap to the gap between the latest arrivals above which the
// latter counts as a burst.
const burstFactor = 1.3

// quietGaps is the number of mean gaps without an arrival after which a class has no demand. With
// random (Poisson) arrivals, about one gap in four hundred is that long.
const quietGaps = 6

// minArrivals is the number of arrivals needed to estimate a rate.
const minArrivals = 3

// minGapSeconds is the lower bound of a gap between two arrivals, in seconds.
const minGapSeconds = 0.01

// warmUp damps the rate of a class that has been observed for a short time only, because a starting
// controller finds a backlog of jobs whose gaps say nothing about later arrivals. It is also the
// shortest time without arrivals after which a class has no demand.
const warmUp = 45 * time.Second

// DemandEstimator estimates from arrivals how many cores the jobs of one class use. The zero value
// is an estimator without arrivals.
type DemandEstimator struct {
	arrivals     int
	firstArrival time.Duration
	lastArrival  time.Duration
	meanGap      float64 // seconds between arrivals, averaged over rateArrivals
	burstGap     float64 // the same, averaged over burstArrivals
	meanWork     float64 // core-seconds per job
	meanSquare   float64 // squared cores times seconds per job
}

// ObserveArrival adds the arrival of a job at now: the cores of all its tasks together, and the run
// time of a task in seconds.
func (d *DemandEstimator) ObserveArrival(now time.Duration, cores, seconds float64) {
	if d.arrivals == 0 {
		d.firstArrival = now
	}
	d.arrivals++
	weight := 1 / float64(min(d.arrivals, rateArrivals))
	d.meanWork += weight * (cores*seconds - d.meanWork)
	d.meanSquare += weight * (cores*cores*seconds - d.meanSquare)
	if d.arrivals > 1 {
		// The first arrival has no gap.
		gap := max((now - d.lastArrival).Seconds(), minGapSeconds)
		d.meanGap += (gap - d.meanGap) / float64(min(d.arrivals-1, rateArrivals))
		d.burstGap += (gap - d.burstGap) / float64(min(d.arrivals-1, burstArrivals))
	}
	d.lastArrival = now
}

// Cores returns the mean and the variance of the cores that the class uses at once, on the assumption
// of random arrivals of jobs that each use all their cores for their run time.
func (d *DemandEstimator) Cores(now time.Duration) (mean, variance float64) {
	sinceArrival := (now - d.lastArrival).Seconds()
	if d.arrivals < minArrivals || sinceArrival > max(quietGaps*d.meanGap, warmUp.Seconds()) {
		return 0, 0
	}
	// Half of the current gap is used if it exceeds the estimated gap, so that the rate falls while
	// no job arrives.
	rate := 1 / max(min(d.meanGap, burstFactor*d.burstGap), sinceArrival/2)
	if d.arrivals < rateArrivals {
		rate = min(rate, float64(d.arrivals)/(now-d.firstArrival+warmUp).Seconds())
	}
	return rate * d.meanWork, rate * d.meanSquare
}

// Demand returns the mean and the standard deviation of the cores that all classes use at once.
func Demand(now time.Duration, classes []DemandEstimator) (mean, deviation float64) {
	variance := 0.0
	for i := range classes {
		classMean, classVariance := classes[i].Cores(now)
		mean += classMean
		variance += classVariance
	}
	return mean, math.Sqrt(variance)
}
