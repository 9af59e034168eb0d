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

// Several cells of one operator, each with its own controllers, key-value store, cloud and
// workers, on one network in memory. One checker checks all of them: a task that is on
// machines of two cells runs twice.

// repeatableClass is the class whose jobs may run again after an uncertain run.
const repeatableClass = "again"

// federatedCells is some cells, the first of which is short of machines.
type federatedCells struct {
	t       *testing.T
	net     *fake.Net
	checker *fake.Checker
	names   []string
	cells   map[string]*cluster
	// mustForward are the cells some of whose jobs must have run elsewhere in the end.
	mustForward []string
}

// federationPlan is what the cells are made of.
type federationPlan struct {
	names       []string
	maxMachines map[string]int      // by cell; 12 where not named
	neighbours  map[string][]string // by cell; all others where not named
	teamLimits  map[string]float64
	oldVersions map[string]int // controllers of a cell that begin with an older version
	runTime     func(task string) time.Duration
	seed        uint64
	standby     bool // their controllers follow their leaders
}

// jobID names a job of a cell: its number begins with the cell's place.
func (f *federatedCells) jobID(cell string, k int) string {
	return fmt.Sprintf("job-%d%05d", 1+slices.Index(f.names, cell), k)
}

func (f *federatedCells) ownsJob(cell string) func(ref string) bool {
	prefix := fmt.Sprintf("job-%d", 1+slices.Index(f.names, cell))
	return func(ref string) bool { return strings.HasPrefix(ref, prefix) }
}

