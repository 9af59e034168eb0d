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

// The model simulates a cluster: machines with tasks of the jobs of two teams, plans that drain
// them, and a leader that may fail at any moment, with or without its last write. It keeps the
// actual state, independently of the code under test: which task runs where, and which jobs have
// tasks that have not regained their progress.

const (
	modelWindow = 10 * time.Second
	modelTick   = time.Second
)

func modelBudgets() Budgets {
	return Budgets{TeamDefault: Budget{Jobs: 2, Window: modelWindow}, ByGroup: map[Group]Budget{TeamGroup("b"): {Share: 0.25, Window: modelWindow}, ClassGroup("one"): {Jobs: 1, Window: modelWindow}}}
}

// modelTask is a task of the model.
type modelTask struct {
	job     Job
	index   int
	machine string // "" while the task waits
	// progress is the run time that is not lost, and remaining the run time that is left.
	progress, remaining time.Duration
	checkpoints         bool
	// disrupted means that the task has lost its machine and has not regained lostProgress yet.
	// evicted means that a plan caused this.
	disrupted, evicted bool
	lostProgress       time.Duration
}

// unsavedProgress returns the progress that the task would lose if it lost its machine now.
func (t *modelTask) unsavedProgress() time.Duration {
	if t.checkpoints {
		return 0
	}
	return t.progress
}

type model struct {
	t      *rapid.T
	random property.RapidChooser
	now    time.Duration
	// machines has the existing machines. The value is true for replacements that a plan has
	// rented.
	machines map[string]bool
	tasks    []*modelTask
	rented   map[string][]string // by request ID

	disruptions *DisruptionTracker
	plans       map[string]*Controller
	durable     map[string]Record
	// leaderSince is when the term of the current leader began.
	leaderSince time.Duration
}

// groupsOf returns the groups whose budgets apply to a job. It duplicates Job.groups, which is
// under test.
func groupsOf(j Job) []Group { return []Group{TeamGroup(j.Team), ClassGroup(j.Class)} }

func (m *model) runningJobs(g Group) int {
	jobs := map[string]bool{}
	for _, task := range m.tasks {
		if task.machine != "" && slices.Contains(groupsOf(task.job), g) {
			jobs[task.job.ID] = true
		}
	}
	return len(jobs)
}

// evictedJobs returns the jobs of a group that are actually disrupted by evictions.
func (m *model) evictedJobs(g Group) map[string]bool {
	jobs := map[string]bool{}
	for _, t := range m.tasks {
		if t.disrupted && t.evicted && slices.Contains(groupsOf(t.job), g) {
			jobs[t.job.ID] = true
		}
	}
	return jobs
}

// loseMachine removes a task from its machine. For an eviction, it checks that the actual number
// of disrupted jobs keeps to the budgets.
func (m *model) loseMachine(t *modelTask, cause Cause) {
	lost := t.unsavedProgress()
	t.machine, t.disrupted, t.evicted = "", true, cause == CauseEviction
	t.lostProgress, t.progress = lost, t.progress-lost
	t.remaining += lost
	if cause != CauseEviction {
		m.disruptions.TaskDisrupted(t.job, t.index, lost, cause, m.now)
		return
	}
	for _, g := range groupsOf(t.job) {
		budget, ok := m.disruptions.budgets.budgetOf(g)
		if evicted := len(m.evictedJobs(g)); ok && evicted > max(1, budget.limit(m.runningJobs(g)+evicted)) {
			m.t.Fatalf("%s: %d jobs are disrupted by evictions, more than the budget", g, evicted)
		}
	}
}

// machine returns the view of a machine.
func (m *model) machine(name string) Machine {
	if _, exists := m.machines[name]; !exists {
		return Machine{Name: name, Gone: true}
	}
	machine := Machine{Name: name}
	for _, t := range m.tasks {
		if t.machine == name {
			machine.Tasks = append(machine.Tasks, Task{Job: t.job, Index: t.index, RemainingRun: t.remaining, LostProgress: t.unsavedProgress(), Slack: time.Hour, FitsElsewhere: true})
		}
	}
	machine.Empty = len(machine.Tasks) == 0
	return machine
}

