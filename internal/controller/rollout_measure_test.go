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

// The measured load keeps the machines fully used: jobs of two tasks of half a machine each, two
// thirds of which save checkpoints, with a deadline of twice their run time.
const (
	drainJobRunTime  = 200 * time.Second
	drainJobDeadline = 2 * drainJobRunTime
)

// replacementMethod is a method of replacing machines.
type replacementMethod struct {
	name string
	// planText is the plan without its name and types; "": no plan, all machines are terminated at
	// the same time.
	planText string
}

// drainResult holds how long a replacement took and what it cost.
type drainResult struct {
	duration, lostTime time.Duration
	stoppedTasks       int
	maxInterrupted     int // jobs of a team at the same time
	late, jobs         int
}

// measureDrain replaces all machines of a loaded cluster with one method.
func measureDrain(t *testing.T, machines int, seed uint64, method replacementMethod) (result drainResult) {
	synctest.Test(t, func(t *testing.T) {
		config := drainClusterConfig(machines)
		config.seed, config.writesPerSecond = seed, 400
		config.runTime = func(string) time.Duration { return drainJobRunTime }
		config.budgets = &rollout.Budgets{TeamDefault: rollout.Budget{Share: 0.1, Window: drainWindow}}
		c := newCluster(t, config)
		for i := range c.controllers {
			c.start(i)
		}
		c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
		next := 0
		accepted := map[string]time.Time{}
		submit := func() {
			j := fake.NewJob(fmt.Sprintf("job-%06d", next), 2, func(j *wire.Job) {
				j.Team = []string{"open", "tight"}[next%2]
				j.CPUs, j.EstimatedRunS = 4, drainJobRunTime.Seconds()
				due := drainJobDeadline.Seconds()
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
			time.Sleep(drainJobRunTime / time.Duration(machines))
		}
		time.Sleep(30 * time.Second)
		oldMachines := c.machineNames()
		began := time.Now()
		if method.planText == "" {
			c.cloud.Terminate(oldMachines...)
		} else if err := c.createPlan("winter", "types = m8\n"+method.planText); err != nil {
			t.Error(err)
		}
		for time.Since(began) < 6*time.Hour && c.anyMachineExists(oldMachines) {
			submit()
			time.Sleep(drainJobRunTime / time.Duration(machines))
		}
		result.duration = time.Since(began)
		c.markFaultsEnded()
		c.awaitAllJobsEnded()
		c.users.Wait()
		result.addJobs(c, accepted)
		c.reportViolations()
		for i := range c.controllers {
			c.kill(i)
		}
		time.Sleep(time.Minute)
	})
	return result
}

// anyMachineExists reports whether at least one of the named machines still exists.
func (c *cluster) anyMachineExists(names []string) bool {
	existing := map[string]bool{}
	for _, name := range c.machineNames() {
		existing[name] = true
	}
	for _, name := range names {
		if existing[name] {
			return true
		}
	}
	return false
}

// addJobs adds the lost time, stopped tasks and late jobs, computed from the machines' records of
// task runs.
func (r *drainResult) addJobs(c *cluster, accepted map[string]time.Time) {
	ends := map[string]time.Time{}
	for _, run := range c.checker.TaskRuns() {
		jobID := wire.JobIDOfTask(run.Task)
		if run.Completed && run.Ended.After(ends[jobID]) {
			ends[jobID] = run.Ended
		}
		if !run.Completed {
			r.stoppedTasks++
		}
	}
	for jobID, at := range accepted {
		r.jobs++
		if ends[jobID].Sub(at) > drainJobDeadline {
			r.late++
		}
	}
	for _, interruption := range c.interruptions() {
		r.lostTime += interruption.Ended.Sub(interruption.Began)
	}
	for _, team := range []string{"open", "tight"} {
		r.maxInterrupted = max(r.maxInterrupted, c.maxInterruptedJobs(func(j *wire.Job) bool { return j.Team == team }))
	}
}

// TestMeasureDrains replaces all machines in steps, one by one, and all at the same time.
// docs/design-rollouts.md has the results, docs/operations-drain.md the command.
func TestMeasureDrains(t *testing.T) {
	methods := []replacementMethod{
		{"in steps", "canary = 1\nbatch = 10%\nwait_s = 600\nhealth_s = 3600"},
		{"one by one", "canary = 1\nbatch = 1\nwait_s = 600\nhealth_s = 3600"},
		{"all at once", ""},
	}
	for _, machines := range []int{40, 200} {
		for seed := range uint64(3) {
			for _, method := range methods {
				if machines > 40 && (seed > 0 || method.name == "one by one") {
					continue
				}
				result := measureDrain(t, machines, seed, method)
				t.Logf("%3d machines, seed %d, %-11s: %8s, %4d tasks stopped, %8s of waiting and repeated work, at most %3d jobs of a team at once, %3d of %4d jobs late",
					machines, seed, method.name, result.duration.Round(time.Second), result.stoppedTasks, result.lostTime.Round(time.Second), result.maxInterrupted, result.late, result.jobs)
			}
		}
	}
}
