package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/fake"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// The meetings of troubles, each brought about with whole nodes. docs/meetings.md
// tells which code answers each. What must hold is the same for all: the checker
// looks at it all the time, and inCluster ends a test only when all that was
// accepted is served.

// stream submits n jobs, one each interval, and returns them.
func (c *cluster) stream(first, n int, every time.Duration, change func(k int, j *wire.Job)) (jobs []*wire.Job) {
	for k := range n {
		j := fake.NewJob(fmt.Sprintf("job-%06d", first+k), 3, nil)
		if change != nil {
			change(k, j)
		}
		jobs = append(jobs, j)
		c.users.Submit(j)
		time.Sleep(every)
	}
	return jobs
}

// long has all jobs whose number is even run for long, as their tasks would still
// go on when all troubles are over. Pipelines are short.
func long(d time.Duration) func(task string) time.Duration {
	return func(task string) time.Duration {
		ref, _, _ := wire.SplitTask(task)
		if strings.HasPrefix(ref, "job-0") && strings.Contains("02468", ref[len(ref)-1:]) {
			return d
		}
		return 8 * time.Second
	}
}

// running waits until so many tasks are on machines.
func (c *cluster) running(n int) {
	c.await(fmt.Sprintf("%d tasks on machines", n), time.Minute, func() bool { on, _ := c.check.On(""); return on >= n })
}

// changed waits until another node leads than did, or the same in a new term.
func (c *cluster) changed() {
	was := c.state.Version(election.Key)
	c.await("another leader", 30*time.Second, func() bool { return c.leader() >= 0 && c.state.Version(election.Key) != was })
}

// away are the ways in which a machine can't be reached.
var away = map[string]func(w *fake.Worker, on bool){
	"hang": (*fake.Worker).Hang, "deaf": (*fake.Worker).CutInbound, "mute": (*fake.Worker).CutOutbound,
}

// half is every other one.
func half[T any](all []T) (out []T) {
	for i := 0; i < len(all); i += 2 {
		out = append(out, all[i])
	}
	return out
}

