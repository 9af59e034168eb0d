package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// Tasks of cancelled jobs on machines that the stop did not reach. Whoever answers such a
// machine renews its lease, and must have it stop them with that same answer.

// endless has all jobs but pipelines run until they are cancelled.
func endless(task string) time.Duration {
	if strings.HasPrefix(task, "job-0") {
		return time.Hour
	}
	return 8 * time.Second
}

// TestCancelledOnMachineBeingReturned: users were told that their jobs are cancelled, and
// tasks of them were still running a minute later, until their machines were deleted.
//
// Order of events: machines hung, for less than their lease; their jobs were cancelled and
// the stops did not arrive; after four rounds without an echo the leader asked the cloud to
// delete the machines, and the cloud was out of order; the machines went on and reported.
//
// Cause: a machine whose deletion is asked for did not count as one that may be told
// anything, so its reports were answered with 200 and no orders. Each renewed its lease.
//
// Evidence: 7 of 8 simulated days with eight hung machines and the cloud out of order broke
// the rule, and none of 8 without the hang or without the cloud's trouble. A leader's log of
// such a day has nothing about the task from its cancellation until the cloud answers again
// two minutes later and its machine is deleted.
func TestCancelledOnMachineBeingReturned(t *testing.T) {
	for _, q := range []struct {
		pace pace
		hang time.Duration
	}{{usualPace, 15 * time.Second}, {seldomReports, 33 * time.Second}} {
		t.Run(fmt.Sprint(q.pace.report), func(t *testing.T) {
			inCluster(t, plan{run: endless, pace: q.pace}, func(c *cluster) {
				jobs := c.stream(0, 8, 300*time.Millisecond, func(_ int, j *wire.Job) { j.CPUs = 4 })
				c.running(20)
				// Not most machines and no whole zone: that would be taken for a cut, and
				// nothing would be returned.
				hung := map[string]*fake.Worker{}
				for i, w := range c.cloud.Workers() {
					if i%3 == 0 {
						w.Hang(true)
						hung[w.Addr()] = w
					}
				}
				c.held = true // what a machine was fetching for when it hung begins when it goes on
				lost := fake.Troubles(func(_ string, r *http.Request) fake.Trouble {
					if hung[r.Host] != nil {
						return fake.Trouble{Fault: fake.RequestLost}
					}
					return fake.Trouble{}
				})
				c.orders.Store(&lost)
				c.deletes.Store(c.share(1, fake.Refused, 0, 0))
				for _, j := range jobs {
					c.users.Cancel(j)
				}
				time.Sleep(q.hang)
				c.orders.Store(nil)
				for _, w := range hung {
					w.Hang(false)
				}
				time.Sleep(q.pace.cancel + 10*time.Second)
				c.deletes.Store(nil)
			})
		})
	}
}

// TestCancelledDuringSeriesOfLeaders: users were told that their jobs are cancelled, and a
// minute later tasks of them were still running, with leaders ending one after the other and
// direct commands lost throughout.
//
// Cause: a new leader's first answer to a worker had no orders, since what a machine lists
// before it echoes the term's token may be an old copy. It renewed the lease all the same.
// Where reports are seldom, and a higher token is no reason for another report so soon, that
// was the only answer that a worker got from each of several leaders.
//
// Evidence: 2 of 120 plays broke the rule; in others tasks outlived four leaders.
func TestCancelledDuringSeriesOfLeaders(t *testing.T) {
	for _, lasts := range []time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprint(lasts), func(t *testing.T) {
			inCluster(t, plan{run: endless, pace: seldomReports}, func(c *cluster) {
				jobs := c.stream(0, 8, 300*time.Millisecond, func(_ int, j *wire.Job) { j.CPUs = 4 })
				c.running(20)
				c.orders.Store(c.share(1, fake.RequestLost, 0, 0))
				for _, j := range jobs {
					c.users.Cancel(j)
				}
				for range 12 {
					c.restart(c.leader(), 200*time.Millisecond)
					time.Sleep(lasts)
					c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
				}
				c.orders.Store(nil)
			})
		})
	}
}

// TestCancelledJobWhoseRecordIsDamaged: a job is cancelled and told so, the stops are lost, and
// the leader ends; the next one can't read the job's record. It knew nothing of the job, passed
// over its tasks in reports, and answered them with 200: they would have run for ever.
//
// Evidence: in 6 of 6 plays all tasks were there when the test ended, each answer having
// renewed the lease without a stop.
func TestCancelledJobWhoseRecordIsDamaged(t *testing.T) {
	inCluster(t, plan{run: endless}, func(c *cluster) {
		job := c.stream(0, 1, time.Second, nil)[0]
		c.running(1)
		c.orders.Store(c.share(1, fake.RequestLost, 0, 0))
		c.users.Cancel(job)
		key := ledger.JobKey(job.ID)
		c.await("the cancellation recorded", 10*time.Second, func() bool { return strings.Contains(string(c.state.Value(key)), wire.JobCancelled) })
		whole := string(c.state.Value(key))
		c.kill(c.leader())
		c.state.Put(key, "[]")
		time.Sleep(cancelLimit + 10*time.Second)
		if on, _ := c.check.On(job.ID); on > 0 {
			t.Errorf("%d of its tasks run on", on)
		}
		c.orders.Store(nil)
		c.state.Put(key, whole) // an operator mends it, and the next leader tidies up
		c.revive()
		c.restart(c.leader(), time.Second)
	})
}
