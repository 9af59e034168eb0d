package fake

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"leadproxy/internal/wire"
)

// Limits is what the checker holds the service to.
type Limits struct {
	Cancel time.Duration      // a cancelled job's tasks are gone after that
	CPUs   map[string]float64 // a team's limit; none: no limit
	// Waiting is how long a job may wait, once troubles are over, while there is
	// room for it, and Silent how long no question about it may be answered.
	Waiting, Silent time.Duration
	// MayRepeat tells of a class whether its jobs may run again after an uncertain run;
	// nil: none may.
	MayRepeat func(class string) bool
}

// Checker holds what users were told and what machines ran against the rules of
// the protocol. It knows the truth; the service does not know it.
type Checker struct {
	actor
	limits Limits
	jobs   map[string]*checkedJob
	on     map[string]place // task -> the machine it is on
	broken []string
	// lateStarts counts starts after the confirmation of a cancellation, which may
	// just have been on their way.
	lateStarts int
	runs       []Run
	progress   map[string]time.Duration // of tasks that were stopped and had saved it
}

// Saves notes that a task that is stopped has saved its progress, and Progress is what it
// goes on with.
func (c *Checker) Saves(task string, ran time.Duration) {
	c.do(func() { c.progress[task] = ran })
}

// Progress is what a task has saved.
func (c *Checker) Progress(task string) (ran time.Duration) {
	c.do(func() { ran = c.progress[task] })
	return ran
}

// Run is one stay of a task on a machine.
type Run struct {
	Task, Machine string
	Began         time.Time
	Ended         time.Time     // zero while it is there
	Saved         time.Duration // the progress that it began with
	Completed     bool
}

// Runs lists all stays of tasks on machines, in the order in which they began.
func (c *Checker) Runs() (runs []Run) {
	c.do(func() { runs = slices.Clone(c.runs) })
	return runs
}

// ended notes the end of a task's stay on a machine.
func (c *Checker) ended(task, machine string, completed bool) {
	for i := len(c.runs) - 1; i >= 0; i-- {
		if r := &c.runs[i]; r.Task == task && r.Machine == machine {
			r.Ended, r.Completed = time.Now(), completed
			return
		}
	}
}

type checkedJob struct {
	job       *wire.Job
	canRun    bool
	accepted  time.Time // when a user first heard so
	cancelled time.Time // when a user first asked for it
	told      string    // the terminal state that a user has heard
	toldAt    time.Time
	unheard   time.Time // when the first question was asked that nobody has answered since
	asked     time.Time // when the last question was asked
	done      map[string]bool
	roomSince time.Time // since when it has waited although there was room
}

// place is where a task is.
type place struct {
	machine string
	typ     string
	zone    string
	spot    bool
}

// NewChecker starts a checker.
func NewChecker(t testing.TB, l Limits) *Checker {
	return &Checker{actor: newActor(t), limits: l, jobs: map[string]*checkedJob{}, on: map[string]place{}, progress: map[string]time.Duration{}}
}

// Broken lists the rules that were broken, in order.
func (c *Checker) Broken() (broken []string) {
	c.do(func() { broken = slices.Clone(c.broken) })
	return broken
}

func (c *Checker) breaks(rule, format string, args ...any) {
	c.broken = append(c.broken, rule+": "+fmt.Sprintf(format, args...))
}

// Submits notes that a user sends a job, and whether it can run.
func (c *Checker) Submits(j *wire.Job, canRun bool) {
	c.do(func() {
		if c.jobs[j.Ref] == nil {
			c.jobs[j.Ref] = &checkedJob{job: j, canRun: canRun, done: map[string]bool{}}
		}
	})
}

// Cancels notes that a user asks for a job's cancellation.
func (c *Checker) Cancels(ref string) {
	c.do(func() {
		if j := c.jobs[ref]; j != nil && j.cancelled.IsZero() {
			j.cancelled = time.Now()
		}
	})
}

// Asked is what a user asked for.
type Asked int

// What users ask for.
const (
	AskedSubmit Asked = iota
	AskedStatus
	AskedCancel
)

// Asks notes that a user asks something about a job.
func (c *Checker) Asks(ref string) {
	c.do(func() {
		if j := c.jobs[ref]; j != nil {
			j.asked = time.Now()
			if j.unheard.IsZero() {
				j.unheard = j.asked
			}
		}
	})
}

