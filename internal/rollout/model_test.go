package rollout

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"leadproxy/internal/property"
)

// The model: machines with tasks of two teams' jobs, plans that drain them, and a leader
// that is lost at any moment, with or without its last write. The world below knows the
// truth: what runs where, and which jobs miss a task that had run.

const (
	modelWindow = 10 * time.Second
	modelTick   = time.Second
)

func modelBudgets() Budgets {
	return Budgets{General: Budget{Jobs: 2, Window: modelWindow}, Of: map[Group]Budget{TeamGroup("b"): {Share: 0.25, Window: modelWindow}, ClassGroup("one"): {Jobs: 1, Window: modelWindow}}}
}

// modelTask is a task of the world.
type modelTask struct {
	job      Job
	index    int
	machine  string // "": it waits
	ran      time.Duration
	left     time.Duration
	saves    bool
	lost     time.Duration // to be regained since it last lost its place
	displace bool          // it has lost its place and has not regained yet
	byMove   bool
}

type world struct {
	t        *rapid.T
	c        property.Drawn
	now      time.Duration
	machines map[string]bool // those that there are; the value: hired for a plan
	tasks    []*modelTask
	hires    map[string][]string // by request
	returned map[string]bool

	account  *Account
	rollouts map[string]*Rollout
	durable  map[string]Record
	began    time.Duration // the leader's
}

// groupsOf are the groups whose budgets a job is held to.
func groupsOf(j Job) []Group { return []Group{TeamGroup(j.Team), ClassGroup(j.Class)} }

func (w *world) running(g Group) int {
	jobs := map[string]bool{}
	for _, t := range w.tasks {
		if t.machine != "" && slices.Contains(groupsOf(t.job), g) {
			jobs[t.job.Ref] = true
		}
	}
	return len(jobs)
}

// displacedJobs are the jobs of a group that truly are disrupted by moves.
func (w *world) displacedJobs(g Group) map[string]bool {
	jobs := map[string]bool{}
	for _, t := range w.tasks {
		if t.displace && t.byMove && slices.Contains(groupsOf(t.job), g) {
			jobs[t.job.Ref] = true
		}
	}
	return jobs
}

// displace takes a task off its machine.
func (w *world) displace(t *modelTask, cause Cause) {
	lost := t.ran
	if t.saves {
		lost = 0
	}
	t.machine, t.displace, t.byMove, t.lost, t.ran = "", true, cause == Move, lost, t.ran-lost
	t.left += lost
	if cause != Move {
		w.account.Lose(t.job, t.index, lost, cause, w.now)
		return
	}
	for _, g := range groupsOf(t.job) {
		b, ok := w.account.budget(g)
		if n := len(w.displacedJobs(g)); ok && n > max(1, b.jobs(w.running(g)+n)) {
			w.t.Fatalf("%s: %d jobs are disrupted by moves", g, n)
		}
	}
}

func (w *world) machine(name string) Machine {
	m := Machine{Name: name, Gone: true}
	if _, ok := w.machines[name]; !ok {
		return m
	}
	m.Gone = false
	for _, t := range w.tasks {
		if t.machine != name {
			continue
		}
		lost := t.ran
		if t.saves {
			lost = 0
		}
		m.Tasks = append(m.Tasks, Task{Job: t.job, Index: t.index, Left: t.left, Lost: lost, Slack: time.Hour, HasRoom: true})
	}
	m.Empty = len(m.Tasks) == 0
	return m
}

func (w *world) view(r *Rollout) *View {
	record, _ := r.Record()
	v := &View{Now: w.now, WallMS: w.now.Milliseconds(), MayMove: w.now-w.began >= modelWindow, Running: w.running, Hired: w.hires[record.Hire]}
	for _, name := range slices.Sorted(maps.Keys(w.machines)) {
		if !w.machines[name] && !slices.Contains(record.Batch, name) {
			v.Candidates = append(v.Candidates, w.machine(name))
		}
	}
	for _, name := range record.Batch {
		v.Batch = append(v.Batch, w.machine(name))
	}
	for _, name := range record.Replacements {
		_, there := w.machines[name]
		v.Replacements = append(v.Replacements, Replacement{Name: name, Healthy: time.Minute, Failed: !there})
	}
	return v
}

