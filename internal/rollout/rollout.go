package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The times of draining.
const (
	// endsSoon is what a task may have left to be left to end.
	endsSoon = 30 * time.Second
	// littleWork is how long a task may have run to lose no work worth waiting for.
	littleWork = 5 * time.Second
	// roomPatience is how long a move waits for room elsewhere. Then the task waits for a
	// machine to be hired.
	roomPatience = 30 * time.Second
	// moveTakes is what a move is reckoned to take of a job's slack, beside lost progress.
	moveTakes = 30 * time.Second
)

// HirePrefix begins the names of the requests for replacements.
const HirePrefix = "drain-"

// Task is a task on a machine of a plan.
type Task struct {
	Job   Job
	Index int
	// Left is how long it is expected to run on, and Lost the progress that it would lose.
	Left, Lost time.Duration
	// Slack is the time that the job has, with all that wait for it.
	Slack    time.Duration
	Stopping bool
	// HasRoom tells whether there is room for it elsewhere.
	HasRoom bool
}

// Machine is a machine of a plan.
type Machine struct {
	Name  string
	Tasks []Task
	// Empty is proved: no task is there, and no start may still act.
	Empty bool
	// Gone: it is no more.
	Gone bool
}

func (m *Machine) lost() (sum time.Duration) {
	for _, t := range m.Tasks {
		sum += t.Lost
	}
	return sum
}

// Replacement is a machine that was hired ahead.
type Replacement struct {
	Name string
	// Healthy is how long it has been up without a fault; 0: it is not up yet.
	Healthy time.Duration
	Failed  bool
}

// View is what the rollout is told of the world.
type View struct {
	Now    time.Duration
	WallMS int64
	// MayMove: what an earlier leader may have done is known, so that jobs may be disrupted.
	MayMove bool
	// Candidates are the machines that the plan selects, without those of the batch.
	Candidates   []Machine
	Batch        []Machine
	Hired        []string // what the request for replacements has brought; nil: nothing yet
	Replacements []Replacement
	Running      func(Group) int
}

// Act is something to be done. Each may be asked for again until it shows.
type Act interface{ isAct() }

func (MoveTask) isAct()      {}
func (ReturnMachine) isAct() {}
func (HireAhead) isAct()     {}

// The acts.
type (
	// MoveTask has a task stopped, after it has saved its progress.
	MoveTask struct {
		Machine, Ref string
		Task         int
	}
	// ReturnMachine has an empty machine returned.
	ReturnMachine struct{ Machine string }
	// HireAhead has replacements of machines hired under a name that is used once.
	HireAhead struct {
		Request string
		Like    []string
	}
)

// Rollout is a plan under way. Its record is written before anything is done for it.
type Rollout struct {
	record  Record
	account *Account
	// generation counts the changes of the record; saved is the one that is durable.
	generation, saved uint64
	waits             []string
}

// NewRollout begins a plan, or goes on with one. Its moves are charged to the account; done
// tells of a task that has ended since: nobody will report it any more.
func NewRollout(r Record, account *Account, done func(ref string, task int) bool, now time.Duration, wallMS int64) *Rollout {
	for _, m := range r.Moves {
		ago := max(0, time.Duration(wallMS-m.BeganMS)*time.Millisecond)
		account.Lose(Job{m.Ref, m.Team, m.Class}, m.Task, time.Duration(m.LostMS)*time.Millisecond, Move, now-ago)
		if done(m.Ref, m.Task) {
			account.Ends(m.Ref, m.Task, now)
		}
	}
	return &Rollout{record: r, account: account}
}

// Begin has the record of a plan that is new written.
func (r *Rollout) Begin() { r.changed() }

// Record is the plan's record, and its generation.
func (r *Rollout) Record() (Record, uint64) { return r.record, r.generation }

// Saved notes that a generation of the record is durable.
func (r *Rollout) Saved(generation uint64) { r.saved = max(r.saved, generation) }

// Durable tells whether the record is.
func (r *Rollout) Durable() bool { return r.saved == r.generation }

// Waits tells what the plan waits for, in words.
func (r *Rollout) Waits() []string { return r.waits }

// Cordons tells whether nothing may start on a machine for the plan's sake.
func (r *Rollout) Cordons(machine string) bool {
	if slices.Contains(r.record.Skipped, machine) {
		return false
	}
	return (r.record.Phase == Draining || r.record.Phase == Checking) && slices.Contains(r.record.Batch, machine)
}

// Keeps tells whether a machine was hired for the plan's present step.
func (r *Rollout) Keeps(machine string) bool {
	return !r.record.Phase.Over() && slices.Contains(r.record.Replacements, machine)
}

