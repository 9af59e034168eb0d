package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// Several cells of one operator, each with its own controllers, state service, cloud and
// workers, on one network in memory. One checker looks at all of them: a task that is on
// machines of two cells runs twice.

// repeatableClass is the class whose jobs may run again after an uncertain run.
const repeatableClass = "again"

// testFederation is some cells, the first of which is short of machines.
type testFederation struct {
	t     *testing.T
	net   *fake.Net
	check *fake.Checker
	names []string
	cells map[string]*cluster
	// spills are the cells some of whose jobs must have run elsewhere in the end.
	spills []string
}

// federationPlan is what the cells are made of.
type federationPlan struct {
	names      []string
	machines   map[string]int      // by cell; 12 where not named
	neighbours map[string][]string // by cell; all others where not named
	limits     map[string]float64
	old        map[string]int // nodes of a cell that begin with an older version
	run        func(task string) time.Duration
	seed       uint64
	standby    bool // their nodes follow their leaders
}

// refOf names a job of a cell: its number begins with the cell's place.
func (f *testFederation) refOf(cell string, k int) string {
	return fmt.Sprintf("job-%d%05d", 1+slices.Index(f.names, cell), k)
}

func (f *testFederation) owns(cell string) func(ref string) bool {
	prefix := fmt.Sprintf("job-%d", 1+slices.Index(f.names, cell))
	return func(ref string) bool { return strings.HasPrefix(ref, prefix) }
}

// operatorOf are the settings of a cell's controllers.
func (p *federationPlan) operatorOf(cell string) settings.Operator {
	o := settings.Defaults()
	o.MaxMachines = p.machinesOf(cell)
	o.Cells.Name, o.Cells.Spill = cell, true
	o.Cells.ShortageFor, o.Cells.MaxWait = 3*time.Second, 10*time.Second
	o.Cells.Repeatable = map[string]bool{repeatableClass: true}
	neighbours := p.neighbours[cell]
	if p.neighbours == nil {
		neighbours = slices.DeleteFunc(slices.Clone(p.names), func(n string) bool { return n == cell })
	}
	for i, n := range neighbours {
		var controllers []string
		for k := range 3 {
			controllers = append(controllers, fmt.Sprintf("%s-n%d:81", n, k))
		}
		o.Cells.Neighbours = append(o.Cells.Neighbours, settings.Neighbour{Name: n, Controllers: controllers, Preference: i,
			MaxJobs: 50, MaxCores: 64, LendCores: 64, TakeBack: 15 * time.Second})
	}
	return o
}

func (p *federationPlan) machinesOf(cell string) int {
	if n, ok := p.machines[cell]; ok {
		return n
	}
	return 12
}

func newFederation(t *testing.T, p federationPlan) *testFederation {
	f := &testFederation{t: t, net: fake.NewNet(t), check: newChecker(t, cancelLimit, p.limits), names: p.names, cells: map[string]*cluster{}}
	for _, name := range p.names {
		cell := &cellPlan{name: name, net: f.net, check: f.check, operator: p.operatorOf(name), owns: f.owns(name)}
		f.cells[name] = newCluster(t, plan{machines: p.machinesOf(name), limits: p.limits, old: p.old[name], run: p.run, seed: p.seed, standby: p.standby, cell: cell})
	}
	return f
}

// inFederation plays a scenario and then sees to it that all that was accepted is
// served, once, and that no transfer is left.
func inFederation(t *testing.T, p federationPlan, scenario func(f *testFederation)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFederation(t, p)
		for _, c := range f.cells {
			for i := range c.nodes {
				c.start(i)
			}
		}
		for _, c := range f.cells {
			c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
		}
		time.Sleep(6 * time.Second) // all have announced what they know
		scenario(f)
		f.finish()
	})
}

