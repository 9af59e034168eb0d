package scheduler

import "time"

// runEstimates learns how far the run times of each class differ from the estimates of the jobs'
// owners.
type runEstimates struct {
	runRatios []float64 // by class, of run times to estimates; 0: not learned yet
}

// addClass makes room for a class.
func (e *runEstimates) addClass() { e.runRatios = append(e.runRatios, 0) }

// addRatio takes the ratio of one run.
func (e *runEstimates) addRatio(class int32, ratio float64) {
	ratio = min(max(ratio, 0.1), 10)
	if old := e.runRatios[class]; old > 0 {
		ratio = old + (ratio-old)/16
	}
	e.runRatios[class] = ratio
}

// ratio is what is learned of a class; 1 as long as nothing is.
func (e *runEstimates) ratio(class int32) float64 {
	if r := e.runRatios[class]; r > 0 {
		return r
	}
	return 1
}

// addRun learns how true the owners' estimates of a class are.
func (e *runEstimates) addRun(j *job, took time.Duration) {
	if j.spec == nil || j.spec.EstimatedRunS <= 0 {
		return
	}
	e.addRatio(j.request.class, took.Seconds()/j.spec.EstimatedRunS)
}

// expectedRun is how long a task of a job is expected to run.
func (e *runEstimates) expectedRun(j *job) time.Duration {
	return time.Duration(j.spec.EstimatedRunS * e.ratio(j.request.class) * float64(time.Second))
}