// changed has the record written.
func (r *Rollout) changed() { r.generation++ }

func (r *Rollout) enter(p Phase, wallMS int64) {
	r.record.Phase, r.record.PhaseMS = p, wallMS
	r.changed()
}

// end ends the plan: nothing is cordoned for it any more.
func (r *Rollout) end(p Phase, why string, wallMS int64) {
	r.record.Why, r.record.Batch, r.record.Replacements, r.record.Hire = why, nil, nil, ""
	r.enter(p, wallMS)
}

func (r *Rollout) wait(format string, args ...any) {
	r.waits = append(r.waits, fmt.Sprintf(format, args...))
}

// since is how long the phase has lasted.
func (r *Rollout) since(v *View) time.Duration {
	return max(0, time.Duration(v.WallMS-r.record.PhaseMS)*time.Millisecond)
}

// Step goes on with the plan as far as it can; the account has been told the time before. What it returns is to be done; if the record
// has changed, nothing is, and the step comes again when that is durable.
func (r *Rollout) Step(v *View) []Act {
	r.waits = nil
	if r.record.Phase.Over() {
		r.prune()
		return nil
	}
	if !r.Durable() {
		r.wait("the plan's record to be written")
		return nil
	}
	r.prune()
	if over := time.Duration(v.WallMS-r.record.CreatedMS) * time.Millisecond; r.record.Spec.DeadlineS > 0 && !r.record.Paused && over > seconds(r.record.Spec.DeadlineS) {
		r.record.Paused, r.record.Why = true, "the plan's deadline is over"
		r.record.Spec.DeadlineS = 0 // once resumed, it has none
		r.changed()
	}
	if r.record.Paused {
		r.wait("to be resumed (%s)", cmp.Or(r.record.Why, "paused by an operator"))
		return nil
	}
	var acts []Act
	switch r.record.Phase {
	case Choosing:
		r.choose(v)
	case Hiring:
		acts = r.hire(v)
	case Draining:
		acts = r.drain(v)
	case Checking:
		r.check(v)
	}
	if !r.Durable() {
		return nil
	}
	return acts
}

// prune drops moves of jobs that count no longer.
func (r *Rollout) prune() {
	n := len(r.record.Moves)
	r.record.Moves = slices.DeleteFunc(slices.Clone(r.record.Moves), func(m MoveRecord) bool { return r.account.jobs[m.Ref] == nil })
	if len(r.record.Moves) != n {
		r.changed()
	}
}

// choose takes the next batch: the machines on which the least work would be lost.
func (r *Rollout) choose(v *View) {
	if !v.MayMove {
		r.wait("all machines to be heard of since the leader began")
		return
	}
	left := slices.DeleteFunc(slices.Clone(v.Candidates), func(m Machine) bool { return m.Gone || slices.Contains(r.record.Skipped, m.Name) })
	if len(left) == 0 {
		r.end(Finished, "no machine is left", v.WallMS)
		return
	}
	slices.SortStableFunc(left, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.lost(), b.lost()), cmp.Compare(len(a.Tasks), len(b.Tasks)), strings.Compare(a.Name, b.Name))
	})
	r.record.Batch = nil
	for _, m := range left[:r.record.Spec.size(r.record.Step, len(left))] {
		r.record.Batch = append(r.record.Batch, m.Name)
	}
	r.record.Step++
	r.record.Replacements, r.record.Hire = nil, ""
	if r.record.Spec.Surge {
		r.record.Hire = HirePrefix + fmt.Sprintf("%s-%d-%d", r.record.Spec.Name, r.record.CreatedMS, r.record.Step)
		r.enter(Hiring, v.WallMS)
		return
	}
	r.enter(Draining, v.WallMS)
}

// hire waits for the replacements.
func (r *Rollout) hire(v *View) []Act {
	if len(r.record.Replacements) == 0 && len(v.Hired) > 0 {
		r.record.Replacements = slices.Clone(v.Hired)
		r.changed()
		return nil
	}
	healthy := 0
	for _, m := range v.Replacements {
		if m.Failed {
			r.end(Failed, "replacement "+m.Name+" has failed", v.WallMS)
			return nil
		}
		if m.Healthy > 0 && m.Healthy >= seconds(r.record.Spec.CheckS) {
			healthy++
		}
	}
	if healthy >= len(r.record.Batch) {
		r.enter(Draining, v.WallMS)
		return nil
	}
	if r.since(v) > seconds(r.record.Spec.HealthS) {
		r.end(Failed, fmt.Sprintf("%d of %d replacements are healthy after health_s", healthy, len(r.record.Batch)), v.WallMS)
		return nil
	}
	r.wait("replacements: %d of %d are healthy", healthy, len(r.record.Batch))
	return []Act{HireAhead{r.record.Hire, r.record.Batch}}
}