func (m *model) view(plan *Controller) *View {
	record, _ := plan.Record()
	v := &View{Now: m.now, WallMS: m.now.Milliseconds(), MayDisrupt: m.now-m.leaderSince >= modelWindow, RunningJobs: m.runningJobs, Rented: m.rented[record.ScaleOutRequestID]}
	for _, name := range slices.Sorted(maps.Keys(m.machines)) {
		if !m.machines[name] && !slices.Contains(record.Batch, name) {
			v.Candidates = append(v.Candidates, m.machine(name))
		}
	}
	for _, name := range record.Batch {
		v.Batch = append(v.Batch, m.machine(name))
	}
	for _, name := range record.Replacements {
		_, exists := m.machines[name]
		v.Replacements = append(v.Replacements, Replacement{Name: name, HealthyFor: time.Minute, Failed: !exists})
	}
	return v
}

// step steps each plan and carries out its actions. It checks that a plan that does not advance
// has a wait reason.
func (m *model) step() {
	m.disruptions.Tick(m.now)
	for _, name := range slices.Sorted(maps.Keys(m.plans)) {
		plan := m.plans[name]
		for _, action := range plan.Step(m.view(plan)) {
			m.carryOut(plan, action)
		}
		record, _ := plan.Record()
		if !record.Phase.Ended() && plan.IsDurable() && len(plan.WaitReasons()) == 0 && record.Phase != PhaseDraining {
			m.t.Fatalf("plan %s in phase %s has no wait reason", name, record.Phase)
		}
	}
}

func (m *model) carryOut(plan *Controller, action Action) {
	if !plan.IsDurable() {
		m.t.Fatal("an action was returned before the record was durable")
	}
	switch a := action.(type) {
	case EvictTask:
		for _, t := range m.tasks {
			if t.job.ID == a.JobID && t.index == a.Task && t.machine == a.Machine {
				m.loseMachine(t, CauseEviction)
			}
		}
	case ReturnMachine:
		machine := m.machine(a.Machine)
		if len(machine.Tasks) > 0 || machine.Gone || m.machines[a.Machine] {
			m.t.Fatalf("machine %s was returned although it is not an empty drained machine: %+v", a.Machine, machine)
		}
		delete(m.machines, a.Machine)
	case RentReplacements:
		if m.rented[a.RequestID] != nil {
			return
		}
		for i := range a.Replaced {
			name := fmt.Sprintf("new-%s-%d", a.RequestID, i)
			m.machines[name] = true
			m.rented[a.RequestID] = append(m.rented[a.RequestID], name)
		}
	}
}

// save makes the records of all plans durable.
func (m *model) save() {
	for name, plan := range m.plans {
		record, generation := plan.Record()
		m.durable[name] = record
		plan.MarkDurable(generation)
	}
}

// failOver starts the term of a new leader, which continues from the durable records.
func (m *model) failOver() {
	m.disruptions, m.leaderSince = NewDisruptionTracker(modelBudgets()), m.now
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		m.plans[name] = NewController(m.durable[name], m.disruptions, m.isDone, m.now, m.now.Milliseconds())
	}
	for _, t := range m.tasks { // the agents send heartbeats to the new leader
		if t.machine != "" {
			m.disruptions.TaskRunning(t.job.ID, t.index, m.now)
		}
	}
}

func (m *model) isDone(jobID string, task int) bool {
	return !slices.ContainsFunc(m.tasks, func(t *modelTask) bool { return t.job.ID == jobID && t.index == task })
}

// tick advances the time by one tick: tasks run and finish, and waiting tasks are placed.
func (m *model) tick() {
	m.now += modelTick
	schedulable := slices.DeleteFunc(slices.Sorted(maps.Keys(m.machines)), m.cordoned)
	if len(schedulable) == 0 { // the autoscaler rents a machine for waiting tasks
		schedulable = []string{fmt.Sprintf("extra-%d", m.now/modelTick)}
		m.machines[schedulable[0]] = true
	}
	var unfinished []*modelTask
	for _, t := range m.tasks {
		if t.machine != "" {
			m.run(t)
		} else {
			t.machine, t.progress = schedulable[m.random.IntN(len(schedulable))], 0
			m.disruptions.TaskRunning(t.job.ID, t.index, m.now)
		}
		if t.remaining > 0 {
			unfinished = append(unfinished, t)
			continue
		}
		m.disruptions.TaskFinished(t.job.ID, t.index)
	}
	m.tasks = unfinished
}

// run advances a task by one tick.
func (m *model) run(t *modelTask) {
	t.progress, t.remaining = t.progress+modelTick, t.remaining-modelTick
	if t.disrupted && t.progress >= t.lostProgress {
		t.disrupted = false
	}
}

// crash removes a random machine, unless fewer than three are left.
func (m *model) crash() {
	names := slices.Sorted(maps.Keys(m.machines))
	if len(names) < 3 {
		return
	}
	name := names[m.random.IntN(len(names))]
	delete(m.machines, name)
	for _, t := range m.tasks {
		if t.machine == name {
			m.loseMachine(t, "crash")
		}
	}
}

