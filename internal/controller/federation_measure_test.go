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

// The measured load: one cell is asked for more than it has for five minutes, the others
// for less. docs/operations-federation.md has the command.
const (
	measuredDuration  = 5 * time.Minute
	overloadInterval  = 2 * time.Second // jobs of 8 cores for 20 s: 80 cores of the 64 there are
	lightLoadInterval = 5 * time.Second // 32 of 96
	meanRunTime       = 20 * time.Second
	measuredDeadline  = 90.0 // seconds
	measuredSeeds     = 5
)

// jobRunTime is how long a job's tasks run: 10 to 30 s, the same with and without forwarding jobs.
func jobRunTime(seed uint64) func(task string) time.Duration {
	return func(task string) time.Duration {
		jobID := wire.JobIDOfTask(task)
		h := fnv.New64a()
		fmt.Fprint(h, seed, jobID)
		return meanRunTime/2 + time.Duration(rand.New(rand.NewPCG(h.Sum64(), 1)).Int64N(int64(meanRunTime)))
	}
}

// cellMeasurements is what one cell's users saw.
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

// measureLoad plays the load and returns what the users of each cell saw, and how many of
// the first's jobs ran elsewhere.
func measureLoad(t *testing.T, seed uint64, spilling bool) (seen map[string]*cellMeasurements, spilled int) {
	seen = map[string]*cellMeasurements{}
	synctest.Test(t, func(t *testing.T) {
		p := federationConfig{names: []string{"a", "b", "c"}, maxMachines: map[string]int{"a": 8}, runTime: jobRunTime(seed), seed: seed}
		f := newFederation(t, p)
		submitted := make(chan map[string]time.Time, 1)
		submitted <- map[string]time.Time{}
		for _, c := range f.cells {
			c.operator.Cells.DelegateJobs = spilling
			for i := range c.controllers {
				c.start(i)
			}
		}
		time.Sleep(30 * time.Second)
		for i, name := range p.names {
			every := lightLoadInterval
			if i == 0 {
				every = overloadInterval
			}
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			f.cells["a"].users.Go(func() {
				for k, end := 0, time.Now().Add(measuredDuration); time.Now().Before(end); k++ {
					due := measuredDeadline
					j := fake.NewJob(f.jobID(name, k), 4, func(j *wire.Job) { j.CPUs, j.EstimatedRunS, j.DeadlineS = 2, meanRunTime.Seconds(), &due })
					at := <-submitted
					at[j.ID] = time.Now()
					submitted <- at
					f.cells[name].users.Submit(j)
					time.Sleep(time.Duration(random.ExpFloat64() * float64(every)))
				}
			})
		}
		f.cells["a"].users.Wait()
		f.finish()
		spilled = len(f.delegatedJobIDs("a"))
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
		for jobID, at := range <-submitted {
			for _, name := range p.names {
				if !f.ownsJob(name)(jobID) {
					continue
				}
				if seen[name] == nil {
					seen[name] = &cellMeasurements{}
				}
				m := seen[name]
				m.jobs++
				m.waitTimes = append(m.waitTimes, starts[jobID].Sub(at).Seconds())
				m.completionTimes = append(m.completionTimes, ends[jobID].Sub(at).Seconds())
				if ends[jobID].Sub(at).Seconds() > measuredDeadline {
					m.late++
				}
			}
		}
	})
	return seen, spilled
}

// TestMeasureOverflow plays the same load with and without forwarding jobs, several seeds each.
func TestMeasureOverflow(t *testing.T) {
	t.Log("| seed | spilling | cell | jobs | elsewhere | wait p50 | p90 | p99 | end p50 | p90 | p99 | late |")
	for seed := range uint64(measuredSeeds) {
		for _, spilling := range []bool{false, true} {
			seen, spilled := measureLoad(t, seed+1, spilling)
			for _, name := range []string{"a", "b", "c"} {
				m := seen[name]
				elsewhere := 0
				if name == "a" {
					elsewhere = spilled
				}
				t.Logf("| %d | %v | %s | %d | %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f%% |", seed+1, spilling, name, m.jobs, elsewhere,
					percentile(m.waitTimes, 0.5), percentile(m.waitTimes, 0.9), percentile(m.waitTimes, 0.99), percentile(m.completionTimes, 0.5), percentile(m.completionTimes, 0.9), percentile(m.completionTimes, 0.99),
					100*float64(m.late)/float64(m.jobs))
			}
		}
	}
}
