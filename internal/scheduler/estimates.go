package scheduler

import (
	"time"

	"leadproxy/internal/settings"
)

// runEstimates learns, per job class, the ratio of actual run times to the estimates that the jobs'
// owners gave.
type runEstimates struct {
	runRatios []float64 // by class: run time divided by estimate; 0: no run observed yet
}

// addClass adds a class without observed runs.
func (e *runEstimates) addClass() { e.runRatios = append(e.runRatios, 0) }

// addRatio adds the ratio of one run, limited to 0.1 to 10, to the moving average of a class.
func (e *runEstimates) addRatio(class int32, ratio float64) {
	ratio = min(max(ratio, 0.1), 10)
	if old := e.runRatios[class]; old > 0 {
		ratio = old + (ratio-old)/16
	}
	e.runRatios[class] = ratio
}

// ratio returns the learned ratio of a class, 1 if no run has been observed.
func (e *runEstimates) ratio(class int32) float64 {
	if r := e.runRatios[class]; r > 0 {
		return r
	}
	return 1
}

// addRun compares the duration of a run with the owner's estimate. Jobs without an estimate are
// ignored.
func (e *runEstimates) addRun(j *job, duration time.Duration) {
	if j.spec == nil || j.spec.EstimatedRunS <= 0 {
		return
	}
	e.addRatio(j.request.class, duration.Seconds()/j.spec.EstimatedRunS)
}

// The bounds of an expected run time. Owners write estimates with one decimal, so 0 stands for a run
// that is shorter than that.
const (
	minExpectedRun = 50 * time.Millisecond
	maxExpectedRun = 365 * 24 * time.Hour
)

// expectedRun returns how long a task of a job is expected to run: the owner's estimate, corrected
// by the learned ratio of the class.
func (e *runEstimates) expectedRun(j *job) time.Duration {
	seconds := j.spec.EstimatedRunS * e.ratio(j.request.class)
	seconds = min(max(seconds, minExpectedRun.Seconds()), maxExpectedRun.Seconds())
	return settings.Seconds(seconds)
}