// eachSeed runs a scenario with several seeds, since where the troubles fall is
// left to chance in some.
func eachSeed(t *testing.T, p plan, scenario func(c *cluster, r *rand.Rand)) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := p
			p.seed = seed
			inCluster(t, p, func(c *cluster) { scenario(c, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

// some picks a time between two.
func some(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

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

// TestCancelThenOutage: the state service refuses the leader alone, cancellations are
// confirmed through another node, and then the service is out for all for longer
// than cancel_s, while workers keep reporting. Whoever goes on renewing leases
// must know of the confirmations.
func TestCancelThenOutage(t *testing.T) {
	for _, gap := range []time.Duration{0, 200 * time.Millisecond, time.Second, 2 * time.Second, 2500 * time.Millisecond, 2800 * time.Millisecond,
		2900 * time.Millisecond, 3 * time.Second, 3100 * time.Millisecond, 3300 * time.Millisecond, 3600 * time.Millisecond, 4 * time.Second, 5 * time.Second, 6 * time.Second} {
		for _, then := range []string{"", "kill", "cut", "hang", "lost"} {
			t.Run(fmt.Sprint(gap, then), func(t *testing.T) {
				inCluster(t, plan{run: long(100 * time.Second)}, func(c *cluster) {
					jobs := c.stream(0, 8, 300*time.Millisecond, nil)
					c.running(10)
					lead := c.leader()
					c.state.Refuse(c.name(lead), true)
					if then == "lost" {
						c.writes.Store(c.share(1, fake.AnswerLost, 0, 0))
					}
					// Users call off half the jobs, again and again, while the leader is
					// refused alone.
					for _, j := range half(jobs) {
						c.users.Cancel(j)
					}
					time.Sleep(gap)
					c.state.Outage(true)
					c.writes.Store(nil)
					switch now := c.leader(); then {
					case "kill": // and back at once
						c.restart(lead, 300*time.Millisecond)
					case "cut":
						if now >= 0 {
							c.alone(now, true, true)
						}
					case "hang":
						for _, w := range half(c.cloud.Workers()) {
							w.Hang(true)
						}
					}
					time.Sleep(15 * time.Second)
					for _, w := range c.cloud.Workers() {
						w.Hang(false)
					}
					time.Sleep(cancelLimit)
					c.state.Refuse(c.name(lead), false)
					c.state.Outage(false)
					for i := range c.nodes {
						c.alone(i, false, false)
					}
				})
			})
		}
	}
}

// TestCancelThenOutageWithSlowState: the state service refuses the leader alone and is so slow with
// the others that they promise not to act, since they can't tell that from an
// outage; then one of them wins the election, and users cancel through it, while
// half of the workers reach the former leader only. Either it stops answering them,
// or nobody else confirms. And it must not take long until somebody does.
func TestCancelThenOutageWithSlowState(t *testing.T) {
	for _, slow := range []time.Duration{250 * time.Millisecond, 350 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			inCluster(t, plan{run: long(100 * time.Second)}, func(c *cluster) {
				jobs := c.stream(0, 8, 300*time.Millisecond, nil)
				c.running(20)
				lead := c.leader()
				workers := half(c.cloud.Workers())
				for _, w := range workers {
					for i := range c.nodes {
						if i != lead {
							c.net.Cut(w.Name(), c.name(i), false)
						}
					}
				}
				c.state.Slow(slow)
				c.state.Refuse(c.name(lead), true)
				began := time.Now()
				for _, j := range half(jobs) {
					for c.users.CancelAt((lead+1)%len(c.nodes), j) == false && time.Since(began) < time.Minute {
						time.Sleep(500 * time.Millisecond)
					}
				}
				if took := time.Since(began); took > 40*time.Second {
					t.Errorf("cancellations took %s", took)
				}
				time.Sleep(cancelLimit + 10*time.Second)
				c.state.Slow(0)
				c.state.Refuse(c.name(lead), false)
				for _, w := range workers {
					for i := range c.nodes {
						c.net.Heal(w.Name(), c.name(i))
					}
				}
			})
		})
	}
}

// TestCancelConfirmedByRecord: a cancellation is written by the leader, but only
// that answer is lost; other nodes read it and tell users. Then the service is out
// for all, and the leader goes on with the promises of all, for longer than
// cancel_s, without ever learning that its write was carried out.
func TestCancelConfirmedByRecord(t *testing.T) {
	inCluster(t, plan{run: long(100 * time.Second)}, func(c *cluster) {
		jobs := c.stream(0, 8, 300*time.Millisecond, nil)
		c.running(10)
		for k, j := range half(jobs) {
			before := j.Ref
			for i := range 2 { // one that needs it, and one that needs that
				child := fake.NewJob(fmt.Sprintf("job-%06d", 200+100*i+k), 1, func(j *wire.Job) { j.WaitsOn = []string{before} })
				if c.users.Accept(child) {
					c.users.Poll(child)
				}
				before = child.Ref
			}
		}
		c.writes.Store(c.share(1, fake.AnswerLost, 0, 0))
		for _, j := range half(jobs) {
			c.users.Cancel(j)
		}
		time.Sleep(300 * time.Millisecond)
		for _, j := range half(jobs) {
			c.users.Look(j.Ref, j)
		}
		time.Sleep(200 * time.Millisecond)
		c.state.Outage(true)
		c.writes.Store(nil)
		time.Sleep(cancelLimit + 20*time.Second)
		c.state.Outage(false)
	})
}

// TestLeaderHandover: controllers hand over and back, all end, and one returns,
// also within a second.
func TestLeaderHandover(t *testing.T) {
	eachSeed(t, plan{run: long(40 * time.Second)}, func(c *cluster, r *rand.Rand) {
		c.stream(0, 10, 300*time.Millisecond, nil)
		for range 3 {
			c.restart(c.leader(), some(r, 50*time.Millisecond, time.Second))
			time.Sleep(some(r, 100*time.Millisecond, 6*time.Second))
			c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
		}
		for i := range c.nodes {
			c.kill(i)
		}
		time.Sleep(some(r, 100*time.Millisecond, time.Second))
		c.start(r.IntN(len(c.nodes)))
		time.Sleep(some(r, 4*time.Second, 10*time.Second))
		c.revive()
		c.stream(100, 4, 300*time.Millisecond, nil)
	})
}

// TestDelayedReports: an old report reaches every controller just as a new
// leader begins, or after newer ones, also of an earlier session or attempt, or is
// held back until a new leader has acted.
func TestDelayedReports(t *testing.T) {
	for name, when := range map[string]func(c *cluster, deliver func()){
		"as the leader begins": func(c *cluster, deliver func()) {
			c.kill(c.leader())
			c.changed()
			deliver()
		},
		"after it has acted": func(c *cluster, deliver func()) {
			c.kill(c.leader())
			c.changed()
			time.Sleep(8 * time.Second)
			deliver()
			time.Sleep(30 * time.Second)
			deliver()
		},
		"after newer ones": func(_ *cluster, deliver func()) {
			for range 5 {
				time.Sleep(4 * time.Second)
				deliver()
			}
		},
		"after a session": func(c *cluster, deliver func()) {
			workers := c.cloud.Workers()
			for _, w := range workers {
				w.Hang(true)
			}
			time.Sleep(workerLease + time.Second)
			for _, w := range workers {
				w.Hang(false)
			}
			for range 4 {
				time.Sleep(700 * time.Millisecond)
				deliver()
			}
			c.kill(c.leader())
			c.changed()
			deliver()
		},
		"all the time": func(c *cluster, deliver func()) {
			for _, w := range c.cloud.Workers() {
				w.DuplicateReports(func() time.Duration { return 2*time.Second + time.Duration(c.users.Random()*float64(40*time.Second)) })
			}
			time.Sleep(20 * time.Second)
			c.kill(c.leader())
			time.Sleep(20 * time.Second)
			deliver()
			for _, w := range c.cloud.Workers() {
				w.DuplicateReports(nil)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, plan{run: long(30 * time.Second)}, func(c *cluster) {
				jobs := c.stream(0, 10, 300*time.Millisecond, nil)
				c.running(15)
				workers := c.cloud.Workers()
				for _, w := range workers {
					w.SaveReport()
				}
				time.Sleep(10 * time.Second)
				c.users.Cancel(jobs[0])
				when(c, func() {
					for _, w := range workers {
						w.ReplayReport()
					}
				})
				c.stream(100, 4, 300*time.Millisecond, nil)
				time.Sleep(time.Minute)
				c.revive()
			})
		})
	}
}

// TestReportFromEarlierTerm: a report from before a machine had its tasks reaches
// the new leader again and again, while the machine hangs within its lease. What it
// lacks is not over.
func TestReportFromEarlierTerm(t *testing.T) {
	inCluster(t, plan{run: long(60 * time.Second)}, func(c *cluster) {
		c.stream(0, 1, time.Second, func(_ int, j *wire.Job) { j.Tasks = 20 })
		c.running(20)
		c.await("the first job's end", 2*time.Minute, func() bool { _, done := c.check.On("job-000000"); return done == 20 })
		workers := c.cloud.Workers()
		for _, w := range workers {
			w.SaveReport()
		}
		c.stream(10, 8, 200*time.Millisecond, func(k int, j *wire.Job) { j.Ref = fmt.Sprintf("job-%06d", 10+2*k) })
		c.running(20)
		time.Sleep(4 * time.Second)
		workers = half(workers)
		for _, w := range workers {
			w.Hang(true)
		}
		lead := c.leader()
		c.kill(lead)
		for range 100 {
			for _, w := range workers {
				w.ReplayReport()
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, w := range workers {
			w.Hang(false)
		}
		c.start(lead)
	})
}

// TestLostTransactionAnswers: a transaction is carried out at once and only its answer
// is lost, while other nodes read what it wrote.
func TestLostTransactionAnswers(t *testing.T) {
	eachSeed(t, plan{run: long(20 * time.Second)}, func(c *cluster, _ *rand.Rand) {
		c.writes.Store(c.share(0.3, fake.AnswerLost, 0, 0))
		jobs := c.stream(0, 20, 400*time.Millisecond, nil)
		for _, j := range half(jobs) {
			c.users.Cancel(j)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		c.kill(c.leader())
		time.Sleep(20 * time.Second)
		c.writes.Store(nil)
	})
}

// TestDelayedTransactions: a transaction without an answer is carried out 2 to 12 s
// later, after newer ones of the same controller; a note of silent machines and
// its withdrawal among them.
func TestDelayedTransactions(t *testing.T) {
	eachSeed(t, plan{run: long(20 * time.Second)}, func(c *cluster, _ *rand.Rand) {
		c.writes.Store(c.share(0.25, fake.Delayed, 2*time.Second, 12*time.Second))
		jobs := c.stream(0, 20, 400*time.Millisecond, nil)
		for _, w := range half(c.cloud.Workers()) {
			w.CutOutbound(true)
		}
		for _, j := range half(jobs) {
			c.users.Cancel(j)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(9 * time.Second)
		for _, w := range c.cloud.Workers() {
			w.CutOutbound(false)
		}
		c.restart(c.leader(), 500*time.Millisecond)
		c.stream(100, 10, 400*time.Millisecond, nil)
		time.Sleep(20 * time.Second)
		c.writes.Store(nil)
	})
}

// TestAllControllersDown: all controllers are away for longer than the workers' lease.
func TestAllControllersDown(t *testing.T) {
	for _, away := range []time.Duration{workerLease - time.Second, workerLease + time.Second, 2 * workerLease} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			inCluster(t, plan{run: long(50 * time.Second)}, func(c *cluster) {
				jobs := c.stream(0, 10, 300*time.Millisecond, nil)
				c.running(10)
				c.users.Cancel(jobs[0])
				time.Sleep(100 * time.Millisecond)
				for i := range c.nodes {
					c.kill(i)
				}
				time.Sleep(away)
				for i := range c.nodes {
					c.start(i)
				}
			})
		})
	}
}

// TestFastBootsDuringTakeover: new machines are up within two seconds and get work at
// once, while writes lag, and the leader ends: what is said of the hire and of the
// hosts may have no answer yet.
func TestFastBootsDuringTakeover(t *testing.T) {
	eachSeed(t, plan{boot: time.Second, run: long(30 * time.Second)}, func(c *cluster, r *rand.Rand) {
		c.state.Slow(700 * time.Millisecond)
		c.writes.Store(c.share(0.3, fake.Delayed, 2*time.Second, 8*time.Second))
		c.hires.Store(c.share(0.3, fake.AnswerLost, 0, 0))
		c.stream(0, 8, 200*time.Millisecond, func(_ int, j *wire.Job) { j.Tasks = 6 })
		for range 3 {
			time.Sleep(some(r, time.Second, 6*time.Second))
			if l := c.leader(); l >= 0 {
				c.restart(l, some(r, 100*time.Millisecond, 3*time.Second))
			}
		}
		time.Sleep(10 * time.Second)
		c.state.Slow(0)
		c.writes.Store(nil)
		c.hires.Store(nil)
	})
}

// TestDelayedCommands: a command or its answer is held up for seconds, and the
// machine then goes on; jobs are cancelled and the leader changes meanwhile.
func TestDelayedCommands(t *testing.T) {
	for _, fault := range []fake.Fault{fake.Delayed, fake.AnswerLost, fake.RequestLost, fake.Duplicated} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			inCluster(t, plan{run: long(30 * time.Second)}, func(c *cluster) {
				c.held = true
				c.orders.Store(c.share(0.5, fault, 2*time.Second, 15*time.Second))
				jobs := c.stream(0, 12, 300*time.Millisecond, nil)
				time.Sleep(3 * time.Second)
				for _, w := range half(c.cloud.Workers()) {
					w.Hang(true)
				}
				for _, j := range half(jobs) {
					c.users.Cancel(j)
				}
				time.Sleep(7 * time.Second)
				c.restart(c.leader(), time.Second)
				for _, w := range c.cloud.Workers() {
					w.Hang(false)
				}
				c.stream(100, 6, 300*time.Millisecond, nil)
				time.Sleep(20 * time.Second)
				c.orders.Store(nil)
			})
		})
	}
}

