package fake

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

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

// cancelDue tells whether a job's tasks must be gone.
func (c *Checker) cancelDue(j *checkedJob) bool {
	return j.told == wire.JobCancelled && time.Since(j.toldAt) > c.limits.Cancel
}

// Begins notes that a task is on a machine from now on.
func (c *Checker) Begins(task, machine, typ, zone string, spot bool) {
	c.do(func() {
		ref := wire.JobIDOfTask(task)
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
		if j.told == wire.JobCancelled {
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

func (c *Checker) quota(team string) {
	limit := c.limits.CPUs[team]
	if limit == 0 {
		return
	}
	used := 0.0
	for t := range c.on {
		ref := wire.JobIDOfTask(t)
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
		ref := wire.JobIDOfTask(task)
		if j := c.jobs[ref]; completed && j != nil {
			j.done[task] = true
		}
	})
}

// stays looks at a task that is still on its machine.
func (c *Checker) stays(task string) {
	ref := wire.JobIDOfTask(task)
	if j := c.jobs[ref]; j != nil && c.cancelDue(j) {
		c.breaks("ran_cancelled", "%s is on %s %s after the confirmation", task, c.on[task].machine, time.Since(j.toldAt))
		j.toldAt = time.Now() // once is enough
	}
}

// Renewed notes that an answer has renewed a worker's lease. Tasks in its report whose job
// was told as cancelled before that was sent must be stopped by it: else they would live on
// by such answers, which the time alone tells only much later.
func (c *Checker) Renewed(machine string, sent time.Time, tasks []wire.TaskStatus, orders []wire.Command) {
	c.do(func() {
		for i := range tasks {
			t := &tasks[i]
			ref := wire.JobIDOfTask(t.Task)
			j := c.jobs[ref]
			if t.Status == wire.TaskEnded || j == nil || j.told != wire.JobCancelled || j.toldAt.After(sent) {
				continue
			}
			if !slices.ContainsFunc(orders, func(o wire.Command) bool { return o.Verb == wire.VerbStop && o.Attempt == t.Attempt }) {
				c.breaks("renewed_without_stop", "%s of %s, %s after the confirmation", t.Task, machine, sent.Sub(j.toldAt))
			}
		}
	})
}
