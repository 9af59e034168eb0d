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

// The model is a cluster: machines with tasks of two teams' jobs, plans that drain them, and a
// leader that fails at any moment, with or without its last write. It has the actual state: what
// runs where, and which jobs have tasks that have not regained their progress.

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
	machine string // "": it waits
	// ran is the run time that is not lost, left is what remains.
	progress, remaining time.Duration
	checkpoints         bool
	// disrupted means that it has lost its machine and has not regained lostProgress yet, and
	// evicted that this was by a plan.
	disrupted, evicted bool
	lostProgress       time.Duration
}

// unsavedProgress is the progress that the task would lose by losing its machine now.
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
	// machines are those that exist; true: replacements that a plan rented.
	machines map[string]bool
	tasks    []*modelTask
	rented   map[string][]string // by request

	disruptions *DisruptionTracker
	plans       map[string]*Controller
	durable     map[string]Record
	// leaderSince is when the current leader began.
	leaderSince time.Duration
}

// groupsOf are the groups whose budgets hold for a job. It is written apart from Job.groups, which
// is under test.
func groupsOf(j Job) []Group { return []Group{TeamGroup(j.Team), ClassGroup(j.Class)} }

func (m *model) runningJobs(g Group) int {
	jobs := map[string]bool{}
	for _, t := range m.tasks {
		if t.machine != "" && slices.Contains(groupsOf(t.job), g) {
			jobs[t.job.ID] = true
		}
	}
	return len(jobs)
}

// evictedJobs are the jobs of a group that are in fact disrupted by evictions.
func (m *model) evictedJobs(g Group) map[string]bool {
	jobs := map[string]bool{}
	for _, t := range m.tasks {
		if t.disrupted && t.evicted && slices.Contains(groupsOf(t.job), g) {
			jobs[t.job.ID] = true
		}
	}
	return jobs
}

// loseMachine takes a task off its machine.
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
		if n := len(m.evictedJobs(g)); ok && n > max(1, budget.limit(m.runningJobs(g)+n)) {
			m.t.Fatalf("%s: %d jobs are disrupted by evictions", g, n)
		}
	}
}

// machine is a machine as the plans see it.
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

func (m *model) view(r *Controller) *View {
	record, _ := r.Record()
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

// step takes a step of each plan and carries out its actions.
func (m *model) step() {
	m.disruptions.Tick(m.now)
	for _, name := range slices.Sorted(maps.Keys(m.plans)) {
		plan := m.plans[name]
		for _, action := range plan.Step(m.view(plan)) {
			m.carryOut(plan, action)
		}
		record, _ := plan.Record()
		if !record.Phase.Ended() && plan.IsDurable() && len(plan.WaitReasons()) == 0 && record.Phase != PhaseDraining {
			m.t.Fatalf("plan %s is %s and waits for nothing", name, record.Phase)
		}
	}
}

func (m *model) carryOut(plan *Controller, action Action) {
	if !plan.IsDurable() {
		m.t.Fatal("an action is returned before the record is durable")
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
			m.t.Fatalf("%s is returned: %+v", a.Machine, machine)
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

// failOver begins the term of a new leader, from the durable records.
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

// tick lets a second pass: tasks run and finish, and waiting ones are placed.
func (m *model) tick() {
	m.now += modelTick
	open := slices.DeleteFunc(slices.Sorted(maps.Keys(m.machines)), m.cordoned)
	if len(open) == 0 { // the autoscaler rents a machine for waiting tasks
		open = []string{fmt.Sprintf("extra-%d", m.now/modelTick)}
		m.machines[open[0]] = true
	}
	var unfinished []*modelTask
	for _, t := range m.tasks {
		if t.machine != "" {
			m.run(t)
		} else {
			t.machine, t.progress = open[m.random.IntN(len(open))], 0
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

// run lets a task run for a tick.
func (m *model) run(t *modelTask) {
	t.progress, t.remaining = t.progress+modelTick, t.remaining-modelTick
	if t.disrupted && t.progress >= t.lostProgress {
		t.disrupted = false
	}
}

// crash has a machine fail, unless there are too few.
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

// pauseOrResume has the operator pause or resume each plan.
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

// randomStep lets one random thing happen.
func (m *model) randomStep() {
	switch m.random.IntN(12) {
	case 0: // the leader's last write is lost with it
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

// resumeAndAllowAll has the operator resume each plan and allow all jobs to lose their progress.
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

// TestRollouts: evictions never exceed a budget, nothing is done before it is recorded, and no
// machine is returned with a task on it. Once there are no more failures and the operator allows
// jobs to lose their progress, every plan ends with all its machines gone.
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

// checkEnded checks that every plan has ended and that those which did not fail have drained all
// machines.
func (m *model) checkEnded() {
	for name, plan := range m.plans {
		if !plan.record.Phase.Ended() {
			m.t.Fatalf("plan %s has not ended: %s, %v", name, plan.record.Phase, plan.WaitReasons())
		}
		if plan.record.Phase == PhaseFailed {
			continue // a replacement has crashed
		}
		for machine, isReplacement := range m.machines {
			if !isReplacement {
				m.t.Fatalf("plan %s is %s, and machine %s exists", name, plan.record.Phase, machine)
			}
		}
	}
}