// step has each plan go on once, and what it wants done.
func (w *world) step() {
	w.account.Tick(w.now)
	for _, name := range slices.Sorted(maps.Keys(w.rollouts)) {
		r := w.rollouts[name]
		for _, act := range r.Step(w.view(r)) {
			w.carryOut(r, act)
		}
		record, _ := r.Record()
		if !record.Phase.Over() && r.Durable() && len(r.Waits()) == 0 && record.Phase != Draining {
			w.t.Fatalf("plan %s is %s and waits for nothing", name, record.Phase)
		}
	}
}

func (w *world) carryOut(r *Rollout, act Act) {
	if !r.Durable() {
		w.t.Fatal("something is done before the record is durable")
	}
	switch a := act.(type) {
	case MoveTask:
		for _, t := range w.tasks {
			if t.job.Ref == a.Ref && t.index == a.Task && t.machine == a.Machine {
				w.displace(t, Move)
			}
		}
	case ReturnMachine:
		m := w.machine(a.Machine)
		if len(m.Tasks) > 0 || m.Gone || w.machines[a.Machine] {
			w.t.Fatalf("%s is returned: %+v", a.Machine, m)
		}
		delete(w.machines, a.Machine)
		w.returned[a.Machine] = true
	case HireAhead:
		if w.hires[a.Request] == nil {
			for i := range a.Like {
				name := fmt.Sprintf("new-%s-%d", a.Request, i)
				w.machines[name] = true
				w.hires[a.Request] = append(w.hires[a.Request], name)
			}
		}
	}
}

// save makes the plans' records durable; loseLeader begins a term on what is durable.
func (w *world) save() {
	for name, r := range w.rollouts {
		record, generation := r.Record()
		w.durable[name] = record
		r.Saved(generation)
	}
}

func (w *world) loseLeader() {
	w.account, w.began = NewAccount(modelBudgets()), w.now
	for _, name := range slices.Sorted(maps.Keys(w.durable)) {
		w.rollouts[name] = NewRollout(w.durable[name], w.account, w.isDone, w.now, w.now.Milliseconds())
	}
	for _, t := range w.tasks { // reports are heard anew
		if t.machine != "" {
			w.account.Runs(t.job.Ref, t.index, w.now)
		}
	}
}

func (w *world) isDone(ref string, task int) bool {
	return !slices.ContainsFunc(w.tasks, func(t *modelTask) bool { return t.job.Ref == ref && t.index == task })
}

// pass lets a second pass: tasks run, end, and waiting ones are placed.
func (w *world) pass(cordoned func(string) bool) {
	w.now += modelTick
	open := slices.DeleteFunc(slices.Sorted(maps.Keys(w.machines)), cordoned)
	if len(open) == 0 { // the fleet hires what waiting tasks need
		open = []string{fmt.Sprintf("extra-%d", w.now/modelTick)}
		w.machines[open[0]] = true
	}
	var still []*modelTask
	for _, t := range w.tasks {
		switch {
		case t.machine != "":
			t.ran, t.left = t.ran+modelTick, t.left-modelTick
			if t.displace && t.ran >= t.lost {
				t.displace = false
			}
		default:
			t.machine, t.ran = open[w.c.IntN(len(open))], 0
			w.account.Runs(t.job.Ref, t.index, w.now)
		}
		if t.left > 0 {
			still = append(still, t)
			continue
		}
		w.account.Ends(t.job.Ref, t.index, w.now)
	}
	w.tasks = still
}