func (f *testFederation) finish() {
	home := f.cells[f.names[0]]
	for _, c := range f.cells {
		c.settled()
	}
	home.allServed()
	for _, c := range f.cells {
		c.users.Wait()
	}
	home.await("all tasks gone", time.Minute, func() bool { on, _ := f.check.On(""); return on == 0 })
	for name, c := range f.cells {
		c.tidy()
		c.await("transfers released in "+name, 30*time.Second, func() bool { return len(f.guests(name, federation.ForeignAccepted)) == 0 })
	}
	for _, name := range f.spills {
		if len(f.spilled(name)) == 0 {
			f.t.Errorf("no job of %s was accepted elsewhere", name)
		}
	}
	home.rulesKept()
	for _, c := range f.cells {
		for i := range c.nodes {
			c.kill(i)
		}
	}
	time.Sleep(5 * time.Second)
}

// flood has a cell's users submit n jobs of four tasks, half a second apart.
func (f *testFederation) flood(cell string, n int, change func(k int, j *wire.Job)) []*wire.Job {
	var jobs []*wire.Job
	for k := range n {
		j := fake.NewJob(f.refOf(cell, k), 4, func(j *wire.Job) { j.CPUs = 2 })
		if change != nil {
			change(k, j)
		}
		jobs = append(jobs, j)
		f.cells[cell].users.Submit(j)
		time.Sleep(500 * time.Millisecond)
	}
	return jobs
}