// drain empties the batch.
func (r *Rollout) drain(v *View) (acts []Act) {
	gone := 0
	for i := range v.Batch {
		m := &v.Batch[i]
		switch {
		case m.Gone:
			gone++
		case slices.Contains(r.record.Skipped, m.Name):
			gone++
		case m.Empty:
			acts = append(acts, ReturnMachine{m.Name})
			r.wait("%s to be gone", m.Name)
		default:
			acts = append(acts, r.empty(v, m)...)
		}
	}
	if gone < len(v.Batch) {
		return acts
	}
	r.record.Drained += gone
	r.enter(Checking, v.WallMS)
	return nil
}

// empty goes on with emptying one machine.
func (r *Rollout) empty(v *View, m *Machine) (acts []Act) {
	for i := range m.Tasks {
		t := &m.Tasks[i]
		switch {
		case t.Stopping:
			r.wait("%s/%d on %s to stop", t.Job.Ref, t.Index, m.Name)
		case r.moves(m.Name, t):
			// Charged anew: an earlier leader may have recorded it, and it ran on.
			r.account.Lose(t.Job, t.Index, t.Lost, Move, v.Now)
			acts = append(acts, MoveTask{m.Name, t.Job.Ref, t.Index})
		default:
			if why := r.against(v, t); why != "" {
				r.wait("%s/%d on %s: %s", t.Job.Ref, t.Index, m.Name, why)
				continue
			}
			r.move(v, m, t)
		}
	}
	if len(m.Tasks) == 0 {
		r.wait("%s to prove that it is empty", m.Name)
	}
	return acts
}

// moves tells whether the record has a move of a task off a machine.
func (r *Rollout) moves(machine string, t *Task) bool {
	return slices.ContainsFunc(r.record.Moves, func(m MoveRecord) bool {
		return m.Ref == t.Job.Ref && m.Task == t.Index && m.Machine == machine
	})
}

// move charges the account and records a task's move; it is told to stop once that is
// durable.
func (r *Rollout) move(v *View, m *Machine, t *Task) {
	r.account.Lose(t.Job, t.Index, t.Lost, Move, v.Now)
	r.record.Moves = append(slices.Clone(r.record.Moves), MoveRecord{Ref: t.Job.Ref, Team: t.Job.Team, Class: t.Job.Class, Task: t.Index,
		Machine: m.Name, LostMS: t.Lost.Milliseconds(), BeganMS: v.WallMS})
	r.changed()
}

// against tells what stands against moving a task now; "": nothing.
func (r *Rollout) against(v *View, t *Task) string {
	waited := r.since(v)
	patient := waited < seconds(r.record.Spec.WaitS)
	allowed := slices.Contains(r.record.Allowed, t.Job.Ref)
	switch {
	case t.Left <= endsSoon && patient:
		return "it ends soon"
	case t.Lost > littleWork && !allowed && patient:
		return fmt.Sprintf("it can't save its progress and is left to end for %s", (seconds(r.record.Spec.WaitS) - waited).Round(time.Second))
	case t.Lost > littleWork && !allowed:
		return "it can't save its progress: allow the job, skip the machine, or abort"
	case t.Slack < t.Lost+moveTakes && t.Left < t.Slack+t.Lost+moveTakes && patient && !allowed:
		return "its job's deadline, or that of one that waits for it, is near"
	case !t.HasRoom && waited < roomPatience:
		return "there is no room for it elsewhere yet"
	case !v.MayMove:
		return "all machines are to be heard of since the leader began"
	case len(r.record.Moves) >= maxMoves:
		return "there are as many moves as are recorded at once"
	}
	if ok, why := r.account.May(t.Job, v.Running, v.Now); !ok {
		return why
	}
	return ""
}

// check waits until the step is healthy.
func (r *Rollout) check(v *View) {
	for _, m := range r.record.Moves {
		if r.account.Disrupted(m.Ref) {
			r.wait("%s to be whole again", m.Ref)
		}
	}
	for _, m := range v.Replacements {
		if m.Failed {
			r.end(Failed, "replacement "+m.Name+" has failed", v.WallMS)
			return
		}
		if m.Healthy == 0 {
			r.wait("replacement %s to be healthy", m.Name)
		}
	}
	switch {
	case len(r.waits) == 0:
		r.record.Batch = nil
		r.enter(Choosing, v.WallMS)
	case r.since(v) > seconds(r.record.Spec.HealthS):
		r.end(Failed, "not healthy after health_s: "+strings.Join(r.waits, ", "), v.WallMS)
	}
}