// pauseOrResume pauses or resumes each plan at random.
func (m *model) pauseOrResume() {
	for _, name := range slices.Sorted(maps.Keys(m.plans)) {
		command := []Command{Pause, Resume}[m.random.IntN(2)]
		if err := m.plans[name].Apply(command, "", m.now.Milliseconds()); err != nil && !m.plans[name].record.Phase.Ended() {
			m.t.Fatal(err)
		}
	}
}

func (m *model) cordoned(machine string) bool {
	for _, plan := range m.plans {
		if plan.IsCordoned(machine) {
			return true
		}
	}
	return false
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, random: property.RapidChooser{T: t}, now: time.Minute, machines: map[string]bool{}, rented: map[string][]string{},
		plans: map[string]*Controller{}, durable: map[string]Record{}, disruptions: NewDisruptionTracker(modelBudgets())}
	for i := range 2 + m.random.IntN(5) {
		m.machines[fmt.Sprintf("old-%d", i)] = false
	}
	names := slices.Sorted(maps.Keys(m.machines))
	for i := range 2 + m.random.IntN(8) {
		job := Job{ID: fmt.Sprintf("job-%d", i), Team: []string{"a", "b"}[m.random.IntN(2)], Class: []string{"one", "many"}[m.random.IntN(2)]}
		for k := range 1 + m.random.IntN(3) {
			m.tasks = append(m.tasks, &modelTask{job: job, index: k, machine: names[m.random.IntN(len(names))],
				remaining: time.Duration(10+m.random.IntN(200)) * time.Second, checkpoints: m.random.IntN(2) == 0})
		}
	}
	for i := range 1 + m.random.IntN(2) {
		spec := Spec{Name: fmt.Sprintf("plan-%d", i), Zones: []string{"a"}, Canary: m.random.IntN(2), Batch: 1 + m.random.IntN(3), Surge: m.random.IntN(2) == 0, WaitS: float64(m.random.IntN(60)), CheckS: 1, HealthS: 600}
		m.durable[spec.Name] = Record{Version: RecordVersion, Spec: spec, CreatedMS: m.now.Milliseconds(), Phase: PhaseSelecting, PhaseMS: m.now.Milliseconds()}
	}
	m.failOver()
	return m
}

func (m *model) allEnded() bool {
	for _, plan := range m.plans {
		if !plan.record.Phase.Ended() {
			return false
		}
	}
	return true
}

// randomStep applies one random event.
func (m *model) randomStep() {
	switch m.random.IntN(12) {
	case 0: // the leader fails before its last write is durable
		m.failOver()
	case 1:
		m.save()
		m.failOver()
	case 2:
		m.crash()
	case 3:
		m.pauseOrResume()
	case 4, 5, 6:
		m.save()
	default:
		m.tick()
	}
}

// resumeAndAllowAll resumes each plan and allows all jobs to lose their progress.
func (m *model) resumeAndAllowAll() {
	for _, plan := range m.plans {
		if !plan.record.Phase.Ended() {
			if err := plan.Apply(Resume, "", m.now.Milliseconds()); err != nil {
				m.t.Fatal(err)
			}
		}
		for _, task := range m.tasks {
			plan.Apply(Allow, task.job.ID, m.now.Milliseconds())
		}
	}
}

// TestRollouts checks with random events that evictions never exceed a budget, that no action
// precedes its durable record, and that no machine is returned while it has a task. Once there are
// no more failures and all jobs may lose their progress, every plan must end with all its machines
// drained.
func TestRollouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range m.random.IntN(120) {
			m.randomStep()
			m.step()
		}
		m.resumeAndAllowAll()
		for range 3000 {
			if m.allEnded() {
				break
			}
			m.save()
			m.step()
			m.tick()
		}
		m.checkEnded()
	})
}

// checkEnded checks that every plan has ended, and that the plans that did not fail have drained
// all machines.
func (m *model) checkEnded() {
	for name, plan := range m.plans {
		if !plan.record.Phase.Ended() {
			m.t.Fatalf("plan %s has not ended: phase %s, wait reasons %v", name, plan.record.Phase, plan.WaitReasons())
		}
		if plan.record.Phase == PhaseFailed {
			continue // a replacement has crashed
		}
		for machine, isReplacement := range m.machines {
			if !isReplacement {
				m.t.Fatalf("plan %s has ended in phase %s, but machine %s still exists", name, plan.record.Phase, machine)
			}
		}
	}
}
