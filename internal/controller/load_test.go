package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// Much work, little room, and requests that can't be taken. docs/failures.md tells which
// code answers each combination. What must hold is the same for all: the checker looks
// at it all the time, and inCluster ends a test only when all that was accepted is
// served.

// TestNoFailures: without troubles all is served, and what can't be is refused.
func TestNoFailures(t *testing.T) {
	inCluster(t, plan{}, func(c *cluster) {
		c.stream(0, 6, time.Second, nil)
		c.users.SendInvalid()
		time.Sleep(30 * time.Second)
		for k := range 6 {
			if _, done := c.check.On(fmt.Sprintf("job-%06d", k)); done != 3 {
				t.Errorf("%d tasks of job %d done", done, k)
			}
		}
	})
}

// TestManySmallJobs: one-task jobs come four a second for minutes, a quarter of
// them cancelled, which wants more writes than a small state service takes.
func TestManySmallJobs(t *testing.T) {
	inCluster(t, plan{writes: 30, run: func(string) time.Duration { return 5 * time.Second }}, func(c *cluster) {
		for k := range 480 {
			j := fake.NewJob(fmt.Sprintf("job-%06d", k), 1, nil)
			c.users.Submit(j)
			if k%4 == 0 {
				c.users.Go(func() {
					time.Sleep(time.Duration(c.users.Random() * float64(6*time.Second)))
					c.users.Cancel(j)
				})
			}
			time.Sleep(250 * time.Millisecond)
			if k == 240 {
				c.kill(c.leader())
			}
		}
		c.revive()
	})
}

// TestOverload: there is more work than room, urgent and not, over slow links.
func TestOverload(t *testing.T) {
	inCluster(t, plan{machines: 4, run: long(25 * time.Second)}, func(c *cluster) {
		c.state.Slow(300 * time.Millisecond)
		c.held = true
		c.orders.Store(c.share(0.2, fake.AnswerLost, 0, 0))
		jobs := c.stream(0, 24, 300*time.Millisecond, func(k int, j *wire.Job) {
			j.Tasks, j.CPUs = 8, 2
			j.Priority = []string{"idle", "standard", "high", "critical"}[k%4]
		})
		c.users.Cancel(jobs[3])
		time.Sleep(30 * time.Second)
		c.kill(c.leader())
		c.state.Slow(0)
		c.orders.Store(nil)
		time.Sleep(time.Minute)
		c.revive()
	})
}

// TestTeamLimitDuringTakeover: teams are at their limit while jobs are cancelled whose
// machines are cut off, hang or can't be asked, and the leader changes: what frees
// room in the limit must surely be gone.
func TestTeamLimitDuringTakeover(t *testing.T) {
	for name, away := range away {
		t.Run(name, func(t *testing.T) {
			inCluster(t, plan{limits: map[string]float64{"tight": 12, "open": 24}, run: long(60 * time.Second)}, func(c *cluster) {
				jobs := c.stream(0, 12, 200*time.Millisecond, func(k int, j *wire.Job) {
					j.Tasks, j.Team = 6, []string{"tight", "open"}[k/2%2]
				})
				c.running(30)
				workers := half(c.cloud.Workers())
				for _, w := range workers {
					away(w, true)
				}
				time.Sleep(time.Second)
				for _, j := range jobs[:4] {
					c.users.Cancel(j)
				}
				time.Sleep(500 * time.Millisecond)
				c.kill(c.leader())
				for _, j := range jobs[4:6] {
					c.users.Cancel(j)
				}
				time.Sleep(12 * time.Second)
				for _, w := range workers {
					away(w, false)
				}
				c.revive()
			})
		})
	}
}

// TestZoneBoundJobs: jobs bound to one zone, arrays that have to stay
// together or be spread too, lose machines.
func TestZoneBoundJobs(t *testing.T) {
	eachSeed(t, plan{run: long(30 * time.Second)}, func(c *cluster, r *rand.Rand) {
		zone := "b"
		c.stream(0, 12, 300*time.Millisecond, func(k int, j *wire.Job) {
			j.Tasks = 5
			switch k % 4 {
			case 0:
				j.Zone = &zone
			case 1:
				j.Gang = true
			case 2:
				j.Spread = true
			}
		})
		c.running(20)
		for range 4 {
			workers := c.cloud.Workers()
			w := workers[r.IntN(len(workers))]
			if r.IntN(2) == 0 {
				c.cloud.Take(w.Name())
			} else {
				w.Hang(true)
				c.users.Go(func() { time.Sleep(25 * time.Second); w.Hang(false) })
			}
			time.Sleep(some(r, time.Second, 8*time.Second))
		}
		c.restart(c.leader(), time.Second)
	})
}
