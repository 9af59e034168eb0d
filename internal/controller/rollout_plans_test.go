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

// Machines are drained in steps while users work and controllers fail. What is held to the
// budgets is what the machines recorded, not what the controllers count.

// drainWindow is the budgets' window in these tests.
const drainWindow = 5 * time.Second

// drainBudgets are two jobs of each team, and one of the class of jobs that are rare.
func drainBudgets() *rollout.Budgets {
	return &rollout.Budgets{TeamDefault: rollout.Budget{Jobs: 2, Window: drainWindow}, ByGroup: map[rollout.Group]rollout.Budget{rollout.ClassGroup("rare"): {Jobs: 1, Window: drainWindow}}}
}

// drainClusterConfig is a cluster whose machines can all be replaced.
func drainClusterConfig(machines int) clusterConfig {
	return clusterConfig{maxMachines: 2 * machines, budgets: drainBudgets(), standby: true, runTime: func(string) time.Duration { return 300 * time.Second }}
}

// fillMachines has jobs run on about that many machines: of two teams, in turn those that save their
// progress, those that don't, and those of a class that has a budget of its own.
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

// createPlan begins a plan.
func (c *cluster) createPlan(name, text string) error {
	_, err := rolloutservice.Create(c.t.Context(), c.net.Host("operator"), c.controllers[0].platform, "[plan]\nname = "+name+"\n"+text)
	return err
}

func (c *cluster) steerPlan(name string, command rollout.Command, argument string) {
	c.t.Helper()
	if err := rolloutservice.Steer(c.t.Context(), c.net.Host("operator"), c.controllers[0].platform, name, command, argument); err != nil {
		c.t.Errorf("%s %s: %v", command, name, err)
	}
}

// planTable is the state of the plans, as an operator sees it.
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

// awaitPlan waits until the plans' table has a text.
func (c *cluster) awaitPlan(text string, limit time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		if strings.Contains(c.planTable(), text) {
			return
		}
	}
	c.t.Errorf("not %q within %s:\n%s", text, limit, c.planTable())
}

// checkReplaced checks that none of some machines is there any more.
func (c *cluster) checkReplaced(names []string) {
	c.t.Helper()
	for _, agent := range c.cloud.Agents() {
		if slices.Contains(names, agent.Name()) {
			c.t.Errorf("%s is there", agent.Name())
		}
	}
}

func (c *cluster) machineNames() (names []string) {
	for _, agent := range c.cloud.Agents() {
		names = append(names, agent.Name())
	}
	return names
}

// interruptions lists what tasks missed, by what the machines recorded.
func (c *cluster) interruptions() []fake.Interruption {
	return fake.Interruptions(c.checker.TaskRuns())
}

// maxInterruptedJobs is how many jobs of some were stopped at once at most.
func (c *cluster) maxInterruptedJobs(selects func(j *wire.Job) bool) int {
	return fake.MaxInterruptedJobs(c.interruptions(), func(jobID string) bool { return selects(c.checker.Job(jobID)) })
}

// checkBudgets checks what the machines recorded against the budgets; hit jobs may be more, of
// each team.
func (c *cluster) checkBudgets(tolerated int) {
	c.t.Helper()
	for _, team := range []string{"open", "tight"} {
		if n := c.maxInterruptedJobs(func(j *wire.Job) bool { return j.Team == team }); n > 2+tolerated {
			c.t.Errorf("%d jobs of team %s were stopped at once", n, team)
		}
	}
	if n := c.maxInterruptedJobs(func(j *wire.Job) bool { return j.Class == "rare" }); n > 1+tolerated {
		c.t.Errorf("%d rare jobs were stopped at once", n)
	}
}

// checkTasksMoved checks that a scenario has moved anything at all.
func (c *cluster) checkTasksMoved() {
	c.t.Helper()
	if len(c.interruptions()) == 0 {
		c.t.Error("no task was moved")
	}
}

// TestReplaceTwentyMachines: all of twenty machines are replaced while they work, with
// leaders that end in every step, twice within a second at times.
func TestReplaceTwentyMachines(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			config := drainClusterConfig(20)
			config.seed = seed
			r := rand.New(rand.NewPCG(seed, 7))
			runScenarioOnce(t, config, false, func(c *cluster) {
				c.fillMachines(20)
				old := c.machineNames()
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
				c.checkReplaced(old)
				c.checkTasksMoved()
				c.checkBudgets(0)
			})
		})
	}
}

// TestConcurrentPlansShareBudgets: two plans at once, and one that has a machine of theirs.
func TestConcurrentPlansShareBudgets(t *testing.T) {
	runScenarioOnce(t, drainClusterConfig(9), false, func(c *cluster) {
		c.fillMachines(9)
		old := c.machineNames()
		for name, machines := range map[string][]string{"first": old[:4], "second": old[4:]} {
			if err := c.createPlan(name, "machines = "+strings.Join(machines, ", ")+"\nbatch = 3\nwait_s = 20\nhealth_s = 400"); err != nil {
				c.t.Error(err)
				return
			}
		}
		for text, want := range map[string]string{"types = m8": "already", "zones = z": "no machine is selected", "types = m8\nbatch = 200%": "at most 100%"} {
			if err := c.createPlan("third", text); err == nil || !strings.Contains(err.Error(), want) {
				c.t.Errorf("%q: %v", text, err)
			}
		}
		c.awaitPlan("the budget of", 3*time.Minute)
		for k := 0; k < 60 && strings.Count(c.planTable(), "finished") < 2; k++ {
			time.Sleep(20 * time.Second)
			for _, j := range c.checker.OpenJobs() { // what can't save is moved at once
				for _, name := range []string{"first", "second"} {
					if strings.Contains(c.planTable(), j+"/") && strings.Contains(c.planTable(), "allow the job") {
						rolloutservice.Steer(c.t.Context(), c.net.Host("operator"), c.controllers[0].platform, name, rollout.Allow, j)
					}
				}
			}
		}
		c.checkReplaced(old)
		c.checkTasksMoved()
		c.checkBudgets(0)
	})
}

