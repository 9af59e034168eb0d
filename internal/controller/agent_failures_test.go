package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// The tests of this file delay, lose or cut off machines and their messages. docs/failures.md lists
// the code that handles each combination. In each test the checker verifies the invariants
// throughout, and runScenario fails unless all accepted jobs are served in the end.

// TestDelayedHeartbeats guards against acting on outdated heartbeats: an old heartbeat, also one of
// an earlier agent epoch or attempt, reaches every controller when a new leader's term begins, after
// that leader has acted, or after newer heartbeats.
func TestDelayedHeartbeats(t *testing.T) {
	for name, scenario := range map[string]func(c *cluster, replay func()){
		"when the new term begins": func(c *cluster, replay func()) {
			c.kill(c.leader())
			c.awaitNewTerm()
			replay()
		},
		"after the new leader has acted": func(c *cluster, replay func()) {
			c.kill(c.leader())
			c.awaitNewTerm()
			time.Sleep(8 * time.Second)
			replay()
			time.Sleep(30 * time.Second)
			replay()
		},
		"after newer heartbeats": func(_ *cluster, replay func()) {
			for range 5 {
				time.Sleep(4 * time.Second)
				replay()
			}
		},
		"after the agents' leases expired": func(c *cluster, replay func()) {
			agents := c.cloud.Agents()
			for _, agent := range agents {
				agent.SetHung(true)
			}
			time.Sleep(agentLease + time.Second)
			for _, agent := range agents {
				agent.SetHung(false)
			}
			for range 4 {
				time.Sleep(700 * time.Millisecond)
				replay()
			}
			c.kill(c.leader())
			c.awaitNewTerm()
			replay()
		},
		"heartbeats duplicated throughout": func(c *cluster, replay func()) {
			for _, agent := range c.cloud.Agents() {
				agent.DuplicateHeartbeats(func() time.Duration { return 2*time.Second + time.Duration(c.users.Random()*float64(40*time.Second)) })
			}
			time.Sleep(20 * time.Second)
			c.kill(c.leader())
			time.Sleep(20 * time.Second)
			replay()
			for _, agent := range c.cloud.Agents() {
				agent.DuplicateHeartbeats(nil)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: longRunning(30 * time.Second)}, func(c *cluster) {
				jobs := c.submitJobs(0, 10, 300*time.Millisecond, nil)
				c.awaitRunning(15)
				agents := c.cloud.Agents()
				for _, agent := range agents {
					agent.SaveHeartbeat()
				}
				time.Sleep(10 * time.Second)
				c.users.Cancel(jobs[0])
				scenario(c, func() {
					for _, agent := range agents {
						agent.ReplayHeartbeat()
					}
				})
				c.submitJobs(100, 4, 300*time.Millisecond, nil)
				time.Sleep(time.Minute)
				c.startAll()
			})
		})
	}
}

// TestHeartbeatFromEarlierTerm: while a machine hangs within its lease, a new leader repeatedly
// receives a heartbeat from before the machine got its tasks. Tasks that this heartbeat doesn't list
// must not count as finished.
func TestHeartbeatFromEarlierTerm(t *testing.T) {
	runScenario(t, clusterConfig{runTime: longRunning(60 * time.Second)}, func(c *cluster) {
		c.submitJobs(0, 1, time.Second, func(_ int, j *wire.Job) { j.Tasks = 20 })
		c.awaitRunning(20)
		c.await("completion of the first job", 2*time.Minute, func() bool { _, done := c.checker.TaskCounts("job-000000"); return done == 20 })
		agents := c.cloud.Agents()
		for _, agent := range agents {
			agent.SaveHeartbeat()
		}
		c.submitJobs(10, 8, 200*time.Millisecond, func(k int, j *wire.Job) { j.ID = fmt.Sprintf("job-%06d", 10+2*k) })
		c.awaitRunning(20)
		time.Sleep(4 * time.Second)
		agents = everyOther(agents)
		for _, agent := range agents {
			agent.SetHung(true)
		}
		leader := c.leader()
		c.kill(leader)
		for range 100 {
			for _, agent := range agents {
				agent.ReplayHeartbeat()
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, agent := range agents {
			agent.SetHung(false)
		}
		c.start(leader)
	})
}

// TestFastBootsDuringFailover: new machines boot within two seconds and get tasks immediately, while
// writes are slow and leaders fail. A leader can therefore fail while its writes of the scale-out
// and of the tasks' hosts are still unanswered.
func TestFastBootsDuringFailover(t *testing.T) {
	runWithSeeds(t, clusterConfig{bootTime: time.Second, runTime: longRunning(30 * time.Second)}, func(c *cluster, r *rand.Rand) {
		c.store.SetDelay(700 * time.Millisecond)
		c.writeFaults.Store(c.randomFaults(0.3, fake.Delayed, 2*time.Second, 8*time.Second))
		c.scaleOutFaults.Store(c.randomFaults(0.3, fake.ResponseLost, 0, 0))
		c.submitJobs(0, 8, 200*time.Millisecond, func(_ int, j *wire.Job) { j.Tasks = 6 })
		for range 3 {
			time.Sleep(randomDuration(r, time.Second, 6*time.Second))
			if leader := c.leader(); leader >= 0 {
				c.restart(leader, randomDuration(r, 100*time.Millisecond, 3*time.Second))
			}
		}
		time.Sleep(10 * time.Second)
		c.store.SetDelay(0)
		c.writeFaults.Store(nil)
		c.scaleOutFaults.Store(nil)
	})
}

// TestDelayedCommands: commands or their responses are delayed for seconds while some machines hang;
// jobs are cancelled and the leader changes before the machines resume.
func TestDelayedCommands(t *testing.T) {
	for _, fault := range []fake.FaultKind{fake.Delayed, fake.ResponseLost, fake.RequestLost, fake.Duplicated} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: longRunning(30 * time.Second)}, func(c *cluster) {
				c.commandsDelayed = true
				c.commandFaults.Store(c.randomFaults(0.5, fault, 2*time.Second, 15*time.Second))
				jobs := c.submitJobs(0, 12, 300*time.Millisecond, nil)
				time.Sleep(3 * time.Second)
				for _, agent := range everyOther(c.cloud.Agents()) {
					agent.SetHung(true)
				}
				for _, j := range everyOther(jobs) {
					c.users.Cancel(j)
				}
				time.Sleep(7 * time.Second)
				c.restart(c.leader(), time.Second)
				for _, agent := range c.cloud.Agents() {
					agent.SetHung(false)
				}
				c.submitJobs(100, 6, 300*time.Millisecond, nil)
				time.Sleep(20 * time.Second)
				c.commandFaults.Store(nil)
			})
		})
	}
}

