//go:build measure

package controller

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// The measured load: for five minutes, the jobs of one cell need more than its capacity and those of
// the others less. docs/operations-federation.md has the command.
const (
	measuredDuration  = 5 * time.Minute
	overloadInterval  = 2 * time.Second // per job of 8 cores and 20 s: 80 of the cell's 64 cores
	lightLoadInterval = 5 * time.Second // 32 of each cell's 96 cores
	meanRunTime       = 20 * time.Second
	measuredDeadline  = 90.0 // seconds
	measuredSeeds     = 5
)

// jobRunTime returns how long a job's tasks run: 10 to 30 s, derived from the seed and the job's ID,
// so that it is the same with and without delegation.
func jobRunTime(seed uint64) func(task string) time.Duration {
	return func(task string) time.Duration {
		jobID := wire.JobIDOfTask(task)
		hash := fnv.New64a()
		fmt.Fprint(hash, seed, jobID)
		return meanRunTime/2 + time.Duration(rand.New(rand.NewPCG(hash.Sum64(), 1)).Int64N(int64(meanRunTime)))
	}
}

// cellMeasurements are the times of the jobs of one cell's users.
type cellMeasurements struct {
	waitTimes, completionTimes []float64 // seconds to the start of the last task, and to the end
	late, jobs                 int
}

func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}

// measureLoad runs the load and returns the measurements by cell, and how many jobs of the first cell
// other cells accepted.
func measureLoad(t *testing.T, seed uint64, delegating bool) (measurements map[string]*cellMeasurements, delegated int) {
	measurements = map[string]*cellMeasurements{}
	synctest.Test(t, func(t *testing.T) {
		config := federationConfig{names: []string{"a", "b", "c"}, maxMachines: map[string]int{"a": 8}, runTime: jobRunTime(seed), seed: seed}
		f := newFederation(t, config)
		submitted := make(chan map[string]time.Time, 1)
		submitted <- map[string]time.Time{}
		for _, c := range f.cells {
			c.operator.Cells.DelegateJobs = delegating
			for i := range c.controllers {
				c.start(i)
			}
		}
		time.Sleep(30 * time.Second)
		for i, name := range config.names {
			interval := lightLoadInterval
			if i == 0 {
				interval = overloadInterval
			}
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			f.cells["a"].users.Go(func() {
				for k, end := 0, time.Now().Add(measuredDuration); time.Now().Before(end); k++ {
					due := measuredDeadline
					j := fake.NewJob(f.jobID(name, k), 4, func(j *wire.Job) { j.CPUs, j.EstimatedRunS, j.DeadlineS = 2, meanRunTime.Seconds(), &due })
					submittedAt := <-submitted
					submittedAt[j.ID] = time.Now()
					submitted <- submittedAt
					f.cells[name].users.Submit(j)
					time.Sleep(time.Duration(random.ExpFloat64() * float64(interval)))
				}
			})
		}
		f.cells["a"].users.Wait()
		f.finish()
		delegated = len(f.delegatedJobIDs("a"))
		starts, ends := map[string]time.Time{}, map[string]time.Time{}
		for _, run := range f.checker.TaskRuns() {
			jobID := wire.JobIDOfTask(run.Task)
			if run.Started.After(starts[jobID]) {
				starts[jobID] = run.Started
			}
			if run.Ended.After(ends[jobID]) {
				ends[jobID] = run.Ended
			}
		}
		for jobID, submission := range <-submitted {
			for _, name := range config.names {
				if !f.ownsJob(name)(jobID) {
					continue
				}
				if measurements[name] == nil {
					measurements[name] = &cellMeasurements{}
				}
				cell := measurements[name]
				cell.jobs++
				cell.waitTimes = append(cell.waitTimes, starts[jobID].Sub(submission).Seconds())
				cell.completionTimes = append(cell.completionTimes, ends[jobID].Sub(submission).Seconds())
				if ends[jobID].Sub(submission).Seconds() > measuredDeadline {
					cell.late++
				}
			}
		}
	})
	return measurements, delegated
}

// TestMeasureOverflow runs the same load with and without delegation, with several seeds each.
func TestMeasureOverflow(t *testing.T) {
	t.Log("| seed | delegating | cell | jobs | delegated | wait p50 | p90 | p99 | end p50 | p90 | p99 | late |")
	for seed := range uint64(measuredSeeds) {
		for _, delegating := range []bool{false, true} {
			measurements, delegated := measureLoad(t, seed+1, delegating)
			for _, name := range []string{"a", "b", "c"} {
				cell := measurements[name]
				elsewhere := 0
				if name == "a" {
					elsewhere = delegated
				}
				t.Logf("| %d | %v | %s | %d | %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f%% |", seed+1, delegating, name, cell.jobs, elsewhere,
					percentile(cell.waitTimes, 0.5), percentile(cell.waitTimes, 0.9), percentile(cell.waitTimes, 0.99), percentile(cell.completionTimes, 0.5), percentile(cell.completionTimes, 0.9), percentile(cell.completionTimes, 0.99),
					100*float64(cell.late)/float64(cell.jobs))
			}
		}
	}
}