// TestDrainNeedsApprovalToStopJob: a long job that can't save its progress is left to end, and
// then the operator is asked; what is skipped is used again.
func TestDrainNeedsApprovalToStopJob(t *testing.T) {
	config := drainClusterConfig(3)
	config.runTime = func(string) time.Duration { return 300 * time.Second }
	runScenarioOnce(t, config, false, func(c *cluster) {
		jobs := c.submitJobs(0, 3, time.Second, func(_ int, j *wire.Job) { j.Tasks, j.CPUs, j.EstimatedRunS = 1, 8, 300 })
		c.awaitRunning(3)
		old := c.machineNames()
		if err := c.createPlan("winter", "types = m8\ncanary = 3\nwait_s = 30"); err != nil {
			c.t.Error(err)
			return
		}
		c.awaitPlan("left to end", 3*time.Minute)
		c.awaitPlan("allow the job", 2*time.Minute)
		time.Sleep(20 * time.Second)
		if n := len(c.interruptions()); n > 0 {
			c.t.Errorf("%d tasks were stopped before anybody was asked", n)
		}
		c.steerPlan("winter", rollout.Allow, jobs[0].ID)
		c.steerPlan("winter", rollout.Skip, old[1])
		c.awaitPlan("finished", 20*time.Minute)
		c.checkBudgets(0)
		if !slices.Contains(c.machineNames(), old[1]) && len(c.checker.OpenJobs()) > 0 {
			c.t.Errorf("%s was skipped, and is gone", old[1])
		}
	})
}

// drainFaults are faults while a plan is being carried out.
var drainFaults = map[string]func(c *cluster, old []string){
	"a machine crashes": func(c *cluster, old []string) { c.cloud.Terminate(old[0], old[1]) },
	"machines fall silent": func(c *cluster, _ []string) {
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
	"heartbeats come late and twice": func(c *cluster, _ []string) {
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
	"jobs are cancelled in the middle of a move": func(c *cluster, _ []string) {
		for _, jobID := range c.checker.OpenJobs()[:4] {
			c.users.Cancel(c.checker.Job(jobID))
		}
	},
}

// TestDrainFaults: what happens to machines and controllers while a plan is carried out
// keeps it neither from ending nor within its budgets.
func TestDrainFaults(t *testing.T) {
	for name, injectFault := range drainFaults {
		t.Run(name, func(t *testing.T) {
			runScenarioOnce(t, drainClusterConfig(8), false, func(c *cluster) {
				c.commandsDelayed = true // in some, answers and commands come late
				c.fillMachines(8)
				old := c.machineNames()
				if err := c.createPlan("winter", "types = m8\nbatch = 3\nwait_s = 400\nhealth_s = 400"); err != nil {
					c.t.Error(err)
					return
				}
				c.awaitPlan("draining", 3*time.Minute)
				time.Sleep(3 * time.Second)
				injectFault(c, old)
				c.awaitPlan("finished", 20*time.Minute)
				c.checkReplaced(old)
				switch name {
				case "a machine crashes", "machines fall silent", "a zone is lost":
					// Those that were hit count, and hold back what is moved.
					c.checkBudgets(8)
				case "jobs are cancelled in the middle of a move":
				default:
					c.checkBudgets(0)
				}
			})
		})
	}
}

// TestSurgeReplacementsNeverBoot: with surge and no room in the cloud, the plan fails, and
// the machines are used again.
func TestSurgeReplacementsNeverBoot(t *testing.T) {
	config := drainClusterConfig(4)
	config.maxMachines = 4
	runScenarioOnce(t, config, false, func(c *cluster) {
		c.fillMachines(4)
		old := c.machineNames()
		if err := c.createPlan("winter", "types = m8\ncanary = 2\nsurge = yes\nhealth_s = 60"); err != nil {
			c.t.Error(err)
			return
		}
		c.awaitPlan("replacements: 0 of 2", 3*time.Minute)
		c.awaitPlan("failed", 3*time.Minute)
		if n := len(c.interruptions()); n > 0 || len(c.machineNames()) != len(old) {
			c.t.Errorf("%d tasks were stopped, %d machines are left", n, len(c.machineNames()))
		}
	})
}

// TestSurge: replacements come first, and a new leader does not scale out for them again.
func TestSurge(t *testing.T) {
	runScenarioOnce(t, drainClusterConfig(6), false, func(c *cluster) {
		c.fillMachines(6)
		old := c.machineNames()
		if err := c.createPlan("winter", "types = m8\ncanary = 2\nbatch = 2\nsurge = yes\nwait_s = 400"); err != nil {
			c.t.Error(err)
			return
		}
		c.awaitPlan("hiring", 3*time.Minute)
		c.restart(c.leader(), time.Second)
		c.awaitPlan("finished", 20*time.Minute)
		c.checkReplaced(old)
		c.checkBudgets(0)
	})
}