// operatorOf are the settings of a cell's controllers.
func (p *federationPlan) operatorOf(cell string) settings.Operator {
	o := settings.Defaults()
	o.MaxMachines = p.maxMachinesOf(cell)
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

func (p *federationPlan) maxMachinesOf(cell string) int {
	if n, ok := p.maxMachines[cell]; ok {
		return n
	}
	return 12
}

func newFederation(t *testing.T, p federationPlan) *federatedCells {
	f := &federatedCells{t: t, net: fake.NewNet(t), checker: newChecker(t, cancelLimit, p.teamLimits), names: p.names, cells: map[string]*cluster{}}
	for _, name := range p.names {
		cell := &cellPlan{name: name, net: f.net, checker: f.checker, operator: p.operatorOf(name), ownsJob: f.ownsJob(name)}
		f.cells[name] = newCluster(t, clusterPlan{maxMachines: p.maxMachinesOf(name), teamLimits: p.teamLimits, oldVersions: p.oldVersions[name], runTime: p.runTime, seed: p.seed, standby: p.standby, cell: cell})
	}
	return f
}

// runFederationScenario plays a scenario and then checks that all that was accepted is
// served, once, and that no transfer is left.
func runFederationScenario(t *testing.T, p federationPlan, scenario func(f *federatedCells)) {
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

func (f *federatedCells) finish() {
	origin := f.cells[f.names[0]]
	for _, c := range f.cells {
		c.endFaults()
	}
	origin.awaitAllServed()
	for _, c := range f.cells {
		c.users.Wait()
	}
	origin.await("all tasks gone", time.Minute, func() bool { on, _ := f.checker.On(""); return on == 0 })
	for name, c := range f.cells {
		c.awaitLedgerCleanup()
		c.await("transfers released in "+name, 30*time.Second, func() bool { return len(f.foreignJobs(name, federation.ForeignAccepted)) == 0 })
	}
	for _, name := range f.mustForward {
		if len(f.forwardedJobs(name)) == 0 {
			f.t.Errorf("no job of %s was accepted elsewhere", name)
		}
	}
	origin.reportViolations()
	for _, c := range f.cells {
		for i := range c.nodes {
			c.kill(i)
		}
	}
	time.Sleep(5 * time.Second)
}

// overload has a cell's users submit n jobs of four tasks, half a second apart.
func (f *federatedCells) overload(cell string, n int, change func(k int, j *wire.Job)) []*wire.Job {
	var jobs []*wire.Job
	for k := range n {
		j := fake.NewJob(f.jobID(cell, k), 4, func(j *wire.Job) { j.CPUs = 2 })
		if change != nil {
			change(k, j)
		}
		jobs = append(jobs, j)
		f.cells[cell].users.Submit(j)
		time.Sleep(500 * time.Millisecond)
	}
	return jobs
}

// foreignJobs lists the transfers of a neighbour that are in a state.
func (f *federatedCells) foreignJobs(cell string, state federation.ForeignState) (keys []string) {
	for key, value := range f.entries(cell, "cell/guest/") {
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

// entries are the keys of a cell under a prefix, with what they hold.
func (f *federatedCells) entries(cell, prefix string) map[string]json.RawMessage {
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

// forwardedJobs lists the jobs that another cell has accepted from one.
func (f *federatedCells) forwardedJobs(origin string) []string {
	refs := map[string]bool{}
	for _, c := range f.names {
		for _, e := range f.cells[c].state.Changes() {
			if ref, ok := strings.CutPrefix(e.Set, "cell/guest/"+origin+"/"); ok && strings.Contains(string(e.Value), string(federation.ForeignAccepted)) {
				refs[ref] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(refs))
}

// awaitDelegated waits until origin has a transfer in a state, and names its job and cell.
func (f *federatedCells) awaitDelegated(origin string, state federation.DelegatedState) (ref, cell string) {
	f.t.Helper()
	f.awaitPrecisely("a transfer that is "+string(state), func() bool {
		for key, value := range f.entries(origin, "cell/away/") {
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

// awaitPrecisely waits with a fine grain.
func (f *federatedCells) awaitPrecisely(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Errorf("not within a minute: %s", what)
}

// partition cuts all controllers of two cells from one another. With hold, what they send
// is delivered when the connection is back, and else it is refused.
func (f *federatedCells) partition(a, b string, hold bool) {
	f.eachLink(a, b, func(x, y string) { f.net.Cut(x, y, hold) })
}

// heal ends a partition of two cells.
func (f *federatedCells) heal(a, b string) { f.eachLink(a, b, f.net.Heal) }

// eachLink calls do for each pair of controllers of two cells.
func (f *federatedCells) eachLink(a, b string, do func(x, y string)) {
	for _, x := range f.cells[a].nodes {
		for _, y := range f.cells[b].nodes {
			do(x.platform.Node, y.platform.Node)
		}
	}
}

// twoCells is a small cell beside one with room.
func twoCells() federationPlan {
	return federationPlan{names: []string{"a", "b"}, maxMachines: map[string]int{"a": 2}, runTime: func(string) time.Duration { return 12 * time.Second }}
}

// expectForwarding has the end of the scenario check that jobs were forwarded at all.
func (f *federatedCells) expectForwarding(origin string) {
	f.mustForward = append(f.mustForward, origin)
}

// TestOverflow: an overloaded cell's jobs run at its neighbours as well, and none twice.
func TestOverflow(t *testing.T) {
	p := federationPlan{names: []string{"a", "b", "c"}, maxMachines: map[string]int{"a": 2}, runTime: func(string) time.Duration { return 12 * time.Second }}
	runFederationScenario(t, p, func(f *federatedCells) {
		f.overload("a", 16, nil)
		f.expectForwarding("a")
		f.cells["a"].awaitAllServed()
		for _, ref := range f.forwardedJobs("a") {
			for _, cell := range []string{"b", "c"} {
				for _, change := range f.cells[cell].state.Changes() {
					if change.Set == ledger.DelegatedKey(ref) {
						t.Errorf("%s is forwarded again by %s", ref, cell)
					}
				}
			}
		}
	})
}

// federationFaults are faults of two cells while jobs of a are delegated to b.
var federationFaults = map[string]func(f *federatedCells){
	"the origin's leader ends after the offer": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Offered)
		f.cells["a"].restart(f.cells["a"].leader(), 4*time.Second)
	},
	"the origin's leader ends after the accept": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		f.cells["a"].restart(f.cells["a"].leader(), 4*time.Second)
	},
	"the origin's leader ends after the result": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		f.awaitPrecisely("a result at the neighbour", func() bool {
			for _, value := range f.entries("b", ledger.JobPrefix) {
				if rec, err := ledger.DecodeJob("", value); err == nil && rec.Origin == "a" && rec.Terminal != "" {
					return true
				}
			}
			return false
		})
		f.cells["a"].restart(f.cells["a"].leader(), 4*time.Second)
	},
	"the origin cell loses its key-value store": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		f.cells["a"].state.Outage(true)
		time.Sleep(25 * time.Second)
		f.cells["a"].state.Outage(false)
	},
	"the neighbour accepts and its answer is lost": func(f *federatedCells) {
		f.awaitPrecisely("an accept", func() bool { return len(f.foreignJobs("b", federation.ForeignAccepted)) > 0 })
		f.partition("a", "b", false)
		time.Sleep(20 * time.Second)
		f.heal("a", "b")
	},
	"the offer is held up and arrives after its revocation": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Offered)
		f.partition("a", "b", true)
		time.Sleep(14 * time.Second)
		f.heal("a", "b")
	},
	"the neighbour's leader changes twice": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		for range 2 {
			b := f.cells["b"]
			was := b.leader()
			b.kill(was)
			b.await("another leader", 20*time.Second, func() bool { return b.leader() >= 0 && b.leader() != was })
			b.start(was)
		}
	},
	"what the origin sends is lost": func(f *federatedCells) { f.loseRequests("a", "b") },
	"what the neighbour sends is lost": func(f *federatedCells) {
		f.loseRequests("b", "a")
	},
	"the origin is back as a new set of processes": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		origin := f.cells["a"]
		for i := range origin.nodes {
			origin.kill(i)
		}
		time.Sleep(25 * time.Second)
		origin.startAll()
	},
	"the neighbour ends and is back": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		for i := range f.cells["b"].nodes {
			f.cells["b"].kill(i)
		}
		time.Sleep(30 * time.Second)
		f.cells["b"].startAll()
	},
	"the neighbour loses machines": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		time.Sleep(3 * time.Second)
		for _, w := range everyOther(f.cells["b"].cloud.Workers()) {
			f.cells["b"].cloud.Take(w.Name())
		}
	},
	"answers of the state services are lost": func(f *federatedCells) {
		for _, c := range f.cells {
			c.writeFaults.Store(c.randomFaults(0.3, fake.AnswerLost, 0, 0))
		}
		time.Sleep(30 * time.Second)
		for _, c := range f.cells {
			c.writeFaults.Store(nil)
		}
	},
}