// Answered notes an answer to a user: what was asked when, and what came.
func (c *Checker) Answered(what Asked, ref string, asked time.Time, code int, status string) {
	c.do(func() {
		now := time.Now()
		j := c.jobs[ref]
		if j == nil {
			if code == 200 || code == 201 {
				c.breaks("invented", "%s: %d %s", ref, code, status)
			}
			return
		}
		// A request takes a while to be heard: what was told at the moment when it
		// was sent came before it.
		known := !j.accepted.IsZero() && !j.accepted.After(asked)
		switch {
		case code == 200 || code == 201:
			if !j.canRun {
				c.breaks("accepted_unfit", "%s can't run or lacks a field: %d", ref, code)
			}
			if j.accepted.IsZero() {
				j.accepted = now
			}
			j.unheard = time.Time{}
			c.tells(ref, j, asked, status)
		case code == 404:
			j.unheard = time.Time{}
			if known {
				c.breaks("forgotten", "%s: 404", ref)
			}
		case what == AskedSubmit && (code == 400 || code == 422):
			if known {
				c.breaks("forgotten", "%s: its repetition got %d", ref, code)
			} else if j.canRun {
				c.breaks("refused_fit", "%s: %d", ref, code)
			}
		}
	})
}

func (c *Checker) tells(ref string, j *checkedJob, asked time.Time, status string) {
	if j.told != "" && !j.toldAt.After(asked) && status != j.told {
		c.breaks("went_back", "%s: %s after %s", ref, status, j.told)
	}
	if status != wire.Done && status != wire.Aborted {
		if p, since := c.cancelledBefore(j); p != "" && asked.Sub(since) > c.limits.Cancel {
			c.breaks("orphaned", "%s is %s %s after %s was told as cancelled", ref, status, asked.Sub(since), p)
		}
		return
	}
	if j.told != "" && status != j.told {
		c.breaks("went_back", "%s: both %s and %s", ref, j.told, status)
	}
	if status == wire.Done && len(j.done) < j.job.Tasks {
		c.breaks("not_done", "%s: %d of %d", ref, len(j.done), j.job.Tasks)
	}
	if status == wire.Aborted && !c.cancelWanted(j) {
		c.breaks("went_back", "%s: cancelled by nobody", ref)
	}
	if j.told == "" {
		j.told, j.toldAt = status, time.Now()
	}
}

// ancestors calls f for all jobs that one needs, directly or through others.
func (c *Checker) ancestors(j *checkedJob, f func(ref string, p *checkedJob)) {
	seen := map[string]bool{}
	todo := slices.Clone(j.job.WaitsOn)
	for len(todo) > 0 {
		ref := todo[0]
		todo = todo[1:]
		if p := c.jobs[ref]; p != nil && !seen[ref] {
			seen[ref] = true
			f(ref, p)
			todo = append(todo, p.job.WaitsOn...)
		}
	}
}

// cancelledBefore is a job that another one needs and that was told as cancelled, the
// first of them, and since when.
func (c *Checker) cancelledBefore(j *checkedJob) (first string, since time.Time) {
	c.ancestors(j, func(ref string, p *checkedJob) {
		if p.told == wire.Aborted && (first == "" || p.toldAt.Before(since)) {
			first, since = ref, p.toldAt
		}
	})
	return first, since
}

// cancelWanted tells whether a user has asked to cancel a job or one that it needs.
func (c *Checker) cancelWanted(j *checkedJob) bool {
	wanted := !j.cancelled.IsZero()
	c.ancestors(j, func(_ string, p *checkedJob) { wanted = wanted || !p.cancelled.IsZero() })
	return wanted
}

// cancelDue tells whether a job's tasks must be gone.
func (c *Checker) cancelDue(j *checkedJob) bool {
	return j.told == wire.Aborted && time.Since(j.toldAt) > c.limits.Cancel
}

