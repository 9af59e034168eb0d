package controller

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// The tests of this file cover failovers at moments that other scenarios hit at most by chance. Most
// run with and without standbys, and the checker verifies the invariants.

// pauseTime is longer than a leader's lease, so that another controller leads when a paused leader
// resumes.
const pauseTime = 10 * time.Second

// pause holds all messages from and to a controller until resume delivers them. To all others the
// process looks suspended.
func (c *cluster) pause(i int) { c.eachLink(i, func(a, b string) { c.net.Partition(a, b, true) }) }

// resume ends the pause of a controller.
func (c *cluster) resume(i int) { c.eachLink(i, c.net.Heal) }

// eachLink calls do for each link between a controller and the services, the other controllers and
// the machines.
func (c *cluster) eachLink(i int, do func(a, b string)) {
	for _, service := range []string{"state", "cloud", "users"} {
		do(c.controllerName(i), service)
	}
	for k := range c.controllers {
		if k != i {
			do(c.controllerName(i), c.controllerName(k))
		}
	}
	for _, agent := range c.cloud.Agents() {
		do(c.controllerName(i), agent.Name())
	}
}

// pauseLeaderAt returns an injector that pauses the leader when its first message that contains text
// arrives, and injects the given fault into that message. paused is set then.
func (c *cluster) pauseLeaderAt(text string, fault fake.InjectedFault) (injector *fake.FaultInjector, paused *atomic.Bool) {
	paused = &atomic.Bool{}
	inject := fake.FaultInjector(func(from string, r *http.Request) fake.InjectedFault {
		leader := c.leader()
		if leader < 0 || from != c.controllerName(leader) {
			return fake.InjectedFault{}
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !bytes.Contains(body, []byte(text)) || paused.Swap(true) {
			return fake.InjectedFault{}
		}
		c.pause(leader)
		return fault
	})
	return &inject, paused
}

// TestLeaderPausedMidDecision: the leader is suspended at each step of a decision, another controller
// takes over, and then the former leader resumes and continues with that step.
func TestLeaderPausedMidDecision(t *testing.T) {
	late := fake.InjectedFault{Kind: fake.Delayed, Delay: pauseTime + time.Second}
	steps := []struct {
		name, text string
		fault      fake.InjectedFault
		faultsOf   func(c *cluster) *atomic.Pointer[fake.FaultInjector]
	}{
		{"before a write", `"host/`, late, (*cluster).writeFaultsOf},
		{"between a write and its command", `"host/`, fake.InjectedFault{}, (*cluster).writeFaultsOf},
		{"between a command and its response", `"` + wire.VerbStart + `"`, fake.InjectedFault{}, (*cluster).commandFaultsOf},
		{"before a command", `"` + wire.VerbStart + `"`, late, (*cluster).commandFaultsOf},
		{"before a cancellation is written", `"` + wire.JobCancelled + `"`, late, (*cluster).writeFaultsOf},
		{"between a cancellation's write and its response", `"` + wire.JobCancelled + `"`, fake.InjectedFault{}, (*cluster).writeFaultsOf},
		{"before a scale-out", ``, late, (*cluster).scaleOutFaultsOf},
		{"between a scale-out and its response", ``, fake.InjectedFault{}, (*cluster).scaleOutFaultsOf},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: longRunning(40 * time.Second)}, func(c *cluster) {
				c.commandsDelayed = true // commands and responses of the paused leader arrive late
				leader := c.leader()
				injector, paused := c.pauseLeaderAt(step.text, step.fault)
				if step.faultsOf(c) == &c.scaleOutFaults { // the first scale-out triggers the pause
					c.scaleOutFaults.Store(injector)
					c.submitJobs(0, 4, 300*time.Millisecond, nil)
				} else {
					jobs := c.submitJobs(0, 4, 300*time.Millisecond, nil)
					c.awaitRunning(6)
					leader = c.leader()
					step.faultsOf(c).Store(injector)
					c.users.Cancel(jobs[0])
					c.submitJobs(20, 12, 200*time.Millisecond, nil)
				}
				c.await("the pause", 20*time.Second, paused.Load)
				step.faultsOf(c).Store(nil)
				c.await("another leader", 10*time.Second, func() bool { return c.leader() >= 0 && c.leader() != leader })
				time.Sleep(pauseTime)
				c.resume(leader)
				c.submitJobs(40, 2, 300*time.Millisecond, nil)
			})
		})
	}
}

func (c *cluster) writeFaultsOf() *atomic.Pointer[fake.FaultInjector]    { return &c.writeFaults }
func (c *cluster) commandFaultsOf() *atomic.Pointer[fake.FaultInjector]  { return &c.commandFaults }
func (c *cluster) scaleOutFaultsOf() *atomic.Pointer[fake.FaultInjector] { return &c.scaleOutFaults }

