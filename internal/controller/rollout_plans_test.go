package controller

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/rollout"
	"leadproxy/internal/rolloutservice"
	"leadproxy/internal/wire"
)

// The tests of this file drain machines in steps while jobs run and controllers fail. They check the
// budgets against what the machines recorded, not against what the controllers counted.

// drainWindow is the budgets' window in these tests.
const drainWindow = 5 * time.Second

// drainBudgets allows two interrupted jobs of each team, and one of class "rare".
func drainBudgets() *rollout.Budgets {
	return &rollout.Budgets{TeamDefault: rollout.Budget{Jobs: 2, Window: drainWindow}, ByGroup: map[rollout.Group]rollout.Budget{rollout.ClassGroup("rare"): {Jobs: 1, Window: drainWindow}}}
}

// drainClusterConfig configures a cluster whose cloud can replace all machines at the same time.
func drainClusterConfig(machines int) clusterConfig {
	return clusterConfig{maxMachines: 2 * machines, budgets: drainBudgets(), standby: true, runTime: func(string) time.Duration { return 300 * time.Second }}
}

// fillMachines submits one job per machine, with two tasks of half a machine each, and waits until
// all run. The jobs belong to two teams; two thirds save checkpoints, and every fifth is of class
// "rare", which has a budget of its own.
func (c *cluster) fillMachines(machines int) (jobs []*wire.Job) {
	jobs = c.submitJobs(0, machines, 300*time.Millisecond, func(k int, j *wire.Job) {
		j.Team = []string{"open", "tight"}[k%2]
		j.Tasks, j.CPUs, j.EstimatedRunS = 2, 4, 300
		if k%3 != 0 {
			j.CheckpointIntervalS, j.CheckpointDurationS = 10, 2
		}
		if k%5 == 0 {
			j.Class = "rare"
		}
	})
	c.awaitRunning(2 * machines)
	return jobs
}

// createPlan creates a rollout plan, as an operator does.
func (c *cluster) createPlan(name, text string) error {
	_, err := rolloutservice.Create(c.t.Context(), c.net.Host("operator"), c.controllers[0].platform, "[plan]\nname = "+name+"\n"+text)
	return err
}

// steerPlan sends an operator's command to a plan, which must accept it.
func (c *cluster) steerPlan(name string, command rollout.Command, argument string) {
	c.t.Helper()
	if err := rolloutservice.Steer(c.t.Context(), c.net.Host("operator"), c.controllers[0].platform, name, command, argument); err != nil {
		c.t.Errorf("%s %s: %v", command, name, err)
	}
}

// planTable returns the state of the plans as operators see it, or the error's text.
func (c *cluster) planTable() string {
	list, err := rolloutservice.List(c.t.Context(), c.net.Host("operator"), c.controllers[0].platform)
	if err != nil {
		return err.Error()
	}
	var table bytes.Buffer
	if err := rolloutservice.WriteStatusTables(&table, list, time.Now()); err != nil {
		c.t.Error(err)
	}
	return table.String()
}

// awaitPlan waits until the table of plans contains a text.
func (c *cluster) awaitPlan(text string, limit time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		if strings.Contains(c.planTable(), text) {
			return
		}
	}
	c.t.Errorf("the table of plans does not contain %q within %s:\n%s", text, limit, c.planTable())
}

// checkReplaced checks that none of the named machines exists any more.
func (c *cluster) checkReplaced(names []string) {
	c.t.Helper()
	for _, agent := range c.cloud.Agents() {
		if slices.Contains(names, agent.Name()) {
			c.t.Errorf("machine %s still exists, want it replaced", agent.Name())
		}
	}
}

func (c *cluster) machineNames() (names []string) {
	for _, agent := range c.cloud.Agents() {
		names = append(names, agent.Name())
	}
	return names
}

// interruptions lists the interruptions of tasks according to the machines' records.
func (c *cluster) interruptions() []fake.Interruption {
	return fake.Interruptions(c.checker.TaskRuns())
}

// maxInterruptedJobs returns the largest number of the selected jobs that were interrupted at the
// same time.
func (c *cluster) maxInterruptedJobs(selects func(j *wire.Job) bool) int {
	return fake.MaxInterruptedJobs(c.interruptions(), func(jobID string) bool { return selects(c.checker.Job(jobID)) })
}

// checkBudgets checks the machines' records against the budgets. tolerated jobs more may have been
// interrupted in each group, because a fault hit them.
func (c *cluster) checkBudgets(tolerated int) {
	c.t.Helper()
	for _, team := range []string{"open", "tight"} {
		if n := c.maxInterruptedJobs(func(j *wire.Job) bool { return j.Team == team }); n > 2+tolerated {
			c.t.Errorf("%d jobs of team %s were interrupted at the same time, want at most the budget of 2 plus the tolerated ones", n, team)
		}
	}
	if n := c.maxInterruptedJobs(func(j *wire.Job) bool { return j.Class == "rare" }); n > 1+tolerated {
		c.t.Errorf("%d jobs of class rare were interrupted at the same time, want at most the budget of 1 plus the tolerated ones", n)
	}
}