// Begins notes that a task is on a machine from now on.
func (c *Checker) Begins(task, machine, typ, zone string, spot bool) {
	c.do(func() {
		ref, _, _ := wire.SplitTask(task)
		j := c.jobs[ref]
		if j == nil {
			c.breaks("invented", "%s started and was never submitted", task)
			return
		}
		if p, ok := c.on[task]; ok && (c.limits.MayRepeat == nil || !c.limits.MayRepeat(j.job.Class)) {
			c.breaks("ran_twice", "%s starts on %s while on %s", task, machine, p.machine)
		}
		c.ancestors(j, func(ref string, p *checkedJob) {
			if len(p.done) < p.job.Tasks {
				c.breaks("too_early", "%s starts, and %s has %d of %d done", task, ref, len(p.done), p.job.Tasks)
			}
		})
		if j.told == wire.Aborted {
			c.lateStarts++
			if c.cancelDue(j) {
				c.breaks("ran_cancelled", "%s starts %s after the confirmation", task, time.Since(j.toldAt))
			}
		}
		c.place(task, j, place{machine, typ, zone, spot})
		c.on[task] = place{machine, typ, zone, spot}
		c.runs = append(c.runs, Run{Task: task, Machine: machine, Began: time.Now(), Saved: c.progress[task]})
		c.quota(j.job.Team)
	})
}

// LateStarts is how many tasks started after their job's cancellation was
// confirmed, each perhaps just on its way then.
func (c *Checker) LateStarts() (n int) {
	c.do(func() { n = c.lateStarts })
	return n
}

func (c *Checker) place(task string, j *checkedJob, p place) {
	s := j.job
	wrong := ""
	switch {
	case s.Types != nil && !slices.Contains(s.Types, p.typ):
		wrong = "type " + p.typ
	case s.Zone != nil && *s.Zone != p.zone:
		wrong = "zone " + p.zone
	case p.spot && !s.Spot:
		wrong = "a spot machine"
	}
	inZone := 1
	for t, o := range c.on {
		if ref, _, _ := wire.SplitTask(t); ref != s.Ref || t == task {
			continue
		}
		if o.zone == p.zone {
			inZone++
		} else if s.OneZone {
			wrong = "zone " + p.zone + " while another task is in " + o.zone
		}
	}
	if s.Spread && inZone > (s.Tasks+1)/2 {
		wrong = fmt.Sprintf("%d of %d tasks in zone %s", inZone, s.Tasks, p.zone)
	}
	if wrong != "" {
		c.breaks("wrong_place", "%s on %s: %s", task, p.machine, wrong)
	}
}

func (c *Checker) quota(team string) {
	limit := c.limits.CPUs[team]
	if limit == 0 {
		return
	}
	used := 0.0
	for t := range c.on {
		ref, _, _ := wire.SplitTask(t)
		if j := c.jobs[ref]; j != nil && j.job.Team == team {
			used += j.job.CPUs
		}
	}
	if used > limit+1e-9 {
		c.breaks("quota", "%s uses %v of %v", team, used, limit)
	}
}

// Ends notes that a task is no longer on a machine, and whether it has completed.
func (c *Checker) Ends(task, machine string, completed bool) {
	c.do(func() {
		if c.on[task].machine == machine {
			c.stays(task)
			delete(c.on, task)
		}
		c.ended(task, machine, completed)
		ref, _, _ := wire.SplitTask(task)
		if j := c.jobs[ref]; completed && j != nil {
			j.done[task] = true
		}
	})
}

// stays looks at a task that is still on its machine.
func (c *Checker) stays(task string) {
	ref, _, _ := wire.SplitTask(task)
	if j := c.jobs[ref]; j != nil && c.cancelDue(j) {
		c.breaks("ran_cancelled", "%s is on %s %s after the confirmation", task, c.on[task].machine, time.Since(j.toldAt))
		j.toldAt = time.Now() // once is enough
	}
}

// Room is what a machine that works has free.
type Room struct {
	Type, Zone  string
	Spot        bool
	CPUs, MemGB float64
}

// Renewed notes that an answer has renewed a worker's lease. Tasks in its report whose job
// was told as cancelled before that was sent must be stopped by it: else they would live on
// by such answers, which the time alone tells only much later.
func (c *Checker) Renewed(machine string, sent time.Time, tasks []wire.TaskReport, orders []wire.Order) {
	c.do(func() {
		for i := range tasks {
			t := &tasks[i]
			ref, _, _ := wire.SplitTask(t.Task)
			j := c.jobs[ref]
			if t.Status == wire.TaskEnded || j == nil || j.told != wire.Aborted || j.toldAt.After(sent) {
				continue
			}
			if !slices.ContainsFunc(orders, func(o wire.Order) bool { return o.Verb == wire.Stop && o.Attempt == t.Attempt }) {
				c.breaks("renewed_without_stop", "%s of %s, %s after the confirmation", t.Task, machine, sent.Sub(j.toldAt))
			}
		}
	})
}

