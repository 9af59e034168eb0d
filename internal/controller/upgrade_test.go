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

// While a deployment is upgraded, controllers of this version work beside controllers of the one
// before, which neither announces itself nor uses what others announce. Here both are
// this version at two levels of capabilities, on the fake clock; internal/compat has
// the same with real processes of production.

// upgrade ends a controller and starts it with the current version.
func (c *cluster) upgrade(i int, after time.Duration) {
	c.kill(i)
	time.Sleep(after)
	c.controllers[i].level = capability.CurrentLevel
	c.start(i)
}

// upgradeRemaining upgrades all controllers that are still old, one after the other, after a look
// at what was written beside them.
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

// upgradedController is a controller of the current version.
func (c *cluster) upgradedController() int {
	return slices.IndexFunc(c.controllers, func(process *controllerProcess) bool { return process.level == capability.CurrentLevel })
}

// awaitLeaderAtLevel ends leaders until one of a level leads.
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

// productionRecording is what production was seen to write.
const productionRecording = "../compat/testdata/production/recording.json"

// fieldsUnknownToProduction are the fields of our values that production passes over: it
// ignores fields that it does not know, and rewrites a job's record only with its end,
// when it does not need them.
var fieldsUnknownToProduction = map[string][]string{"job": {".ended_ms:number"}}

// checkWritesReadable checks that all that was written so far, with old controllers up, has
// the shape of what production writes itself.
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
			c.t.Errorf("%s: production knows no such key", change.Set)
		}
		for _, field := range c.fieldPaths(change.Value) {
			if !slices.Contains(known[family], field) && !slices.Contains(fieldsUnknownToProduction[family], field) {
				c.t.Errorf("%s: production writes no field %s: %s", change.Set, field, change.Value)
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

// checkPipelinesAccepted checks that a job that waits for another one is taken.
func (c *cluster) checkPipelinesAccepted() {
	c.t.Helper()
	c.await("all announced", 30*time.Second, func() bool { return c.store.Count(capability.KeyPrefix) == len(c.controllers) })
	first := fake.NewJob("job-700000", 2, nil)
	second := fake.NewJob("job-700001", 1, func(j *wire.Job) { j.DependsOn = []string{first.ID} })
	for _, j := range []*wire.Job{first, second} {
		if !c.users.SubmitAndAwait(j) {
			c.t.Errorf("%s is not accepted after the upgrade", j.ID)
			return
		}
		c.users.Poll(j)
	}
}

// checkPipelinesRefused checks that an upgraded controller takes no job that waits for
// others, and asks users to retry later.
func (c *cluster) checkPipelinesRefused() {
	c.t.Helper()
	first := fake.NewJob("job-700000", 2, nil)
	if !c.users.SubmitAndAwait(first) {
		c.t.Errorf("%s is not accepted", first.ID)
	}
	c.users.Poll(first)
	second := fake.NewJob("job-700001", 1, func(j *wire.Job) { j.DependsOn = []string{first.ID} })
	c.checker.RecordSubmission(second, true)
	if code, _ := c.users.Call(c.upgradedController(), fake.RequestSubmit, second.ID, second); code != 503 {
		c.t.Errorf("a job that waits for another one, with a controller of the old version up: %d, want 503", code)
	}
}

// TestVersionsSideBySide upgrades a cluster of old controllers in several ways, with jobs
// that are submitted, cancelled and polled throughout. What the upgraded controllers write
// before all are upgraded is what production writes; pipelines are taken afterwards.
func TestVersionsSideBySide(t *testing.T) {
	lowerLimits := settings.StoreLimits{RPS: 200, WriteRPS: 40, ValueKB: 1, TxnOps: 5}
	scenarios := []struct {
		name string
		play func(c *cluster)
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
		{"the leader ends in the middle and is back old", func(c *cluster) {
			c.upgrade(c.oldVersionFollower(), time.Second)
			for range 3 {
				c.awaitLeaderAtLevel(0)
				c.restart(c.leader(), 500*time.Millisecond)
				time.Sleep(5 * time.Second)
			}
			c.upgradeRemaining()
		}},
		{"all end at once, one is back old", func(c *cluster) {
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
		{"an outage in the middle", func(c *cluster) {
			c.upgrade(c.oldVersionFollower(), time.Second)
			c.store.SetOutage(true)
			time.Sleep(5 * time.Second)
			c.upgrade(c.oldVersionFollower(), time.Second)
			time.Sleep(10 * time.Second)
			c.store.SetOutage(false)
			time.Sleep(5 * time.Second)
			c.upgradeRemaining()
		}},
		{"the limits fall as the last controller is upgraded", func(c *cluster) {
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
				scenario.play(c)
				stop()
				c.checkPipelinesAccepted()
			})
		})
	}
}

// TestControllerThatIsNeverUpgraded: jobs are served as before, and none is taken that waits
// for others.
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

// oldVersionFollower is a controller of the old version, one that does not lead if there is one.
func (c *cluster) oldVersionFollower() int {
	leader, found := c.leader(), -1
	for i, process := range c.controllers {
		if process.level < capability.CurrentLevel && (found < 0 || found == leader) {
			found = i
		}
	}
	return found
}

// keepSubmitting has users submit jobs, and cancel a third of them, until the result
// is called.
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
