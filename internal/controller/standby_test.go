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

// The hard cases of failovers that other scenarios bring about by chance at most. All are
// played with and without standbys; what must hold is the checker's.

// pauseTime is longer than a leader's lease: another one leads when the first resumes.
const pauseTime = 10 * time.Second

// pause holds up all that a controller sends and is sent, until resume: to all others it is suspended, and what was in flight arrives when it resumes.
func (c *cluster) pause(i int)  { c.eachLink(i, func(a, b string) { c.net.Partition(a, b, true) }) }
func (c *cluster) resume(i int) { c.eachLink(i, c.net.Heal) }

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

// pauseLeaderAt has the leader paused as soon as a message of it with some text arrives, which
// then gets that fault. paused reports that it has happened.
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

// TestLeaderPausedMidDecision: the leader is suspended in the middle of a decision, at each of
// its steps, while another one takes over, and then continues with what it was about to do.
func TestLeaderPausedMidDecision(t *testing.T) {
	late := fake.InjectedFault{Kind: fake.Delayed, Delay: pauseTime + time.Second}
	steps := []struct {
		name, text string
		fate       fake.InjectedFault
		messages   func(c *cluster) *atomic.Pointer[fake.FaultInjector]
	}{
		{"before a write", `"host/`, late, (*cluster).writeFaultsOf},
		{"between a write and its command", `"host/`, fake.InjectedFault{}, (*cluster).writeFaultsOf},
		{"between a command and its outcome", `"` + wire.VerbStart + `"`, fake.InjectedFault{}, (*cluster).commandFaultsOf},
		{"in a command", `"` + wire.VerbStart + `"`, late, (*cluster).commandFaultsOf},
		{"before a cancellation is written", `"` + wire.JobCancelled + `"`, late, (*cluster).writeFaultsOf},
		{"in the answer to a cancellation", `"` + wire.JobCancelled + `"`, fake.InjectedFault{}, (*cluster).writeFaultsOf},
		{"before a hire", ``, late, (*cluster).scaleOutFaultsOf},
		{"in a hire's answer", ``, fake.InjectedFault{}, (*cluster).scaleOutFaultsOf},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			runScenario(t, clusterConfig{runTime: longRunning(40 * time.Second)}, func(c *cluster) {
				c.commandsDelayed = true // its commands and answers arrive late
				leader := c.leader()
				injector, paused := c.pauseLeaderAt(step.text, step.fate)
				if step.messages(c) == &c.scaleOutFaults { // what is rented first is enough
					c.scaleOutFaults.Store(injector)
					c.submitJobs(0, 4, 300*time.Millisecond, nil)
				} else {
					jobs := c.submitJobs(0, 4, 300*time.Millisecond, nil)
					c.awaitRunning(6)
					leader = c.leader()
					step.messages(c).Store(injector)
					c.users.Cancel(jobs[0])
					c.submitJobs(20, 12, 200*time.Millisecond, nil)
				}
				c.await("the pause", 20*time.Second, paused.Load)
				step.messages(c).Store(nil)
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

// TestSuccessorFailsWithinASecond: the leader ends, and its successor within a second of having won.
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

// awaitLeader waits, with a fine grain, until another controller leads.
func (c *cluster) awaitLeader(previous int) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if leader := c.leader(); leader >= 0 && leader != previous {
			return
		}
	}
	c.t.Error("no other leader")
}

// TestRequestsAtTermEnd: jobs are accepted, cancelled and finished within the last
// milliseconds of a term, whose last writes are carried out and never answered.
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

// TestStandbyWithoutStore: a standby reaches nothing of the key-value store for a while,
// in which the leader ends; the other one takes over. Then the one that was cut off is the
// only one left.
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
					c.t.Error("the one that is cut off leads")
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

// TestMaximumClockDrift: the key-value store's clock runs fast and the workers' slow by as much
// as clocks may, while leaders end and pause and half of the machines can't be reached for
// longer than their lease.
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

// TestFailoversWithDelegatedJobs: the leaders of both cells end, one after the other, while jobs
// of one run in the other, with standbys in both.
func TestFailoversWithDelegatedJobs(t *testing.T) {
	config := twoCellConfig()
	config.standby = true
	runFederationScenario(t, config, func(f *federatedCells) {
		jobs := f.overload("a", 12, func(_ int, j *wire.Job) { j.Tasks = 3 })
		f.expectDelegation("a")
		f.awaitPrecisely("an accept", func() bool { return len(f.delegatedJobIDs("a")) > 0 })
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