// checkTasksMoved checks that at least one task was interrupted, so that the other checks have tested
// something.
func (c *cluster) checkTasksMoved() {
	c.t.Helper()
	if len(c.interruptions()) == 0 {
		c.t.Error("no task was moved, want at least one")
	}
}

// TestReplaceTwentyMachines: a plan replaces twenty fully used machines while leaders fail in every
// step, sometimes two of them within a second.
func TestReplaceTwentyMachines(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			config := drainClusterConfig(20)
			config.seed = seed
			r := rand.New(rand.NewPCG(seed, 7))
			runScenarioOnce(t, config, false, func(c *cluster) {
				c.fillMachines(20)
				oldMachines := c.machineNames()
				if err := c.createPlan("winter", "zones = a, b, c\nbatch = 25%\nwait_s = 400\nhealth_s = 400"); err != nil {
					c.t.Error(err)
					return
				}
				for k := 0; k < 200 && !strings.Contains(c.planTable(), "finished"); k++ {
					time.Sleep(randomDuration(r, 2*time.Second, 30*time.Second))
					if k%3 != 0 {
						continue
					}
					previous := c.leader()
					c.kill(previous)
					c.awaitLeader(previous)
					if k%2 == 0 {
						time.Sleep(randomDuration(r, time.Millisecond, time.Second))
						c.kill(c.leader())
					}
					time.Sleep(randomDuration(r, time.Second, 5*time.Second))
					c.startAll()
				}
				c.awaitPlan("finished", 10*time.Minute)
				c.checkReplaced(oldMachines)
				c.checkTasksMoved()
				c.checkBudgets(0)
			})
		})
	}
}

// TestConcurrentPlansShareBudgets: two plans run at the same time within the same budgets. A plan that
// selects machines of theirs is rejected, as are plans that select no machine or are invalid.
func TestConcurrentPlansShareBudgets(t *testing.T) {
	runScenarioOnce(t, drainClusterConfig(9), false, func(c *cluster) {
		c.fillMachines(9)
		oldMachines := c.machineNames()
		for name, machines := range map[string][]string{"first": oldMachines[:4], "second": oldMachines[4:]} {
			if err := c.createPlan(name, "machines = "+strings.Join(machines, ", ")+"\nbatch = 3\nwait_s = 20\nhealth_s = 400"); err != nil {
				c.t.Error(err)
				return
			}
		}
		for text, want := range map[string]string{"types = m8": "already", "zones = z": "no machine is selected", "types = m8\nbatch = 200%": "at most 100%"} {
			if err := c.createPlan("third", text); err == nil || !strings.Contains(err.Error(), want) {
				c.t.Errorf("creating a plan with %q: error %v, want an error that names the mistake", text, err)
			}
		}
		c.awaitPlan("the budget of", 3*time.Minute)
		for k := 0; k < 60 && strings.Count(c.planTable(), "finished") < 2; k++ {
			time.Sleep(20 * time.Second)
			for _, j := range c.checker.OpenJobs() { // jobs without checkpoints are moved once allowed
				for _, name := range []string{"first", "second"} {
					if strings.Contains(c.planTable(), j+"/") && strings.Contains(c.planTable(), "allow the job") {
						rolloutservice.Steer(c.t.Context(), c.net.Host("operator"), c.controllers[0].platform, name, rollout.Allow, j)
					}
				}
			}
		}
		c.checkReplaced(oldMachines)
		c.checkTasksMoved()
		c.checkBudgets(0)
	})
}

// TestDrainNeedsApprovalToStopJob: a plan first waits for a long job without checkpoints to end, and
// then asks the operator before it stops the job. A machine that the operator skips is used again.
func TestDrainNeedsApprovalToStopJob(t *testing.T) {
	config := drainClusterConfig(3)
	config.runTime = func(string) time.Duration { return 300 * time.Second }
	runScenarioOnce(t, config, false, func(c *cluster) {
		jobs := c.submitJobs(0, 3, time.Second, func(_ int, j *wire.Job) { j.Tasks, j.CPUs, j.EstimatedRunS = 1, 8, 300 })
		c.awaitRunning(3)
		oldMachines := c.machineNames()
		if err := c.createPlan("winter", "types = m8\ncanary = 3\nwait_s = 30"); err != nil {
			c.t.Error(err)
			return
		}
		c.awaitPlan("left to end", 3*time.Minute)
		c.awaitPlan("allow the job", 2*time.Minute)
		time.Sleep(20 * time.Second)
		if n := len(c.interruptions()); n > 0 {
			c.t.Errorf("%d tasks were stopped before the operator allowed it, want none", n)
		}
		c.steerPlan("winter", rollout.Allow, jobs[0].ID)
		c.steerPlan("winter", rollout.Skip, oldMachines[1])
		c.awaitPlan("finished", 20*time.Minute)
		c.checkBudgets(0)
		if !slices.Contains(c.machineNames(), oldMachines[1]) && len(c.checker.OpenJobs()) > 0 {
			c.t.Errorf("machine %s was skipped but no longer exists", oldMachines[1])
		}
	})
}

