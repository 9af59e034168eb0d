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
		if c.jobs[j.ID] == nil {
			c.jobs[j.ID] = &checkedJob{job: j, canRun: canRun, done: map[string]bool{}}
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
	if status != wire.JobDone && status != wire.JobCancelled {
		if p, since := c.cancelledBefore(j); p != "" && asked.Sub(since) > c.limits.Cancel {
			c.breaks("orphaned", "%s is %s %s after %s was told as cancelled", ref, status, asked.Sub(since), p)
		}
		return
	}
	if j.told != "" && status != j.told {
		c.breaks("went_back", "%s: both %s and %s", ref, j.told, status)
	}
	if status == wire.JobDone && len(j.done) < j.job.Tasks {
		c.breaks("not_done", "%s: %d of %d", ref, len(j.done), j.job.Tasks)
	}
	if status == wire.JobCancelled && !c.cancelWanted(j) {
		c.breaks("went_back", "%s: cancelled by nobody", ref)
	}
	if j.told == "" {
		j.told, j.toldAt = status, time.Now()
	}
}

// ancestors calls f for all jobs that one needs, directly or through others.
func (c *Checker) ancestors(j *checkedJob, f func(ref string, p *checkedJob)) {
	seen := map[string]bool{}
	todo := slices.Clone(j.job.DependsOn)
	for len(todo) > 0 {
		ref := todo[0]
		todo = todo[1:]
		if p := c.jobs[ref]; p != nil && !seen[ref] {
			seen[ref] = true
			f(ref, p)
			todo = append(todo, p.job.DependsOn...)
		}
	}
}

// cancelledBefore is a job that another one needs and that was told as cancelled, the
// first of them, and since when.
func (c *Checker) cancelledBefore(j *checkedJob) (first string, since time.Time) {
	c.ancestors(j, func(ref string, p *checkedJob) {
		if p.told == wire.JobCancelled && (first == "" || p.toldAt.Before(since)) {
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
		if ref := wire.JobIDOfTask(t); ref != s.ID || t == task {
			continue
		}
		if o.zone == p.zone {
			inZone++
		} else if s.Gang {
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

// Job returns what was submitted under a ref; workers fetch it from the user.
func (c *Checker) Job(ref string) (j *wire.Job) {
	c.do(func() {
		if k := c.jobs[ref]; k != nil {
			j = k.job
		}
	})
	return j
}
