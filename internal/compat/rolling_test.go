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

// TestRollingUpgrade guards against jobs that are lost or run twice, and invariants that are violated,
// while controllers of both versions run. It upgrades the production version to this version, one
// controller at a time, while users submit, query and cancel jobs. Between the upgrades a controller
// that is not upgraded yet is killed and restarted with the old version. Every accepted job must end
// once. Pipelines must be refused while a controller may still run the old version, and accepted
// when all controllers are known to be upgraded.
func TestRollingUpgrade(t *testing.T) {
	for _, testCase := range []struct {
		name        string
		leaderFirst bool
	}{{"the leader first", true}, {"the leader last", false}} {
		t.Run(testCase.name, func(t *testing.T) {
			old, current := buildProgram(t, productionCommit(t)), buildProgram(t, "")
			d := newDeployment(t)
			d.startAll(old)
			stop := d.submitJobs()
			time.Sleep(5 * time.Second)
			d.upgradeOneByOne(d.upgradeOrder(testCase.leaderFirst), old, current)
			d.await("all controllers have announced their capability level", 20*time.Second, func() bool { return d.store.Count(capability.KeyPrefix) == controllerCount })
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

// TestUpgradeAllControllersAtOnce guards against jobs that are lost in an upgrade with downtime: it
// kills all controllers of the production version while jobs run, and then starts this version.
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

// TestRollback guards against data that the production version can't handle: it rolls back from this
// version to the production version, as docs/operations.md describes it, before any new feature was
// used.
func TestRollback(t *testing.T) {
	old, current := buildProgram(t, productionCommit(t)), buildProgram(t, "")
	d := newDeployment(t)
	d.startAll(current)
	d.await("all controllers have announced their capability level", 20*time.Second, func() bool { return d.store.Count(capability.KeyPrefix) == controllerCount })
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

// upgradeOneByOne upgrades the controllers in the given order. Before each upgrade except the last, it
// restarts the last controller of the order with the old version, and after it checks that
// pipelines are refused.
func (d *deployment) upgradeOneByOne(order []int, old, current string) {
	d.t.Helper()
	last := len(order) - 1
	for position, i := range order {
		if position < last {
			d.replace(order[last], old, 500*time.Millisecond)
		}
		d.replace(i, current, time.Second)
		if position < last {
			d.expectPipelinesRefused(i)
		}
		time.Sleep(5 * time.Second)
	}
}

// upgradeOrder returns the indexes of the controllers in the order of their upgrade, with the leader
// first or last.
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

// expectPipelinesRefused checks that upgraded controller i refuses a job with a dependency while another
// controller may still run the old version.
func (d *deployment) expectPipelinesRefused(i int) {
	d.t.Helper()
	first := fake.NewJob(fmt.Sprintf("job-60000%d", i), 1, nil)
	if !d.users.SubmitAndAwait(first) {
		d.t.Errorf("job %s without dependencies was not accepted during the upgrade", first.ID)
	}
	d.users.Poll(first)
	second := fake.NewJob(fmt.Sprintf("job-61000%d", i), 1, func(j *wire.Job) { j.DependsOn = []string{first.ID} })
	d.checker.RecordSubmission(second, true)
	if code, _ := d.users.Call(i, fake.RequestSubmit, second.ID, second); code != 503 {
		d.t.Errorf("submission of a job with a dependency during the upgrade: status %d, want 503", code)
	}
}