// Look is called now and then. It looks at tasks that go on, and, when troubles
// have been over since calm, at jobs that are left waiting although there is room,
// and at those about which no question is answered. calm is zero in troubles.
func (c *Checker) Look(calm time.Time, rooms []Room) {
	c.LookAt(calm, rooms, func(string) bool { return true })
}

// LookAt is Look for the jobs of one cell alone, and its rooms.
func (c *Checker) LookAt(calm time.Time, rooms []Room, owns func(ref string) bool) {
	c.do(func() {
		for task := range c.on {
			c.stays(task)
		}
		if calm.IsZero() {
			return
		}
		for ref, j := range c.jobs {
			if j.accepted.IsZero() || !owns(ref) {
				continue
			}
			if silent := j.asked.Sub(later(j.unheard, calm)); !j.unheard.IsZero() && silent > c.limits.Silent {
				c.breaks("forgotten", "%s: no question answered for %s", ref, silent)
				j.unheard = time.Now()
			}
			if !c.waits(ref, j) || !c.hasRoom(j, rooms) {
				j.roomSince = time.Time{}
				continue
			}
			if j.roomSince.IsZero() {
				j.roomSince = time.Now()
			}
			if time.Since(j.roomSince) > c.limits.Waiting {
				c.breaks("left_waiting", "%s: %d of %d done, room for %s", ref, len(j.done), j.job.Tasks, time.Since(j.roomSince))
				j.roomSince = time.Now()
			}
		}
	})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// waits tells whether tasks of a job that should run are on no machine.
func (c *Checker) waits(ref string, j *checkedJob) bool {
	if j.told != "" || c.cancelWanted(j) {
		return false
	}
	blocked := false
	c.ancestors(j, func(_ string, p *checkedJob) { blocked = blocked || len(p.done) < p.job.Tasks })
	if blocked {
		return false
	}
	there := len(j.done)
	for t := range c.on {
		if r, _, _ := wire.SplitTask(t); r == ref && !j.done[t] {
			there++
		}
	}
	return there < j.job.Tasks
}

func (c *Checker) hasRoom(j *checkedJob, rooms []Room) bool {
	s := j.job
	if limit := c.limits.CPUs[s.Team]; limit > 0 {
		used := s.CPUs
		for t := range c.on {
			ref, _, _ := wire.SplitTask(t)
			if o := c.jobs[ref]; o != nil && o.job.Team == s.Team {
				used += o.job.CPUs
			}
		}
		if used > limit {
			return false
		}
	}
	return slices.ContainsFunc(rooms, func(r Room) bool {
		return (s.Types == nil || slices.Contains(s.Types, r.Type)) && (s.Zone == nil || *s.Zone == r.Zone) &&
			(s.Spot || !r.Spot) && s.CPUs <= r.CPUs && s.MemGB <= r.MemGB
	})
}

// Open lists the accepted jobs that are neither done nor cancelled for all that a
// user has heard.
func (c *Checker) Open() (refs []string) {
	c.do(func() {
		for ref, j := range c.jobs {
			if !j.accepted.IsZero() && j.told == "" {
				refs = append(refs, ref)
			}
		}
	})
	slices.Sort(refs)
	return refs
}

// On is how many tasks of a job, or of all with "", are on machines, and Done how
// many have completed.
func (c *Checker) On(ref string) (on, done int) {
	c.do(func() {
		for t := range c.on {
			if r, _, _ := wire.SplitTask(t); ref == "" || r == ref {
				on++
			}
		}
		for r, j := range c.jobs {
			if ref == "" || r == ref {
				done += len(j.done)
			}
		}
	})
	return on, done
}

// Job returns what was submitted under a ref; workers fetch it from the user.
func (c *Checker) Job(ref string) (j *wire.Job) {
	c.do(func() {
		if k := c.jobs[ref]; k != nil {
			j = k.job
		}
	})
	return j
}