// guests lists the transfers of a neighbour that are in a state.
func (f *testFederation) guests(cell string, state federation.ForeignState) (keys []string) {
	for key, value := range f.values(cell, "cell/guest/") {
		var r federation.ForeignRecord
		if err := json.Unmarshal(value, &r); err != nil {
			f.t.Errorf("%s: %v", key, err)
		}
		if r.State == state {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// values are the keys of a cell under a prefix, with what they hold.
func (f *testFederation) values(cell, prefix string) map[string]json.RawMessage {
	values := map[string]json.RawMessage{}
	for _, e := range f.cells[cell].state.Changes() {
		switch {
		case strings.HasPrefix(e.Set, prefix):
			values[e.Set] = e.Value
		case strings.HasPrefix(e.Delete, prefix):
			delete(values, e.Delete)
		}
	}
	return values
}

// spilled lists the jobs that another cell has accepted from one.
func (f *testFederation) spilled(home string) []string {
	refs := map[string]bool{}
	for _, c := range f.names {
		for _, e := range f.cells[c].state.Changes() {
			if ref, ok := strings.CutPrefix(e.Set, "cell/guest/"+home+"/"); ok && strings.Contains(string(e.Value), string(federation.ForeignAccepted)) {
				refs[ref] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(refs))
}

// awaitAway waits until home has a transfer in a state, and names its job and cell.
func (f *testFederation) awaitAway(home string, state federation.DelegatedState) (ref, cell string) {
	f.t.Helper()
	f.awaitSoon("a transfer that is "+string(state), func() bool {
		for key, value := range f.values(home, "cell/away/") {
			var r federation.DelegatedRecord
			if json.Unmarshal(value, &r) == nil && r.State == state {
				ref, cell = strings.TrimPrefix(key, "cell/away/"), r.Cell
				return true
			}
		}
		return false
	})
	return ref, cell
}

// awaitSoon waits with a fine grain.
func (f *testFederation) awaitSoon(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Errorf("not within a minute: %s", what)
}

// cut cuts all controllers of two cells from one another, or heals that.
func (f *testFederation) cut(a, b string, on, hold bool) {
	for _, x := range f.cells[a].nodes {
		for _, y := range f.cells[b].nodes {
			if on {
				f.net.Cut(x.platform.Node, y.platform.Node, hold)
			} else {
				f.net.Heal(x.platform.Node, y.platform.Node)
			}
		}
	}
}

// twoCells is a small cell beside one with room.
func twoCells() federationPlan {
	return federationPlan{names: []string{"a", "b"}, machines: map[string]int{"a": 2}, run: func(string) time.Duration { return 12 * time.Second }}
}

// wantSpilled has the end of the scenario see to it that it was one of transfers at all.
func (f *testFederation) wantSpilled(home string) { f.spills = append(f.spills, home) }

// TestSpill: a flooded cell's jobs run at its neighbours as well, and none twice.
func TestSpill(t *testing.T) {
	p := federationPlan{names: []string{"a", "b", "c"}, machines: map[string]int{"a": 2}, run: func(string) time.Duration { return 12 * time.Second }}
	inFederation(t, p, func(f *testFederation) {
		f.flood("a", 16, nil)
		f.wantSpilled("a")
		f.cells["a"].allServed()
		for _, ref := range f.spilled("a") {
			for _, cell := range []string{"b", "c"} {
				for _, change := range f.cells[cell].state.Changes() {
					if change.Set == ledger.DelegatedKey(ref) {
						t.Errorf("%s travels on from %s", ref, cell)
					}
				}
			}
		}
	})
}

// troubles befall two cells while jobs of a are away in b.
var cellTroubles = map[string]func(f *testFederation){
	"home's leader ends after the offer": func(f *testFederation) {
		f.awaitAway("a", federation.Offered)
		f.cells["a"].restart(f.cells["a"].leader(), 4*time.Second)
	},
	"home's leader ends after the accept": func(f *testFederation) {
		f.awaitAway("a", federation.Accepted)
		f.cells["a"].restart(f.cells["a"].leader(), 4*time.Second)
	},
	"home's leader ends after the result": func(f *testFederation) {
		f.awaitAway("a", federation.Accepted)
		f.awaitSoon("a result at the neighbour", func() bool {
			for _, value := range f.values("b", ledger.JobPrefix) {
				if rec, err := ledger.DecodeJob("", value); err == nil && rec.Origin == "a" && rec.Terminal != "" {
					return true
				}
			}
			return false
		})
		f.cells["a"].restart(f.cells["a"].leader(), 4*time.Second)
	},
	"home loses its state service": func(f *testFederation) {
		f.awaitAway("a", federation.Accepted)
		f.cells["a"].state.Outage(true)
		time.Sleep(25 * time.Second)
		f.cells["a"].state.Outage(false)
	},
	"the neighbour accepts and its answer is lost": func(f *testFederation) {
		f.awaitSoon("an accept", func() bool { return len(f.guests("b", federation.ForeignAccepted)) > 0 })
		f.cut("a", "b", true, false)
		time.Sleep(20 * time.Second)
		f.cut("a", "b", false, false)
	},
	"the offer is held up and arrives after its revocation": func(f *testFederation) {
		f.awaitAway("a", federation.Offered)
		f.cut("a", "b", true, true)
		time.Sleep(14 * time.Second)
		f.cut("a", "b", false, true)
	},
	"the neighbour's leader changes twice": func(f *testFederation) {
		f.awaitAway("a", federation.Accepted)
		for range 2 {
			b := f.cells["b"]
			was := b.leader()
			b.kill(was)
			b.await("another leader", 20*time.Second, func() bool { return b.leader() >= 0 && b.leader() != was })
			b.start(was)
		}
	},
	"what home sends is lost": func(f *testFederation) { f.oneWay("a", "b") },
	"what the neighbour sends is lost": func(f *testFederation) {
		f.oneWay("b", "a")
	},
	"home is back as a cold set of processes": func(f *testFederation) {
		f.awaitAway("a", federation.Accepted)
		home := f.cells["a"]
		for i := range home.nodes {
			home.kill(i)
		}
		time.Sleep(25 * time.Second)
		home.revive()
	},
	"the neighbour ends and is back": func(f *testFederation) {
		f.awaitAway("a", federation.Accepted)
		for i := range f.cells["b"].nodes {
			f.cells["b"].kill(i)
		}
		time.Sleep(30 * time.Second)
		f.cells["b"].revive()
	},
	"the neighbour loses machines": func(f *testFederation) {
		f.awaitAway("a", federation.Accepted)
		time.Sleep(3 * time.Second)
		for _, w := range half(f.cells["b"].cloud.Workers()) {
			f.cells["b"].cloud.Take(w.Name())
		}
	},
	"answers of the state services are lost": func(f *testFederation) {
		for _, c := range f.cells {
			c.writes.Store(c.share(0.3, fake.AnswerLost, 0, 0))
		}
		time.Sleep(30 * time.Second)
		for _, c := range f.cells {
			c.writes.Store(nil)
		}
	},
}

// oneWay loses what one cell's controllers send to the other's for a while.
func (f *testFederation) oneWay(from, to string) {
	f.awaitAway("a", federation.Accepted)
	for _, x := range f.cells[from].nodes {
		for _, y := range f.cells[to].nodes {
			f.net.CutOneWay(x.platform.Node, y.platform.Node)
		}
	}
	time.Sleep(20 * time.Second)
	f.cut(from, to, false, true)
}

// TestSpillTroubles: whatever befalls cells and links, each job is served once. Some are
// cancelled meanwhile.
func TestSpillTroubles(t *testing.T) {
	for name, trouble := range cellTroubles {
		t.Run(name, func(t *testing.T) {
			inFederation(t, twoCells(), func(f *testFederation) {
				f.cells["a"].users.Go(func() { trouble(f) })
				jobs := f.flood("a", 14, nil)
				for _, j := range jobs[8:11] {
					f.cells["a"].users.Cancel(j)
				}
				f.cells["a"].users.Wait()
				f.wantSpilled("a")
			})
		})
	}
}

// TestSpillCancelled: jobs are cancelled at each moment of their transfers.
func TestSpillCancelled(t *testing.T) {
	moments := map[string]func(f *testFederation) string{
		"planned or offered": func(f *testFederation) string { ref, _ := f.awaitAway("a", federation.Offered); return ref },
		"crossing the accept": func(f *testFederation) string {
			ref, _ := f.awaitAway("a", federation.Offered)
			f.awaitSoon("its guest", func() bool {
				return f.cells["b"].state.Value(ledger.ForeignKey(federation.ForeignKey{Origin: "a", JobID: ref})) != nil
			})
			return ref
		},
		"accepted": func(f *testFederation) string { ref, _ := f.awaitAway("a", federation.Accepted); return ref },
		"running": func(f *testFederation) string {
			ref, _ := f.awaitAway("a", federation.Accepted)
			time.Sleep(8 * time.Second)
			return ref
		},
	}
	for name, moment := range moments {
		t.Run(name, func(t *testing.T) {
			inFederation(t, twoCells(), func(f *testFederation) {
				home := f.cells["a"]
				home.users.Go(func() {
					ref := moment(f)
					home.users.Cancel(f.check.Job(ref))
				})
				f.flood("a", 10, nil)
				f.wantSpilled("a")
			})
		})
	}
}

// TestSpillCancelUnreachable: while the cell that may run a job can't be reached, its
// cancellation gets 503 at once; it is confirmed when it can.
func TestSpillCancelUnreachable(t *testing.T) {
	inFederation(t, twoCells(), func(f *testFederation) {
		home := f.cells["a"]
		home.users.Go(func() {
			ref, _ := f.awaitAway("a", federation.Accepted)
			f.cut("a", "b", true, true)
			time.Sleep(6 * time.Second)
			asked := time.Now()
			if code, _ := home.users.Call(home.leader(), fake.AskedCancel, ref, nil); code != 503 {
				t.Errorf("the cancellation got %d, want 503", code)
			}
			if took := time.Since(asked); took > 500*time.Millisecond {
				t.Errorf("the refusal took %s", took)
			}
			f.cut("a", "b", false, true)
			home.users.Cancel(f.check.Job(ref))
		})
		f.flood("a", 10, nil)
	})
}

// TestSpillTakenBack: a repeatable job is taken back from a neighbour that is cut off,
// a strict one waits for the truth.
func TestSpillTakenBack(t *testing.T) {
	inFederation(t, twoCells(), func(f *testFederation) {
		home := f.cells["a"]
		home.users.Go(func() {
			f.awaitAway("a", federation.Accepted)
			time.Sleep(5 * time.Second)
			f.cut("a", "b", true, false)
			time.Sleep(60 * time.Second)
			for key, value := range f.values("a", "cell/away/") {
				var r federation.DelegatedRecord
				if err := json.Unmarshal(value, &r); err != nil || r.Repeatable != (r.State == federation.Returned) {
					t.Errorf("%s after a minute without the neighbour: %s", key, value)
				}
			}
			f.cut("a", "b", false, false)
		})
		f.flood("a", 14, func(k int, j *wire.Job) {
			if k%2 == 0 {
				j.Class = repeatableClass
			}
		})
		f.wantSpilled("a")
	})
}

// TestSpillBothFlooded: cells that are both full offer each other nothing that goes back
// and forth.
func TestSpillBothFlooded(t *testing.T) {
	p := twoCells()
	p.machines["b"] = 2
	inFederation(t, p, func(f *testFederation) {
		f.cells["b"].users.Go(func() { f.flood("b", 12, nil) })
		f.flood("a", 12, nil)
		for _, c := range f.names {
			for key := range f.values(c, "cell/away/") {
				if !f.owns(c)(strings.TrimPrefix(key, "cell/away/")) {
					t.Errorf("%s: a guest of %s travels on", key, c)
				}
			}
		}
	})
}

// TestSpillRing: three cells, each of which knows the next alone, one flooded and its
// neighbour full as well.
func TestSpillRing(t *testing.T) {
	p := federationPlan{names: []string{"a", "b", "c"}, machines: map[string]int{"a": 2, "b": 4}, run: func(string) time.Duration { return 12 * time.Second },
		neighbours: map[string][]string{"a": {"b"}, "b": {"c"}, "c": {"a"}}}
	inFederation(t, p, func(f *testFederation) {
		f.cells["b"].users.Go(func() { f.flood("b", 10, nil) })
		f.flood("a", 12, nil)
		if n := len(f.values("c", "cell/guest/a/")); n > 0 {
			t.Errorf("%d jobs of a have come to c, which it does not know", n)
		}
	})
}

// TestSpillOldVersion: a cell in which an older version may be up takes nothing, and
// offers nothing.
func TestSpillOldVersion(t *testing.T) {
	p := twoCells()
	p.old = map[string]int{"b": 1}
	inFederation(t, p, func(f *testFederation) {
		f.flood("a", 8, nil)
		if n := f.cells["b"].state.Count("cell/"); n > 0 {
			t.Errorf("%d transfers with an old node up", n)
		}
	})
}

// TestSpillTeamLimit: a team's limit at home holds for its tasks in both cells together.
func TestSpillTeamLimit(t *testing.T) {
	p := twoCells()
	p.limits = map[string]float64{"tight": 24}
	inFederation(t, p, func(f *testFederation) {
		f.flood("a", 14, func(_ int, j *wire.Job) { j.Team = "tight" })
		f.wantSpilled("a")
	})
}

// TestSpillDrained: a relation is drained and then removed, on both sides and with the
// controllers restarted one after the other, as the operators' page has it. What is away
// comes to its end, and nothing leaves or comes any more.
func TestSpillDrained(t *testing.T) {
	inFederation(t, twoCells(), func(f *testFederation) {
		f.cells["a"].users.Go(func() { f.flood("a", 24, nil) })
		f.awaitAway("a", federation.Accepted)
		f.reconfigure(func(o *settings.Operator) { o.Cells.Neighbours[0].Drain = true })
		f.cells["a"].await("no job away", 2*time.Minute, func() bool { return f.cells["a"].state.Count("cell/away/") == 0 })
		f.cells["b"].await("no guest", time.Minute, func() bool { return len(f.guests("b", federation.ForeignAccepted)) == 0 })
		drained := len(f.spilled("a"))
		f.reconfigure(func(o *settings.Operator) { o.Cells = settings.Cells{} })
		f.cells["a"].users.Go(func() { f.flood("a", 40, func(k int, j *wire.Job) { j.ID = f.refOf("a", 100+k) }) })
		f.cells["a"].users.Wait()
		if n := len(f.spilled("a")); drained == 0 || n != drained {
			t.Errorf("%d jobs ran elsewhere before the relation was drained, %d in the end", drained, n)
		}
	})
}

// reconfigure restarts all controllers, one after the other, with other settings.
func (f *testFederation) reconfigure(change func(o *settings.Operator)) {
	for _, name := range f.names {
		c := f.cells[name]
		c.operator.Cells.Neighbours = slices.Clone(c.operator.Cells.Neighbours)
		change(&c.operator)
		for i := range c.nodes {
			c.restart(i, 2*time.Second)
			time.Sleep(3 * time.Second)
		}
	}
}