// loseRequests loses what one cell's controllers send to the other's for a while.
func (f *federatedCells) loseRequests(from, to string) {
	f.awaitDelegated("a", federation.Accepted)
	for _, x := range f.cells[from].nodes {
		for _, y := range f.cells[to].nodes {
			f.net.CutOneWay(x.platform.Node, y.platform.Node)
		}
	}
	time.Sleep(20 * time.Second)
	f.heal(from, to)
}

// TestOverflowFaults: whatever hits cells and links, each job is served once. Some are
// cancelled meanwhile.
func TestOverflowFaults(t *testing.T) {
	for name, trouble := range federationFaults {
		t.Run(name, func(t *testing.T) {
			runFederationScenario(t, twoCells(), func(f *federatedCells) {
				f.cells["a"].users.Go(func() { trouble(f) })
				jobs := f.overload("a", 14, nil)
				for _, j := range jobs[8:11] {
					f.cells["a"].users.Cancel(j)
				}
				f.cells["a"].users.Wait()
				f.expectForwarding("a")
			})
		})
	}
}

// TestOverflowCancelled: jobs are cancelled at each moment of their transfers.
func TestOverflowCancelled(t *testing.T) {
	moments := map[string]func(f *federatedCells) string{
		"planned or offered": func(f *federatedCells) string { ref, _ := f.awaitDelegated("a", federation.Offered); return ref },
		"crossing the accept": func(f *federatedCells) string {
			ref, _ := f.awaitDelegated("a", federation.Offered)
			f.awaitPrecisely("its guest", func() bool {
				return f.cells["b"].state.Value(ledger.ForeignKey(federation.ForeignKey{Origin: "a", JobID: ref})) != nil
			})
			return ref
		},
		"accepted": func(f *federatedCells) string { ref, _ := f.awaitDelegated("a", federation.Accepted); return ref },
		"running": func(f *federatedCells) string {
			ref, _ := f.awaitDelegated("a", federation.Accepted)
			time.Sleep(8 * time.Second)
			return ref
		},
	}
	for name, moment := range moments {
		t.Run(name, func(t *testing.T) {
			runFederationScenario(t, twoCells(), func(f *federatedCells) {
				origin := f.cells["a"]
				origin.users.Go(func() {
					ref := moment(f)
					origin.users.Cancel(f.checker.Job(ref))
				})
				f.overload("a", 10, nil)
				f.expectForwarding("a")
			})
		})
	}
}

// TestOverflowCancelUnreachable: while the cell that may run a job can't be reached, its
// cancellation gets 503 at once; it is confirmed when it can.
func TestOverflowCancelUnreachable(t *testing.T) {
	runFederationScenario(t, twoCells(), func(f *federatedCells) {
		origin := f.cells["a"]
		origin.users.Go(func() {
			ref, _ := f.awaitDelegated("a", federation.Accepted)
			f.partition("a", "b", true)
			time.Sleep(6 * time.Second)
			asked := time.Now()
			if code, _ := origin.users.Call(origin.leader(), fake.AskedCancel, ref, nil); code != 503 {
				t.Errorf("the cancellation got %d, want 503", code)
			}
			if took := time.Since(asked); took > 500*time.Millisecond {
				t.Errorf("the refusal took %s", took)
			}
			f.heal("a", "b")
			origin.users.Cancel(f.checker.Job(ref))
		})
		f.overload("a", 10, nil)
	})
}

