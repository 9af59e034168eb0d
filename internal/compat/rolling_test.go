//go:build upgrade

package compat

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/capability"
	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// TestRollingUpgrade replaces production by this version, one controller after the other, while
// users submit, query and cancel jobs. A controller that is still to be upgraded is killed and
// restarted with the old version in between. Every accepted job ends once, and pipelines are
// accepted when all controllers are known to be upgraded.
func TestRollingUpgrade(t *testing.T) {
	for _, order := range []struct {
		name        string
		leaderFirst bool
	}{{"the leader first", true}, {"the leader last", false}} {
		t.Run(order.name, func(t *testing.T) {
			old, current := buildProgram(t, productionCommit(t)), buildProgram(t, "")
			d := newDeployment(t)
			d.startAll(old)
			stop := d.submitJobs()
			time.Sleep(5 * time.Second)
			d.upgradeOneByOne(d.upgradeOrder(order.leaderFirst), old, current)
			d.await("all announced", 20*time.Second, func() bool { return d.store.Count(capability.KeyPrefix) == controllerCount })
			time.Sleep(3 * time.Second)
			stopPipelines := d.users.Pipelines()
			time.Sleep(10 * time.Second)
			d.replace(d.leaderIndex(), current, time.Second)
			time.Sleep(5 * time.Second)
			stopPipelines()
			stop()
			d.awaitJobsAndCheck()
		})
	}
}

// TestUpgradeAllControllersAtOnce kills all controllers of production while jobs run and starts this version in
// their place.
func TestUpgradeAllControllersAtOnce(t *testing.T) {
	old, current := buildProgram(t, productionCommit(t)), buildProgram(t, "")
	d := newDeployment(t)
	d.startAll(old)
	stop := d.submitJobs()
	time.Sleep(8 * time.Second)
	for i := range d.controllers {
		d.kill(i)
	}
	time.Sleep(time.Second)
	for i := range d.controllers {
		d.start(i, current)
	}
	time.Sleep(10 * time.Second)
	stop()
	d.awaitJobsAndCheck()
}

// TestRollback replaces this version by production again (rollback) before any of its new features
// was used, as docs/operations.md describes it.
func TestRollback(t *testing.T) {
	old, current := buildProgram(t, productionCommit(t)), buildProgram(t, "")
	d := newDeployment(t)
	d.startAll(current)
	d.await("all announced", 20*time.Second, func() bool { return d.store.Count(capability.KeyPrefix) == controllerCount })
	stop := d.submitJobs()
	time.Sleep(5 * time.Second)
	for i := range d.controllers {
		d.store.Remove(capability.KeyPrefix + controllerName(i))
	}
	for i := range d.controllers {
		d.replace(i, old, time.Second)
		time.Sleep(4 * time.Second)
	}
	time.Sleep(5 * time.Second)
	stop()
	d.awaitJobsAndCheck()
}

// upgradeOneByOne upgrades the controllers in an order. Before each but the last is upgraded, the
// last one of the order is restarted with the old version.
func (d *deployment) upgradeOneByOne(order []int, old, current string) {
	d.t.Helper()
	last := len(order) - 1
	for n, i := range order {
		if n < last {
			d.replace(order[last], old, 500*time.Millisecond)
		}
		d.replace(i, current, time.Second)
		if n < last {
			d.expectPipelinesRefused(i)
		}
		time.Sleep(5 * time.Second)
	}
}

// upgradeOrder is the order in which the controllers are upgraded.
func (d *deployment) upgradeOrder(leaderFirst bool) (order []int) {
	leader := d.leaderIndex()
	for i := range d.controllers {
		if i != leader {
			order = append(order, i)
		}
	}
	if leaderFirst {
		return append([]int{leader}, order...)
	}
	return append(order, leader)
}

// expectPipelinesRefused expects an upgraded controller to refuse a job with a dependency while another
// controller may still run the old version.
func (d *deployment) expectPipelinesRefused(i int) {
	d.t.Helper()
	first := fake.NewJob(fmt.Sprintf("job-60000%d", i), 1, nil)
	if !d.users.SubmitAndAwait(first) {
		d.t.Errorf("%s was not accepted", first.ID)
	}
	d.users.Poll(first)
	second := fake.NewJob(fmt.Sprintf("job-61000%d", i), 1, func(j *wire.Job) { j.DependsOn = []string{first.ID} })
	d.checker.RecordSubmission(second, true)
	if code, _ := d.users.Call(i, fake.RequestSubmit, second.ID, second); code != 503 {
		d.t.Errorf("a job that waits for another one, during the upgrade: %d, want 503", code)
	}
}