// TestSuccessorFailsWithinASecond: the leader fails, and its successors do so within a second of
// having been elected.
func TestSuccessorFailsWithinASecond(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: longRunning(40 * time.Second)}, func(c *cluster, r *rand.Rand) {
		jobs := c.submitJobs(0, 10, 200*time.Millisecond, nil)
		c.awaitRunning(10)
		for range 2 {
			previous := c.leader()
			c.kill(previous)
			c.users.Cancel(jobs[r.IntN(len(jobs))])
			c.awaitLeader(previous)
			time.Sleep(randomDuration(r, time.Millisecond, time.Second))
		}
		c.kill(c.leader())
		time.Sleep(randomDuration(r, time.Second, 5*time.Second))
		c.startAll()
	})
}

// awaitLeader waits until a controller other than previous leads. It polls every millisecond, so that
// callers can act right after the election.
func (c *cluster) awaitLeader(previous int) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if leader := c.leader(); leader >= 0 && leader != previous {
			return
		}
	}
	c.t.Error("no other controller has become the leader within 20 s")
}

// TestRequestsAtTermEnd: jobs are accepted, cancelled and completed within the last milliseconds of a
// term, most of whose last writes are applied but never answered.
func TestRequestsAtTermEnd(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: longRunning(30 * time.Second)}, func(c *cluster, r *rand.Rand) {
		jobs := c.submitJobs(0, 8, 300*time.Millisecond, nil)
		c.awaitRunning(10)
		for k := range 3 {
			for c.leader() < 0 {
				time.Sleep(100 * time.Millisecond)
			}
			previous := c.leader()
			c.writeFaults.Store(c.randomFaults(0.7, fake.ResponseLost, 0, 0))
			c.users.Cancel(jobs[2*k])
			c.users.Submit(fake.NewJob(fmt.Sprintf("job-%06d", 50+k), 2, nil))
			time.Sleep(randomDuration(r, time.Millisecond, 30*time.Millisecond))
			c.kill(previous)
			c.writeFaults.Store(nil)
			c.awaitLeader(previous)
			time.Sleep(randomDuration(r, 2*time.Second, 8*time.Second))
			c.startAll()
		}
	})
}

// TestStandbyWithoutStore: the leader fails while one standby is partitioned from the key-value store,
// so the other standby must take over. After the partition that one fails too, and the standby that
// was cut off is the only one left.
func TestStandbyWithoutStore(t *testing.T) {
	for _, hold := range []bool{false, true} {
		t.Run(fmt.Sprint(hold), func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: longRunning(30 * time.Second)}, func(c *cluster) {
				c.submitJobs(0, 6, 300*time.Millisecond, nil)
				first := c.leader()
				cutOff := c.follower()
				c.net.Partition(c.controllerName(cutOff), "state", hold)
				jobs := c.submitJobs(10, 4, time.Second, nil)
				c.kill(first)
				c.awaitLeader(first)
				second := c.leader()
				if second == cutOff {
					c.t.Error("the standby without the key-value store is the leader, want the other one")
				}
				c.users.Cancel(jobs[0])
				time.Sleep(8 * time.Second)
				c.net.Heal(c.controllerName(cutOff), "state")
				c.kill(second)
				c.awaitLeader(second)
				time.Sleep(5 * time.Second)
				c.startAll()
			})
		})
	}
}

// TestMaximumClockDrift: the key-value store's clock runs fast and the agents' clocks run slow by the
// largest drift allowed, while leaders fail or pause and half of the machines can't be reached for
// about their lease or longer.
func TestMaximumClockDrift(t *testing.T) {
	runWithSeeds(t, clusterConfig{runTime: longRunning(60 * time.Second), clockDrift: settings.MaxClockDrift}, func(c *cluster, r *rand.Rand) {
		c.commandsDelayed = true
		jobs := c.submitJobs(0, 10, 300*time.Millisecond, nil)
		c.awaitRunning(10)
		for k := range 3 {
			agents := everyOther(c.cloud.Agents())
			for _, agent := range agents {
				agent.SetInboundCut(true)
			}
			leader := c.leader()
			if leader < 0 {
				continue
			}
			if k%2 == 0 {
				c.kill(leader)
			} else {
				c.pause(leader)
			}
			c.users.Cancel(jobs[k])
			time.Sleep(randomDuration(r, agentLease-time.Second, agentLease+4*time.Second))
			c.resume(leader)
			c.startAll()
			for _, agent := range agents {
				agent.SetInboundCut(false)
			}
			time.Sleep(5 * time.Second)
		}
	})
}

// TestFailoversWithDelegatedJobs: the leaders of two cells with standbys fail one after the other,
// while jobs of one cell run in the other.
func TestFailoversWithDelegatedJobs(t *testing.T) {
	config := twoCellConfig()
	config.standby = true
	runFederationScenario(t, config, func(f *federatedCells) {
		jobs := f.overload("a", 12, func(_ int, j *wire.Job) { j.Tasks = 3 })
		f.expectDelegation("a")
		f.awaitPrecisely("a delegated job", func() bool { return len(f.delegatedJobIDs("a")) > 0 })
		for _, cell := range []string{"a", "b", "a"} {
			c := f.cells[cell]
			previous := c.leader()
			c.kill(previous)
			f.cells["a"].users.Cancel(jobs[len(f.delegatedJobIDs("a"))%len(jobs)])
			c.awaitLeader(previous)
			time.Sleep(2 * time.Second)
			c.startAll()
		}
	})
}