func (w *world) cordoned(machine string) bool {
	for _, r := range w.rollouts {
		if r.Cordons(machine) {
			return true
		}
	}
	return false
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, c: property.Drawn{T: t}, now: time.Minute, machines: map[string]bool{}, hires: map[string][]string{}, returned: map[string]bool{},
		rollouts: map[string]*Rollout{}, durable: map[string]Record{}, account: NewAccount(modelBudgets())}
	for i := range 2 + w.c.IntN(5) {
		w.machines[fmt.Sprintf("old-%d", i)] = false
	}
	names := slices.Sorted(maps.Keys(w.machines))
	for i := range 2 + w.c.IntN(8) {
		job := Job{Ref: fmt.Sprintf("job-%d", i), Team: []string{"a", "b"}[w.c.IntN(2)], Class: []string{"one", "many"}[w.c.IntN(2)]}
		for k := range 1 + w.c.IntN(3) {
			w.tasks = append(w.tasks, &modelTask{job: job, index: k, machine: names[w.c.IntN(len(names))],
				left: time.Duration(10+w.c.IntN(200)) * time.Second, saves: w.c.IntN(2) == 0})
		}
	}
	for i := range 1 + w.c.IntN(2) {
		spec := Spec{Name: fmt.Sprintf("plan-%d", i), Zones: []string{"a"}, Canary: w.c.IntN(2), Batch: 1 + w.c.IntN(3), Surge: w.c.IntN(2) == 0, WaitS: float64(w.c.IntN(60)), CheckS: 1, HealthS: 600}
		w.durable[spec.Name] = Record{Version: RecordVersion, Spec: spec, CreatedMS: w.now.Milliseconds(), Phase: Choosing, PhaseMS: w.now.Milliseconds()}
	}
	w.loseLeader()
	return w
}

func (w *world) allOver() bool {
	for _, r := range w.rollouts {
		if !r.record.Phase.Over() {
			return false
		}
	}
	return true
}

// TestRollouts: whatever happens, moves never exceed a budget, nothing is done before it is
// recorded, no machine is returned with a task on it, and once troubles end and the operator
// lets what can't restart be moved, every plan ends with all its machines gone.
func TestRollouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range w.c.IntN(120) {
			switch w.c.IntN(12) {
			case 0:
				w.loseLeader() // its last write with it
			case 1:
				w.save()
				w.loseLeader()
			case 2: // a machine crashes
				names := slices.Sorted(maps.Keys(w.machines))
				if len(names) < 3 {
					break
				}
				name := names[w.c.IntN(len(names))]
				delete(w.machines, name)
				for _, task := range w.tasks {
					if task.machine == name {
						w.displace(task, "crash")
					}
				}
			case 3:
				for _, name := range slices.Sorted(maps.Keys(w.rollouts)) {
					command := []Command{Pause, Resume}[w.c.IntN(2)]
					if err := w.rollouts[name].Steer(command, "", w.now.Milliseconds()); err != nil && !w.rollouts[name].record.Phase.Over() {
						t.Fatal(err)
					}
				}
			case 4, 5, 6:
				w.save()
			default:
				w.pass(w.cordoned)
			}
			w.step()
		}
		for _, r := range w.rollouts {
			if !r.record.Phase.Over() {
				if err := r.Steer(Resume, "", w.now.Milliseconds()); err != nil {
					t.Fatal(err)
				}
			}
			for _, task := range w.tasks {
				r.Steer(Allow, task.job.Ref, w.now.Milliseconds())
			}
		}
		for range 3000 {
			if w.allOver() {
				break
			}
			w.save()
			w.step()
			w.pass(w.cordoned)
		}
		for name, r := range w.rollouts {
			if !r.record.Phase.Over() {
				t.Fatalf("plan %s has not ended: %s, %v", name, r.record.Phase, r.Waits())
			}
			if r.record.Phase == Failed {
				continue // a replacement has crashed
			}
			for machine, hired := range w.machines {
				if !hired {
					t.Fatalf("plan %s is %s, and %s is there", name, r.record.Phase, machine)
				}
			}
		}
	})
}