// TestUnreachableMachines: the leader fails while machines with long tasks hang, can't be reached, or
// reach no controller although commands still reach them. This lasts for less or longer than the
// agents' lease.
func TestUnreachableMachines(t *testing.T) {
	for _, duration := range []time.Duration{6 * time.Second, agentLease - 2*time.Second, agentLease + 5*time.Second} {
		for name, setUnreachable := range unreachableModes {
			t.Run(fmt.Sprint(name, duration), func(t *testing.T) {
				runScenario(t, clusterConfig{runTime: longRunning(60 * time.Second)}, func(c *cluster) {
					c.submitJobs(0, 10, 200*time.Millisecond, nil)
					c.awaitRunning(20)
					agents := everyOther(c.cloud.Agents())
					for _, agent := range agents {
						setUnreachable(agent, true)
					}
					c.kill(c.leader())
					c.awaitNewTerm()
					time.Sleep(duration)
					for _, agent := range agents {
						setUnreachable(agent, false)
					}
					c.startAll()
				})
			})
		}
	}
}

// TestOutboundCutMachines: agents can't connect to any controller, while commands still reach them,
// for less and for longer than their lease; jobs are cancelled meanwhile.
func TestOutboundCutMachines(t *testing.T) {
	for _, duration := range []time.Duration{8 * time.Second, agentLease + 4*time.Second, cancelLimit + 10*time.Second} {
		t.Run(fmt.Sprint(duration), func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: longRunning(60 * time.Second)}, func(c *cluster) {
				jobs := c.submitJobs(0, 10, 200*time.Millisecond, nil)
				c.awaitRunning(20)
				agents := c.cloud.Agents()
				for _, agent := range agents {
					agent.SetOutboundCut(true)
				}
				time.Sleep(2 * time.Second)
				for _, j := range everyOther(jobs) {
					c.users.Cancel(j)
				}
				time.Sleep(duration)
				for _, agent := range agents {
					agent.SetOutboundCut(false)
				}
			})
		})
	}
}

// TestMachineReboots: machines reboot within a fraction of a second, so that their agents number
// heartbeats from the beginning, while old heartbeats arrive and leaders fail.
// TestLateCopiesReachRebootedMachines has late copies of commands besides.
func TestMachineReboots(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: longRunning(30 * time.Second)}, func(c *cluster, r *rand.Rand) {
		jobs := c.submitJobs(0, 12, 300*time.Millisecond, nil)
		c.awaitRunning(15)
		for _, agent := range c.cloud.Agents() {
			agent.SaveHeartbeat()
		}
		for k := range 6 {
			agents := c.cloud.Agents()
			for _, agent := range everyOther(agents) {
				agent.Reboot()
			}
			c.users.Cancel(jobs[2*k])
			time.Sleep(randomDuration(r, 100*time.Millisecond, 5*time.Second))
			for _, agent := range agents {
				agent.ReplayHeartbeat()
			}
			if k%2 == 0 {
				c.restart(c.leader(), randomDuration(r, 100*time.Millisecond, time.Second))
				c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
			}
		}
	})
}

// TestZonePartition: a zone with agents and a controller, which is or is not the leader, is cut off
// for longer than the agents' lease.
func TestZonePartition(t *testing.T) {
	for _, ofLeader := range []bool{true, false} {
		for _, hold := range []bool{true, false} {
			t.Run(fmt.Sprint(ofLeader, hold), func(t *testing.T) {
				runScenario(t, clusterConfig{runTime: longRunning(50 * time.Second)}, func(c *cluster) {
					jobs := c.submitJobs(0, 10, 200*time.Millisecond, nil)
					c.awaitRunning(20)
					partitioned := c.leader()
					if !ofLeader {
						partitioned = c.follower()
					}
					zone := c.controllers[partitioned].platform.Zone
					cut := func(do func(a, b string)) {
						do(c.controllerName(partitioned), "state")
						do(c.controllerName(partitioned), "cloud")
						do(c.controllerName(partitioned), "users")
						for i := range c.controllers {
							if i != partitioned {
								do(c.controllerName(partitioned), c.controllerName(i))
							}
						}
						for _, agent := range c.cloud.Agents() {
							for i, process := range c.controllers {
								if (process.platform.Zone == zone) != (agent.Zone() == zone) {
									do(agent.Name(), c.controllerName(i))
								}
							}
						}
					}
					cut(func(a, b string) { c.net.Partition(a, b, hold) })
					time.Sleep(3 * time.Second)
					for _, j := range everyOther(jobs) {
						c.users.Cancel(j)
					}
					time.Sleep(agentLease + 5*time.Second)
					cut(c.net.Heal)
				})
			})
		}
	}
}