// drainFaults are faults while a plan is being carried out.
var drainFaults = map[string]func(c *cluster, oldMachines []string){
	"two machines crash": func(c *cluster, oldMachines []string) { c.cloud.Terminate(oldMachines[0], oldMachines[1]) },
	"agents hang past their lease": func(c *cluster, _ []string) {
		for _, agent := range everyOther(c.cloud.Agents()) {
			agent.SetHung(true)
		}
		time.Sleep(agentLease + 5*time.Second)
		for _, agent := range c.cloud.Agents() {
			agent.SetHung(false)
		}
	},
	"the key-value store is down": func(c *cluster, _ []string) {
		c.store.SetOutage(true)
		time.Sleep(40 * time.Second)
		c.store.SetOutage(false)
	},
	"the leader pauses and resumes": func(c *cluster, _ []string) {
		leader := c.leader()
		c.pause(leader)
		time.Sleep(pauseTime)
		c.resume(leader)
	},
	"heartbeats are duplicated and delayed": func(c *cluster, _ []string) {
		for _, agent := range c.cloud.Agents() {
			agent.DuplicateHeartbeats(func() time.Duration { return time.Duration(c.users.Random() * float64(10*time.Second)) })
		}
		time.Sleep(time.Minute)
		for _, agent := range c.cloud.Agents() {
			agent.DuplicateHeartbeats(nil)
		}
	},
	"a zone is lost": func(c *cluster, _ []string) {
		for _, agent := range c.cloud.Agents() {
			if agent.Zone() == "a" {
				c.cloud.Terminate(agent.Name())
			}
		}
	},
	"jobs are cancelled while they are moved": func(c *cluster, _ []string) {
		for _, jobID := range c.checker.OpenJobs()[:4] {
			c.users.Cancel(c.checker.Job(jobID))
		}
	},
}

// TestDrainFaults: a plan finishes and stays within its budgets despite faults of machines and
// controllers.
func TestDrainFaults(t *testing.T) {
	for name, injectFault := range drainFaults {
		t.Run(name, func(t *testing.T) {
			runScenarioOnce(t, drainClusterConfig(8), false, func(c *cluster) {
				c.commandsDelayed = true // some of the faults delay commands and responses
				c.fillMachines(8)
				oldMachines := c.machineNames()
				if err := c.createPlan("winter", "types = m8\nbatch = 3\nwait_s = 400\nhealth_s = 400"); err != nil {
					c.t.Error(err)
					return
				}
				c.awaitPlan("draining", 3*time.Minute)
				time.Sleep(3 * time.Second)
				injectFault(c, oldMachines)
				c.awaitPlan("finished", 20*time.Minute)
				c.checkReplaced(oldMachines)
				switch name {
				case "two machines crash", "agents hang past their lease", "a zone is lost":
					// Jobs hit by the fault count as interrupted, and delay further moves.
					c.checkBudgets(8)
				case "jobs are cancelled while they are moved":
				default:
					c.checkBudgets(0)
				}
			})
		})
	}
}

// TestSurgeReplacementsNeverBoot: with surge, a plan fails when the cloud has no capacity for the
// replacements, and the old machines are used again.
func TestSurgeReplacementsNeverBoot(t *testing.T) {
	config := drainClusterConfig(4)
	config.maxMachines = 4
	runScenarioOnce(t, config, false, func(c *cluster) {
		c.fillMachines(4)
		oldMachines := c.machineNames()
		if err := c.createPlan("winter", "types = m8\ncanary = 2\nsurge = yes\nhealth_s = 60"); err != nil {
			c.t.Error(err)
			return
		}
		c.awaitPlan("replacements: 0 of 2", 3*time.Minute)
		c.awaitPlan("failed", 3*time.Minute)
		if n := len(c.interruptions()); n > 0 || len(c.machineNames()) != len(oldMachines) {
			c.t.Errorf("%d tasks were stopped and %d machines are left, want no stopped task and all machines", n, len(c.machineNames()))
		}
	})
}

// TestSurge: with surge, replacements boot before machines are drained, and a new leader does not
// scale out for them a second time.
func TestSurge(t *testing.T) {
	runScenarioOnce(t, drainClusterConfig(6), false, func(c *cluster) {
		c.fillMachines(6)
		oldMachines := c.machineNames()
		if err := c.createPlan("winter", "types = m8\ncanary = 2\nbatch = 2\nsurge = yes\nwait_s = 400"); err != nil {
			c.t.Error(err)
			return
		}
		c.awaitPlan("hiring", 3*time.Minute)
		c.restart(c.leader(), time.Second)
		c.awaitPlan("finished", 20*time.Minute)
		c.checkReplaced(oldMachines)
		c.checkBudgets(0)
	})
}
