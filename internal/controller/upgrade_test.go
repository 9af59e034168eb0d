package controller

import (
	"slices"
	"testing"
	"time"

	"leadproxy/internal/capability"
	"leadproxy/internal/compat"
	"leadproxy/internal/fake"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// During an upgrade, controllers of this version run together with controllers of the previous one,
// which announces no capabilities and uses none that others announce. The tests of this file run this
// version at both capability levels on a fake clock; internal/compat does the same with real processes
// of the production version.

// upgrade kills a controller and starts it with the current version after the given time.
func (c *cluster) upgrade(i int, after time.Duration) {
	c.kill(i)
	time.Sleep(after)
	c.controllers[i].level = capability.CurrentLevel
	c.start(i)
}

// upgradeRemaining checks what was written while old controllers were running, and then upgrades
// these one after the other.
func (c *cluster) upgradeRemaining() {
	c.t.Helper()
	c.checkWritesReadable()
	for i, process := range c.controllers {
		if process.level < capability.CurrentLevel {
			c.upgrade(i, 2*time.Second)
			time.Sleep(3 * time.Second)
		}
	}
}

// upgradedController returns the index of a controller of the current version.
func (c *cluster) upgradedController() int {
	return slices.IndexFunc(c.controllers, func(process *controllerProcess) bool { return process.level == capability.CurrentLevel })
}

// awaitLeaderAtLevel restarts leaders until a controller of the given capability level leads.
func (c *cluster) awaitLeaderAtLevel(level int) {
	c.t.Helper()
	for range 20 {
		if leader := c.leader(); leader >= 0 && c.controllers[leader].level == level {
			return
		} else if leader >= 0 {
			c.restart(leader, 4*time.Second)
		}
		time.Sleep(time.Second)
	}
	c.t.Errorf("no controller of level %d leads", level)
}

// productionRecording is a recording of the values that the production version wrote.
const productionRecording = "../compat/testdata/production/recording.json"

// fieldsUnknownToProduction lists the fields, by family of keys, that only this version writes. The
// production version ignores unknown fields. It drops them when it rewrites a job's record, which it
// does only when the job ends and they are no longer needed.
var fieldsUnknownToProduction = map[string][]string{"job": {".ended_ms:number"}}

// checkWritesReadable checks that all values written so far, while old controllers were running, have
// only fields that the production version writes itself or ignores.
func (c *cluster) checkWritesReadable() {
	c.t.Helper()
	recorded, err := compat.ReadRecording(productionRecording)
	if err != nil {
		c.t.Fatal(err)
	}
	known := map[string][]string{}
	for _, v := range recorded.Values {
		known[compat.KeyFamily(v.Key)] = append(known[compat.KeyFamily(v.Key)], c.fieldPaths(v.Value)...)
	}
	for _, change := range c.store.History() {
		family := compat.KeyFamily(change.Set)
		if change.Set == "" || family == "node" {
			continue
		}
		if known[family] == nil {
			c.t.Errorf("%s: the production version knows no keys of this family", change.Set)
		}
		for _, field := range c.fieldPaths(change.Value) {
			if !slices.Contains(known[family], field) && !slices.Contains(fieldsUnknownToProduction[family], field) {
				c.t.Errorf("%s: the production version knows no field %s: %s", change.Set, field, change.Value)
			}
		}
	}
}

func (c *cluster) fieldPaths(value []byte) []string {
	c.t.Helper()
	fields, err := compat.FieldPaths(value)
	if err != nil {
		c.t.Fatal(err)
	}
	return fields
}

// checkPipelinesAccepted checks that a job that depends on another one is accepted.
func (c *cluster) checkPipelinesAccepted() {
	c.t.Helper()
	c.await("announcements of all controllers", 30*time.Second, func() bool { return c.store.Count(capability.KeyPrefix) == len(c.controllers) })
	first := fake.NewJob("job-700000", 2, nil)
	second := fake.NewJob("job-700001", 1, func(j *wire.Job) { j.DependsOn = []string{first.ID} })
	for _, j := range []*wire.Job{first, second} {
		if !c.users.SubmitAndAwait(j) {
			c.t.Errorf("job %s was not accepted after the upgrade", j.ID)
			return
		}
		c.users.Poll(j)
	}
}

// checkPipelinesRefused checks that an upgraded controller rejects a job that depends on another one
// with 503, so that users retry later.
func (c *cluster) checkPipelinesRefused() {
	c.t.Helper()
	first := fake.NewJob("job-700000", 2, nil)
	if !c.users.SubmitAndAwait(first) {
		c.t.Errorf("job %s without dependencies was not accepted", first.ID)
	}
	c.users.Poll(first)
	second := fake.NewJob("job-700001", 1, func(j *wire.Job) { j.DependsOn = []string{first.ID} })
	c.checker.RecordSubmission(second, true)
	if code, _ := c.users.Call(c.upgradedController(), fake.RequestSubmit, second.ID, second); code != 503 {
		c.t.Errorf("submission of a dependent job while a controller runs the old version: %d, want 503", code)
	}
}

// TestVersionsSideBySide upgrades a cluster of old controllers in several orders, while jobs are
// submitted, cancelled and polled. Until all controllers are upgraded, they must write only what the
// production version can read; afterwards they must accept dependent jobs.
func TestVersionsSideBySide(t *testing.T) {
	lowerLimits := settings.StoreLimits{RPS: 200, WriteRPS: 40, ValueKB: 1, TxnOps: 5}
	scenarios := []struct {
		name string
		run  func(c *cluster)
	}{
		{"one after the other, the leader last", func(c *cluster) {
			for range 2 {
				c.upgrade(c.oldVersionFollower(), 2*time.Second)
				time.Sleep(8 * time.Second)
			}
			c.upgradeRemaining()
		}},
		{"one after the other, the leader first", func(c *cluster) {
			for range 2 {
				if leader := c.leader(); leader >= 0 && c.controllers[leader].level == 0 {
					c.upgrade(leader, 2*time.Second)
				}
				time.Sleep(10 * time.Second)
			}
			c.upgradeRemaining()
		}},
		{"an upgraded leader with old followers", func(c *cluster) {
			c.upgrade(c.oldVersionFollower(), 2*time.Second)
			c.awaitLeaderAtLevel(capability.CurrentLevel)
			time.Sleep(20 * time.Second)
			c.awaitLeaderAtLevel(0)
			time.Sleep(10 * time.Second)
			c.upgradeRemaining()
		}},
		{"old leaders restart with the old version during the upgrade", func(c *cluster) {
			c.upgrade(c.oldVersionFollower(), time.Second)
			for range 3 {
				c.awaitLeaderAtLevel(0)
				c.restart(c.leader(), 500*time.Millisecond)
				time.Sleep(5 * time.Second)
			}
			c.upgradeRemaining()
		}},
		{"all controllers restart together, one with the old version", func(c *cluster) {
			for i := range c.controllers {
				c.kill(i)
			}
			time.Sleep(3 * time.Second)
			for i := range c.controllers {
				if i > 0 {
					c.controllers[i].level = capability.CurrentLevel
				}
				c.start(i)
			}
			time.Sleep(15 * time.Second)
			c.upgradeRemaining()
		}},
		{"the key-value store is down during the upgrade", func(c *cluster) {
			c.upgrade(c.oldVersionFollower(), time.Second)
			c.store.SetOutage(true)
			time.Sleep(5 * time.Second)
			c.upgrade(c.oldVersionFollower(), time.Second)
			time.Sleep(10 * time.Second)
			c.store.SetOutage(false)
			time.Sleep(5 * time.Second)
			c.upgradeRemaining()
		}},
		{"the store lowers its limits during the last controller's upgrade", func(c *cluster) {
			for range 2 {
				c.upgrade(c.oldVersionFollower(), time.Second)
				time.Sleep(3 * time.Second)
			}
			c.checkWritesReadable()
			last := c.oldVersionFollower()
			c.kill(last)
			c.store.SetLimits(lowerLimits)
			c.controllers[last].level = capability.CurrentLevel
			time.Sleep(2 * time.Second)
			c.start(last)
			time.Sleep(10 * time.Second)
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			runScenario(t, clusterConfig{oldVersions: 3, nextLimits: &lowerLimits}, func(c *cluster) {
				stop := c.keepSubmitting()
				time.Sleep(5 * time.Second)
				scenario.run(c)
				stop()
				c.checkPipelinesAccepted()
			})
		})
	}
}

// TestControllerThatIsNeverUpgraded: while one controller stays on the old version, jobs are served as
// before, and dependent jobs are rejected.
func TestControllerThatIsNeverUpgraded(t *testing.T) {
	runScenarioOnce(t, clusterConfig{oldVersions: 1}, false, func(c *cluster) {
		stop := c.keepSubmitting()
		time.Sleep(20 * time.Second)
		c.checkPipelinesRefused()
		c.awaitLeaderAtLevel(0)
		c.checkPipelinesRefused()
		stop()
		c.checkWritesReadable()
	})
}

// oldVersionFollower returns the index of a controller of the old version, if possible of one that is
// not the leader.
func (c *cluster) oldVersionFollower() int {
	leader, found := c.leader(), -1
	for i, process := range c.controllers {
		if process.level < capability.CurrentLevel && (found < 0 || found == leader) {
			found = i
		}
	}
	return found
}

// keepSubmitting has users submit jobs, and cancel a third of them, until stop is called.
func (c *cluster) keepSubmitting() (stop func()) {
	ended := make(chan struct{})
	c.users.Go(func() {
		for k := 0; ; k++ {
			j := c.submitJobs(k, 1, 700*time.Millisecond, func(_ int, j *wire.Job) {
				if k%2 == 0 {
					j.Team = "tight"
				}
			})[0]
			if k%3 == 0 {
				c.users.Cancel(j)
			}
			select {
			case <-ended:
				return
			default:
			}
		}
	})
	return func() { close(ended) }
}