// TestOverflowReclaimed: a repeatable job is reclaimed from a neighbour that is cut off,
// a strict one waits until its state is known.
func TestOverflowReclaimed(t *testing.T) {
	runFederationScenario(t, twoCells(), func(f *federatedCells) {
		origin := f.cells["a"]
		origin.users.Go(func() {
			f.awaitDelegated("a", federation.Accepted)
			time.Sleep(5 * time.Second)
			f.partition("a", "b", false)
			time.Sleep(60 * time.Second)
			for key, value := range f.entries("a", "cell/away/") {
				var r federation.DelegatedRecord
				if err := json.Unmarshal(value, &r); err != nil || r.Repeatable != (r.State == federation.Returned) {
					t.Errorf("%s after a minute without the neighbour: %s", key, value)
				}
			}
			f.heal("a", "b")
		})
		f.overload("a", 14, func(k int, j *wire.Job) {
			if k%2 == 0 {
				j.Class = repeatableClass
			}
		})
		f.expectForwarding("a")
	})
}

// TestOverflowBothOverloaded: cells that are both full offer each other nothing that goes back
// and forth.
func TestOverflowBothOverloaded(t *testing.T) {
	p := twoCells()
	p.maxMachines["b"] = 2
	runFederationScenario(t, p, func(f *federatedCells) {
		f.cells["b"].users.Go(func() { f.overload("b", 12, nil) })
		f.overload("a", 12, nil)
		for _, c := range f.names {
			for key := range f.entries(c, "cell/away/") {
				if !f.ownsJob(c)(strings.TrimPrefix(key, "cell/away/")) {
					t.Errorf("%s: a guest of %s travels on", key, c)
				}
			}
		}
	})
}

// TestOverflowRing: three cells, each of which knows the next alone, one overloaded and its
// neighbour full as well.
func TestOverflowRing(t *testing.T) {
	p := federationPlan{names: []string{"a", "b", "c"}, maxMachines: map[string]int{"a": 2, "b": 4}, runTime: func(string) time.Duration { return 12 * time.Second },
		neighbours: map[string][]string{"a": {"b"}, "b": {"c"}, "c": {"a"}}}
	runFederationScenario(t, p, func(f *federatedCells) {
		f.cells["b"].users.Go(func() { f.overload("b", 10, nil) })
		f.overload("a", 12, nil)
		if n := len(f.entries("c", "cell/guest/a/")); n > 0 {
			t.Errorf("%d jobs of a have come to c, which it does not know", n)
		}
	})
}

// TestOverflowOldVersion: a cell in which an older version may be up accepts nothing, and
// offers nothing.
func TestOverflowOldVersion(t *testing.T) {
	p := twoCells()
	p.oldVersions = map[string]int{"b": 1}
	runFederationScenario(t, p, func(f *federatedCells) {
		f.overload("a", 8, nil)
		if n := f.cells["b"].state.Count("cell/"); n > 0 {
			t.Errorf("%d transfers with a controller of the old version up", n)
		}
	})
}

// TestOverflowTeamLimit: a team's limit in the origin cell holds for its tasks in both cells together.
func TestOverflowTeamLimit(t *testing.T) {
	p := twoCells()
	p.teamLimits = map[string]float64{"tight": 24}
	runFederationScenario(t, p, func(f *federatedCells) {
		f.overload("a", 14, func(_ int, j *wire.Job) { j.Team = "tight" })
		f.expectForwarding("a")
	})
}

// TestOverflowDrained: a relation is drained and then removed, on both sides and with the
// controllers restarted one after the other, as the operators' page has it. What is away
// comes to its end, and nothing leaves or comes any more.
func TestOverflowDrained(t *testing.T) {
	runFederationScenario(t, twoCells(), func(f *federatedCells) {
		f.cells["a"].users.Go(func() { f.overload("a", 24, nil) })
		f.awaitDelegated("a", federation.Accepted)
		f.restartWith(func(o *settings.Operator) { o.Cells.Neighbours[0].Drain = true })
		f.cells["a"].await("no job away", 2*time.Minute, func() bool { return f.cells["a"].state.Count("cell/away/") == 0 })
		f.cells["b"].await("no guest", time.Minute, func() bool { return len(f.foreignJobs("b", federation.ForeignAccepted)) == 0 })
		drained := len(f.forwardedJobs("a"))
		f.restartWith(func(o *settings.Operator) { o.Cells = settings.Cells{} })
		f.cells["a"].users.Go(func() { f.overload("a", 40, func(k int, j *wire.Job) { j.ID = f.jobID("a", 100+k) }) })
		f.cells["a"].users.Wait()
		if n := len(f.forwardedJobs("a")); drained == 0 || n != drained {
			t.Errorf("%d jobs ran elsewhere before the relation was drained, %d in the end", drained, n)
		}
	})
}

// restartWith restarts all controllers, one after the other, with other settings.
func (f *federatedCells) restartWith(change func(o *settings.Operator)) {
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