// TestCancelAtLastTask: a cancellation, a question or a repeated submission meets
// the end of a job's last task, with no other trouble.
func TestCancelAtLastTask(t *testing.T) {
	eachSeed(t, plan{run: func(string) time.Duration { return 4 * time.Second }}, func(c *cluster, r *rand.Rand) {
		c.stream(0, 1, 20*time.Second, nil) // machines are up then
		for k := range 30 {
			j := fake.NewJob(fmt.Sprintf("job-%06d", 10+k), 1, nil)
			c.users.Submit(j)
			done := func() bool { _, n := c.check.On(j.Ref); return n == 1 }
			for end := time.Now().Add(30 * time.Second); !done() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(some(r, 0, 15*time.Millisecond))
			c.users.Cancel(j)
			c.users.Look(j.Ref, j)
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

// TestSlowState: the state service answers slowly, or refuses the leader
// alone and then everybody for longer than cancel_s, while users cancel and ask.
func TestSlowState(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1600 * time.Millisecond} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			inCluster(t, plan{run: long(60 * time.Second)}, func(c *cluster) {
				jobs := c.stream(0, 10, 300*time.Millisecond, nil)
				c.running(10)
				c.state.Slow(slow)
				for _, j := range half(jobs) {
					c.users.Cancel(j)
					time.Sleep(time.Second)
				}
				lead := c.leader()
				if lead >= 0 {
					c.state.Refuse(c.name(lead), true)
				}
				for _, j := range jobs[:4] {
					c.users.Look(j.Ref, j)
					time.Sleep(500 * time.Millisecond)
				}
				c.state.Outage(true)
				for range 6 {
					c.users.Look(jobs[0].Ref, jobs[0])
					c.users.Cancel(jobs[1])
					time.Sleep(cancelLimit / 5)
				}
				c.state.Slow(0)
				c.state.Outage(false)
				if lead >= 0 {
					c.state.Refuse(c.name(lead), false)
				}
			})
		})
	}
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

// TestUnreachableMachines: a leader ends while machines with long tasks can't be
// reached, or don't hear the new leader's answer; or workers reach no controller
// while direct commands still reach them.
func TestUnreachableMachines(t *testing.T) {
	for _, lasts := range []time.Duration{6 * time.Second, workerLease - 2*time.Second, workerLease + 5*time.Second} {
		for name, away := range away {
			t.Run(fmt.Sprint(name, lasts), func(t *testing.T) {
				inCluster(t, plan{run: long(60 * time.Second)}, func(c *cluster) {
					c.stream(0, 10, 200*time.Millisecond, nil)
					c.running(20)
					workers := half(c.cloud.Workers())
					for _, w := range workers {
						away(w, true)
					}
					c.kill(c.leader())
					c.changed()
					time.Sleep(lasts)
					for _, w := range workers {
						away(w, false)
					}
					c.revive()
				})
			})
		}
	}
}

// TestOutboundCutMachines: workers can't open connections to any controller, while direct
// commands still reach them, for less and for longer than their lease; jobs are
// cancelled meanwhile.
func TestOutboundCutMachines(t *testing.T) {
	for _, lasts := range []time.Duration{8 * time.Second, workerLease + 4*time.Second, cancelLimit + 10*time.Second} {
		t.Run(fmt.Sprint(lasts), func(t *testing.T) {
			inCluster(t, plan{run: long(60 * time.Second)}, func(c *cluster) {
				jobs := c.stream(0, 10, 200*time.Millisecond, nil)
				c.running(20)
				workers := c.cloud.Workers()
				for _, w := range workers {
					w.CutOutbound(true)
				}
				time.Sleep(2 * time.Second)
				for _, j := range half(jobs) {
					c.users.Cancel(j)
				}
				time.Sleep(lasts)
				for _, w := range workers {
					w.CutOutbound(false)
				}
			})
		})
	}
}

// TestMachineReboots: machines end and are back within a fraction of a second, their
// workers counting from the beginning, while old reports arrive and the leader ends.
// Commands are not held up here: a worker that has forgotten the tokens it saw
// carries out whatever comes, however old, and no controller can help that.
func TestMachineReboots(t *testing.T) {
	eachSeed(t, plan{run: long(30 * time.Second)}, func(c *cluster, r *rand.Rand) {
		jobs := c.stream(0, 12, 300*time.Millisecond, nil)
		c.running(15)
		for _, w := range c.cloud.Workers() {
			w.SaveReport()
		}
		for k := range 6 {
			workers := c.cloud.Workers()
			for _, w := range half(workers) {
				w.Reboot()
			}
			c.users.Cancel(jobs[2*k])
			time.Sleep(some(r, 100*time.Millisecond, 5*time.Second))
			for _, w := range workers {
				w.ReplayReport()
			}
			if k%2 == 0 {
				c.restart(c.leader(), some(r, 100*time.Millisecond, time.Second))
				c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
			}
		}
	})
}

// TestCancelAtOnce: users cancel a job in the moment in which it is accepted,
// through other nodes, and ask and repeat everywhere.
func TestCancelAtOnce(t *testing.T) {
	eachSeed(t, plan{}, func(c *cluster, r *rand.Rand) {
		for k := range 30 {
			j := fake.NewJob(fmt.Sprintf("job-%06d", k), 2, nil)
			c.users.Submit(j)
			time.Sleep(some(r, 0, 12*time.Millisecond))
			for i := range c.nodes {
				c.users.Go(func() { c.users.Call(i, fake.AskedCancel, j.Ref, nil) })
			}
			c.users.Look(j.Ref, j)
			c.users.Cancel(j)
			time.Sleep(some(r, 100*time.Millisecond, 2*time.Second))
			if k == 15 {
				c.kill(c.leader())
			}
		}
		c.revive()
	})
}

// TestCancelDuringHandover: jobs are cancelled in the seconds in which one
// controller's work changes hands.
func TestCancelDuringHandover(t *testing.T) {
	eachSeed(t, plan{run: long(60 * time.Second)}, func(c *cluster, r *rand.Rand) {
		jobs := c.stream(0, 16, 200*time.Millisecond, nil)
		c.running(20)
		c.users.Go(func() {
			for _, j := range half(jobs) {
				c.users.Cancel(j)
				time.Sleep(some(r, 100*time.Millisecond, 900*time.Millisecond))
			}
		})
		time.Sleep(500 * time.Millisecond)
		c.restart(c.leader(), 800*time.Millisecond)
		time.Sleep(4 * time.Second)
		c.state.Refuse(c.name(max(c.leader(), 0)), true)
		time.Sleep(5 * time.Second)
		for i := range c.nodes {
			c.state.Refuse(c.name(i), false)
		}
	})
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
				j.OneZone = true
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

// TestTenLeaders: leaders change ten times in two minutes, also inside an
// outage.
func TestTenLeaders(t *testing.T) {
	eachSeed(t, plan{run: long(50 * time.Second)}, func(c *cluster, r *rand.Rand) {
		jobs := c.stream(0, 10, 200*time.Millisecond, nil)
		for k := range 10 {
			if l := c.leader(); l >= 0 {
				c.restart(l, some(r, 100*time.Millisecond, 4*time.Second))
			}
			if k == 4 {
				c.state.Outage(true)
			}
			if k == 6 {
				c.state.Outage(false)
			}
			if k%3 == 0 {
				c.users.Cancel(jobs[k])
			}
			time.Sleep(some(r, 2*time.Second, 12*time.Second))
		}
		c.state.Outage(false)
	})
}

// TestIsolatedLeader: a leader is cut from the state service and from the other
// controllers while workers and users still reach it, and jobs are cancelled
// through the new one.
func TestIsolatedLeader(t *testing.T) {
	for _, hold := range []bool{false, true} {
		for _, lasts := range []time.Duration{5 * time.Second, workerLease + 3*time.Second, cancelLimit + 15*time.Second} {
			t.Run(fmt.Sprint(hold, lasts), func(t *testing.T) {
				inCluster(t, plan{run: long(80 * time.Second)}, func(c *cluster) {
					jobs := c.stream(0, 10, 200*time.Millisecond, nil)
					c.running(20)
					lead := c.leader()
					c.net.Cut(c.name(lead), "state", hold)
					c.alone(lead, true, hold)
					c.changed()
					for _, j := range half(jobs) {
						c.users.Cancel(j)
					}
					time.Sleep(lasts)
					c.net.Heal(c.name(lead), "state")
					c.alone(lead, false, hold)
				})
			})
		}
	}
}

// TestTasksEndFarApart: the tasks of jobs of two or three end far apart, across a
// change of leader.
func TestTasksEndFarApart(t *testing.T) {
	eachSeed(t, plan{machines: 2, run: long(40 * time.Second)}, func(c *cluster, r *rand.Rand) {
		// Too little room for all of a job at once.
		c.stream(0, 5, 200*time.Millisecond, func(k int, j *wire.Job) { j.Tasks, j.CPUs = 2+k%2, 5 })
		time.Sleep(some(r, 10*time.Second, 50*time.Second))
		c.restart(c.leader(), some(r, 100*time.Millisecond, 6*time.Second))
	})
}

// TestZonePartition: a zone with workers and a controller is cut off for longer
// than the workers' lease; the controller there leads, or does not.
func TestZonePartition(t *testing.T) {
	for _, leads := range []bool{true, false} {
		for _, hold := range []bool{true, false} {
			t.Run(fmt.Sprint(leads, hold), func(t *testing.T) {
				inCluster(t, plan{run: long(50 * time.Second)}, func(c *cluster) {
					jobs := c.stream(0, 10, 200*time.Millisecond, nil)
					c.running(20)
					in := c.leader()
					if !leads {
						in = c.follower()
					}
					zone := c.nodes[in].platform.Zone
					cut := func(do func(a, b string)) {
						do(c.name(in), "state")
						do(c.name(in), "cloud")
						do(c.name(in), "users")
						for i := range c.nodes {
							if i != in {
								do(c.name(in), c.name(i))
							}
						}
						for _, w := range c.cloud.Workers() {
							for i, n := range c.nodes {
								if (n.platform.Zone == zone) != (w.Zone() == zone) {
									do(w.Name(), c.name(i))
								}
							}
						}
					}
					cut(func(a, b string) { c.net.Cut(a, b, hold) })
					time.Sleep(3 * time.Second)
					for _, j := range half(jobs) {
						c.users.Cancel(j)
					}
					time.Sleep(workerLease + 5*time.Second)
					cut(c.net.Heal)
				})
			})
		}
	}
}

// TestStateLimitsFall: the state service takes smaller values, smaller transactions
// and fewer writes from some moment on, without notice: in the middle of work, as a
// leader ends, at the end of an outage, or before all nodes are known to be upgraded.
func TestStateLimitsFall(t *testing.T) {
	low := settings.StateLimits{RPS: 200, WriteRPS: 40, ValueKB: 1, TxnOps: 5}
	for name, when := range map[string]func(c *cluster, fall func()){
		"in the middle": func(_ *cluster, fall func()) { fall() },
		"as the leader ends": func(c *cluster, fall func()) {
			fall()
			c.restart(c.leader(), 2*time.Second)
		},
		"just before it ends": func(c *cluster, fall func()) {
			c.kill(c.leader())
			fall()
		},
		"at the end of an outage": func(c *cluster, fall func()) {
			c.state.Outage(true)
			time.Sleep(15 * time.Second)
			fall()
			c.state.Outage(false)
		},
		"while a node is missing": func(c *cluster, fall func()) {
			c.kill(c.follower())
			fall()
		},
		"before all nodes are known": func(_ *cluster, fall func()) {
			time.Sleep(6 * time.Second)
			fall()
		},
	} {
		t.Run(name, func(t *testing.T) {
			// Every other task ends soon, and of the rest every other one a little later:
			// their ranges are more than a small value holds.
			run := func(task string) time.Duration {
				_, n, _ := wire.SplitTask(task)
				return []time.Duration{3 * time.Second, 25 * time.Second, 3 * time.Second, 63 * time.Second}[n%4]
			}
			absent := 0
			if name == "before all nodes are known" {
				absent = 1
			}
			inCluster(t, plan{next: &low, machines: 40, run: run, absent: absent}, func(c *cluster) {
				jobs := c.stream(0, 3, 500*time.Millisecond, func(_ int, j *wire.Job) { j.Tasks, j.CPUs = 600, 0.25 })
				c.running(300)
				when(c, func() { c.state.Limit(low) })
				time.Sleep(20 * time.Second)
				if large := c.state.Largest("fin/"); large > 1024 && absent == 0 {
					t.Errorf("%d bytes of finished tasks in a value, all nodes being upgraded", large)
				} else if large <= 1024 && absent > 0 {
					t.Error("nothing was written as an older version reads it")
				}
				if c.state.Count("fin/job-000000/0.") == 0 {
					t.Error("no finished tasks are written in parts")
				}
				c.users.Cancel(jobs[2])
				c.stream(100, 6, 500*time.Millisecond, nil)
				time.Sleep(20 * time.Second)
				c.revive()
			})
		})
	}
}

// TestTakeoverFromProduction: the version in production has led until now, and left its
// keys as it writes them. All of it is taken over: an open job goes on where it was,
// on machines that may still run its tasks, what is over stays so, and new jobs wait
// for it.
func TestTakeoverFromProduction(t *testing.T) {
	open := `{"job":{"ref":"job-800001","lane":"c","owner":"open","shape":"batch","urgency":"high","pieces":5,"vcpus":1,"gpus":0,"mem_gb":2,` +
		`"bundle":"i","size_gb":0.5,"flavors":["m8"],"room":"a","together":false,"spread":false,"loaners":true,"guess_s":8,"snapshot_s":0,"flush_s":0,"due_s":90},"accepted_ms":946684790123}`
	aborted := strings.Replace(strings.Replace(open, "job-800001", "job-800002", 1), `"accepted_ms":946684790123}`, `"accepted_ms":946684790123,"fate":"aborted","tasks":5,"done":2}`, 1)
	ledger := map[string]string{
		"job/job-800001": open, "fin/job-800001/0": `[0,1,4,4]`, "host/job-800001/0": `["vm-900001","vm-900002"]`,
		"job/job-800002": aborted, "host/job-800002/0": `["vm-900002"]`,
		"job/job-800003": `{"accepted_ms":946684790123,"fate":"done","tasks":5,"done":5,"class":"c","team":"open","cores":7.5,"run_s":8.25}`,
		"gone/vm-900002": `true`, "silent/7-1": `{"over_ms":946684800500,"machines":["vm-900001"]}`, "silent/7-2": `{"over_ms":0,"machines":[]}`,
		"hire/h7-1": `{"hire":{"hire":"h7-1","flavor":"m8","room":"a","loaners":true,"number":2}}`,
	}
	inCluster(t, plan{ledger: ledger}, func(c *cluster) {
		for _, ref := range []string{"job-800001", "job-800002", "job-800003"} {
			c.check.Submits(fake.NewJob(ref, 5, nil), true)
		}
		for _, task := range []string{"1/0", "1/1", "1/4", "3/0", "3/1", "3/2", "3/3", "3/4"} {
			c.check.Ends("job-80000"+task, "vm-900001", true)
		}
		c.check.Cancels("job-800002")
		c.users.Call(0, fake.AskedStatus, "job-800001", nil)
		for ref, want := range map[string]string{"job-800002": wire.Aborted, "job-800003": wire.Done} {
			if _, status := c.users.Until(fake.AskedStatus, ref, nil); status != want {
				t.Errorf("%s is %s, want %s", ref, status, want)
			}
		}
		time.Sleep(5 * time.Second) // all nodes know of one another
		c.users.Submit(fake.NewJob("job-800004", 1, func(j *wire.Job) { j.WaitsOn = []string{"job-800001", "job-800003"} }))
		c.users.Submit(fake.NewJob("job-800005", 1, func(j *wire.Job) { j.WaitsOn = []string{"job-800002"} }))
		c.await("the open job done", time.Minute, func() bool {
			_, status := c.users.Call(1, fake.AskedStatus, "job-800001", nil)
			return status == wire.Done
		})
		if _, done := c.check.On("job-800001"); done != 5 {
			t.Errorf("%d tasks done", done)
		}
	})
}

// TestJobsSurviveTheirLeader runs jobs while messages are lost, repeated and held,
// ends the leader in the middle, then all nodes, and has every task run to its
// end.
func TestJobsSurviveTheirLeader(t *testing.T) {
	every := func(pattern ...fake.Fault) *fake.Troubles {
		n := make(chan int, 1)
		n <- 0
		f := fake.Troubles(func(string, *http.Request) fake.Trouble {
			k := <-n
			n <- k + 1
			return fake.Trouble{Fault: pattern[k%len(pattern)], For: 3 * time.Second}
		})
		return &f
	}
	const ok = fake.NoFault
	inCluster(t, plan{run: func(task string) time.Duration {
		if strings.HasPrefix(task, "job-000003/") {
			return time.Hour
		}
		return 700 * time.Millisecond
	}}, func(c *cluster) {
		c.writes.Store(every(ok, ok, ok, fake.AnswerLost, ok, ok, fake.Duplicated, ok, ok, fake.Delayed, ok, ok, fake.Refused))
		c.held = true
		c.orders.Store(every(ok, ok, fake.AnswerLost, ok, fake.RequestLost, ok, ok, fake.Delayed, fake.Duplicated))
		c.hires.Store(every(ok, ok, fake.AnswerLost, ok, ok, ok, fake.Refused))
		jobs := c.stream(1, 3, 0, func(_ int, j *wire.Job) { j.Tasks = 30 })
		c.await("some tasks done", 30*time.Second, func() bool { _, done := c.check.On(""); return done > 10 })
		lead := c.leader()
		c.kill(lead)
		c.users.Cancel(jobs[2])
		time.Sleep(5 * time.Second)
		c.start(lead)
		c.await("more tasks done", 60*time.Second, func() bool { _, done := c.check.On(""); return done > 30 })
		for i := range c.nodes {
			c.kill(i)
		}
		time.Sleep(6 * time.Second)
		for i := range c.nodes {
			c.start(i)
		}
	})
}
