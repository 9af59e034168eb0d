package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// quickRestarts are the ways in which controllers are back within a second.
var quickRestarts = map[string]func(c *cluster, r *rand.Rand){
	"no controller": func(*cluster, *rand.Rand) {},
	"the leader": func(c *cluster, r *rand.Rand) {
		c.restartLeader(r)
	},
	"the same leader again": func(c *cluster, r *rand.Rand) {
		leader, version := c.leader(), c.store.Version(election.LeaderKey)
		others := func(do func(a, b string)) {
			for i := range c.controllers {
				if i != leader {
					do(c.controllerName(i), "state")
				}
			}
		}
		others(func(a, b string) { c.net.Partition(a, b, false) })
		c.restart(leader, withinASecond(r))
		c.await("the same leader", time.Minute, func() bool { return c.leader() == leader && c.store.Version(election.LeaderKey) != version })
		others(c.net.Heal)
	},
	"all controllers, again in the election": func(c *cluster, r *rand.Rand) {
		for range 2 {
			for i := range c.controllers {
				c.kill(i)
			}
			time.Sleep(withinASecond(r))
			c.startAll()
			time.Sleep(randomDuration(r, 500*time.Millisecond, 4*time.Second))
		}
	},
}

// withinASecond returns a random time in which a process or machine is back.
func withinASecond(r *rand.Rand) time.Duration {
	return randomDuration(r, 50*time.Millisecond, time.Second)
}

// restartLeader restarts the leader, if there is one, within a second.
func (c *cluster) restartLeader(r *rand.Rand) {
	if leader := c.leader(); leader >= 0 {
		c.restart(leader, withinASecond(r))
	}
}

// moveAndCancel runs jobs on idle machines, so that direct commands start them, has their tasks fail
// twice, so that they move and some of them move back, and cancels others. disturb is called after each
// move.
func (c *cluster) moveAndCancel(r *rand.Rand, round int, disturb func()) {
	first := 100*round + 10
	jobs := c.submitJobs(first, 6, 100*time.Millisecond, func(k int, j *wire.Job) {
		j.CPUs = 3 // one on a machine
	})
	c.awaitRunning(6)
	time.Sleep(randomDuration(r, time.Second, 3*time.Second))
	for i, agents := range [][]*fake.Agent{everyOther(c.cloud.Agents()), c.cloud.Agents()} {
		for _, agent := range agents {
			agent.FailTasks()
		}
		time.Sleep(randomDuration(r, time.Second, 2*time.Second))
		c.users.Cancel(jobs[2*i+1])
		disturb()
		// The jobs avoid the machines on which they have failed for 45 s.
		time.Sleep(randomDuration(r, 20*time.Second, 50*time.Second))
	}
}

// TestLateCopiesOfAnsweredStarts guards against a task that a late copy of an answered start runs on a
// second machine, or after its job was cancelled: tasks move, some of them back, jobs are cancelled, and
// copies of all commands arrive up to longer than the bound on cancellations later, while controllers are
// back within a second.
func TestLateCopiesOfAnsweredStarts(t *testing.T) {
	for name, restart := range quickRestarts {
		t.Run(name, func(t *testing.T) {
			config := lateCopiesConfig
			config.directStarts = true
			runWithSeeds(t, config, func(c *cluster, r *rand.Rand) {
				c.withLateCopies(r, func() { restart(c, r) })
			})
		})
	}
}

// lateCopiesConfig has idle machines, on which direct commands start tasks.
var lateCopiesConfig = clusterConfig{maxMachines: 24, runTime: longRunning(time.Minute)}

// withLateCopies has copies of all commands arrive late while tasks move and jobs are cancelled.
func (c *cluster) withLateCopies(r *rand.Rand, disturb func()) {
	const rounds = 2
	c.commandFaults.Store(c.randomFaults(1, fake.Repeated, 500*time.Millisecond, cancelLimit+20*time.Second))
	for round := range rounds {
		c.submitJobs(100*round+1, 1, time.Second, func(_ int, j *wire.Job) { j.Tasks = 40 })
		c.awaitJobDone(fmt.Sprintf("job-%06d", 100*round+1))
		c.moveAndCancel(r, round, disturb)
	}
	c.commandFaults.Store(nil)
	time.Sleep(cancelLimit + 20*time.Second) // the last copies arrive
}

// TestLateCopiesReachRebootedMachines guards against the same when machines are back within a second,
// some of them in an election or again soon after.
func TestLateCopiesReachRebootedMachines(t *testing.T) {
	for _, name := range []string{"no controller", "the leader", "all controllers, again in the election"} {
		t.Run(name, func(t *testing.T) {
			runWithSeeds(t, lateCopiesConfig, func(c *cluster, r *rand.Rand) {
				c.withLateCopies(r, func() {
					for range 3 {
						for _, agent := range c.cloud.Agents() {
							agent.Reboot()
						}
						quickRestarts[name](c, r)
						time.Sleep(randomDuration(r, 0, 10*time.Second))
					}
				})
			})
		})
	}
}
