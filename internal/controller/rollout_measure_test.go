//go:build measure

package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/rollout"
	"leadproxy/internal/wire"
)

// The measured load keeps the machines full: jobs of two tasks of half a machine, two thirds
// of which save their progress, due within twice their run.
const (
	drainedRun = 200 * time.Second
	drainedDue = 2 * drainedRun
)

// drainWay is a way to replace machines.
type drainWay struct {
	name string
	// text is the rest of the plan; "": they are all returned at once, by hand.
	text string
}

// drainResult is what a replacement took and cost.
type drainResult struct {
	took, lost time.Duration
	stopped    int // tasks
	most       int // jobs of a team at once
	late, jobs int
}

// measureDrain replaces machines in one way.
func measureDrain(t *testing.T, machines int, seed uint64, way drainWay) (result drainResult) {
	synctest.Test(t, func(t *testing.T) {
		p := drainPlan(machines)
		p.seed, p.writesPerSecond = seed, 400
		p.runTime = func(string) time.Duration { return drainedRun }
		p.budgets = &rollout.Budgets{TeamDefault: rollout.Budget{Share: 0.1, Window: drainWindow}}
		c := newCluster(t, p)
		for i := range c.nodes {
			c.start(i)
		}
		c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
		next := 0
		accepted := map[string]time.Time{}
		submit := func() {
			j := fake.NewJob(fmt.Sprintf("job-%06d", next), 2, func(j *wire.Job) {
				j.Team = []string{"open", "tight"}[next%2]
				j.CPUs, j.EstimatedRunS = 4, drainedRun.Seconds()
				due := drainedDue.Seconds()
				j.DeadlineS = &due
				if next%3 != 0 {
					j.CheckpointIntervalS, j.CheckpointDurationS = 10, 2
				}
			})
			next++
			accepted[j.ID] = time.Now()
			c.users.Submit(j)
		}
		for range machines {
			submit()
			time.Sleep(drainedRun / time.Duration(machines))
		}
		time.Sleep(30 * time.Second)
		old := c.machineNames()
		began := time.Now()
		if way.text == "" {
			c.cloud.Terminate(old...)
		} else if err := c.beginPlan("winter", "types = m8\n"+way.text); err != nil {
			t.Error(err)
		}
		for time.Since(began) < 6*time.Hour && c.anyOf(old) {
			submit()
			time.Sleep(drainedRun / time.Duration(machines))
		}
		result.took = time.Since(began)
		c.endFaults()
		c.awaitAllServed()
		c.users.Wait()
		result.count(c, accepted)
		c.reportViolations()
		for i := range c.nodes {
			c.kill(i)
		}
		time.Sleep(time.Minute)
	})
	return result
}

// anyOf reports whether any of the machines exists.
func (c *cluster) anyOf(names []string) bool {
	there := map[string]bool{}
	for _, name := range c.machineNames() {
		there[name] = true
	}
	for _, name := range names {
		if there[name] {
			return true
		}
	}
	return false
}

// count takes what was lost and late from what the machines saw.
func (r *drainResult) count(c *cluster, accepted map[string]time.Time) {
	ends := map[string]time.Time{}
	for _, run := range c.checker.TaskRuns() {
		jobID := wire.JobIDOfTask(run.Task)
		if run.Completed && run.Ended.After(ends[jobID]) {
			ends[jobID] = run.Ended
		}
		if !run.Completed {
			r.stopped++
		}
	}
	for jobID, at := range accepted {
		r.jobs++
		if ends[jobID].Sub(at) > drainedDue {
			r.late++
		}
	}
	for _, s := range c.missedStops() {
		r.lost += s.Ended.Sub(s.Began)
	}
	for _, team := range []string{"open", "tight"} {
		r.most = max(r.most, c.maxStoppedJobs(func(j *wire.Job) bool { return j.Team == team }))
	}
}

// TestMeasureDrains replaces all machines in steps, one by one, and all at once.
// docs/design-rollouts.md has the results, docs/operations-drain.md the command.
func TestMeasureDrains(t *testing.T) {
	ways := []drainWay{
		{"in steps", "canary = 1\nbatch = 10%\nwait_s = 600\nhealth_s = 3600"},
		{"one by one", "canary = 1\nbatch = 1\nwait_s = 600\nhealth_s = 3600"},
		{"all at once", ""},
	}
	for _, machines := range []int{40, 200} {
		for seed := range uint64(3) {
			for _, way := range ways {
				if machines > 40 && (seed > 0 || way.name == "one by one") {
					continue
				}
				r := measureDrain(t, machines, seed, way)
				t.Logf("%3d machines, seed %d, %-11s: %8s, %4d tasks stopped, %8s of waiting and repeated work, at most %3d jobs of a team at once, %3d of %4d jobs late",
					machines, seed, way.name, r.took.Round(time.Second), r.stopped, r.lost.Round(time.Second), r.most, r.late, r.jobs)
			}
		}
	}
}
