//go:build upgrade

package compat

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/capability"
	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// TestRollingUpgrade replaces production by this version, one controller after the
// other, while users submit, ask and cancel. A controller whose turn has not come
// dies and comes back old in between. Every accepted job ends once, and pipelines are
// taken when all are known to be upgraded.
func TestRollingUpgrade(t *testing.T) {
	for _, order := range []struct {
		name        string
		leaderFirst bool
	}{{"the leader first", true}, {"the leader last", false}} {
		t.Run(order.name, func(t *testing.T) {
			old, current := build(t, productionCommit(t)), build(t, "")
			d := newDeployment(t)
			d.startAll(old)
			stop := d.load()
			time.Sleep(5 * time.Second)
			turns := d.turns(order.leaderFirst)
			for n, i := range turns {
				if n+1 < len(turns) {
					d.replace(turns[len(turns)-1], old, 500*time.Millisecond)
				}
				d.replace(i, current, time.Second)
				if n+1 < len(turns) {
					d.refusesPipelines(i)
				}
				time.Sleep(5 * time.Second)
			}
			d.await("all announced", 20*time.Second, func() bool { return d.state.Count(capability.Prefix) == nodeCount })
			time.Sleep(3 * time.Second)
			stopPipelines := d.users.Pipelines()
			time.Sleep(10 * time.Second)
			d.replace(d.leader(), current, time.Second)
			time.Sleep(5 * time.Second)
			stopPipelines()
			stop()
			d.finish()
		})
	}
}

// TestUpgradeOfAllAtOnce ends all controllers of production in the middle of work and
// starts this version in their place.
func TestUpgradeOfAllAtOnce(t *testing.T) {
	old, current := build(t, productionCommit(t)), build(t, "")
	d := newDeployment(t)
	d.startAll(old)
	stop := d.load()
	time.Sleep(8 * time.Second)
	for i := range d.nodes {
		d.kill(i)
	}
	time.Sleep(time.Second)
	for i := range d.nodes {
		d.start(i, current)
	}
	time.Sleep(10 * time.Second)
	stop()
	d.finish()
}

// TestGoingBack replaces this version by production again, before anybody has used what
// is new, as docs/operations.md describes it.
func TestGoingBack(t *testing.T) {
	old, current := build(t, productionCommit(t)), build(t, "")
	d := newDeployment(t)
	d.startAll(current)
	d.await("all announced", 20*time.Second, func() bool { return d.state.Count(capability.Prefix) == nodeCount })
	stop := d.load()
	time.Sleep(5 * time.Second)
	for i := range d.nodes {
		d.state.Remove(capability.Prefix + nodeName(i))
	}
	for i := range d.nodes {
		d.replace(i, old, time.Second)
		time.Sleep(4 * time.Second)
	}
	time.Sleep(5 * time.Second)
	stop()
	d.finish()
}

// load has users submit jobs, and cancel some, until the result is called.
func (d *deployment) load() (stop func()) {
	ended := make(chan struct{})
	d.users.Go(func() {
		r := rand.New(rand.NewPCG(2, 2))
		for k := 0; ; k++ {
			j := fake.NewJob(fmt.Sprintf("job-%06d", k), 1+r.IntN(4), func(j *wire.Job) {
				if k%3 == 0 {
					j.Team = "tight"
				}
			})
			d.users.Submit(j)
			if k%4 == 0 {
				after := time.Duration(r.Int64N(int64(4 * time.Second)))
				d.users.Go(func() {
					time.Sleep(after)
					d.users.Cancel(j)
				})
			}
			select {
			case <-ended:
				return
			case <-time.After(400 * time.Millisecond):
			}
		}
	})
	return func() { close(ended) }
}

// turns is the order in which the controllers are replaced.
func (d *deployment) turns(leaderFirst bool) (order []int) {
	leader := d.leader()
	for i := range d.nodes {
		if i != leader {
			order = append(order, i)
		}
	}
	if leaderFirst {
		return append([]int{leader}, order...)
	}
	return append(order, leader)
}

// refusesPipelines sees to it that an upgraded controller takes no job that waits for
// others while another one may be old.
func (d *deployment) refusesPipelines(i int) {
	d.t.Helper()
	first := fake.NewJob(fmt.Sprintf("job-60000%d", i), 1, nil)
	if !d.users.Accept(first) {
		d.t.Errorf("%s was not accepted", first.ID)
	}
	d.users.Poll(first)
	second := fake.NewJob(fmt.Sprintf("job-61000%d", i), 1, func(j *wire.Job) { j.DependsOn = []string{first.ID} })
	d.check.Submits(second, true)
	if code, _ := d.users.Call(i, fake.AskedSubmit, second.ID, second); code != 503 {
		d.t.Errorf("a job that waits for another one, during the upgrade: %d, want 503", code)
	}
}
