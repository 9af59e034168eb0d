package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// A job may name others that have to be done before any of its tasks starts. This
// is the one place that knows the dependency graph: each job's predecessors and
// dependents by index, and how many predecessors are open.
//
// A predecessor is done only once its record says so durably: until then a new
// leader may run its last task again. One that this leader has not seen yet, since
// another node has just accepted it, is open.
//
// An open job with a cancelled ancestor is cancelled. That follows from durable
// facts alone: a record says aborted or done, never first one and then the other,
// and a job whose ancestor never ends never starts. So it holds from the moment in
// which the ancestor's record is durable, whoever leads and whichever node is asked;
// the dependents' own records follow when there are writes for them.

// dependencies is what a job has in the graph.
type dependencies struct {
	dependsOn  []int32 // predecessors that have been seen
	dependents []int32 // jobs that wait for this one
	open       int     // predecessors that are not done, seen or not
}

// blocked tells whether a job waits for others, or is away. It takes no part of its
// team's guarantee, is in no queue, and hires nothing.
func (j *job) blocked() bool { return j.dependencies.open > 0 || j.transfer.delegated }

// linkJob brings a new job into the graph, as a job that depends on others and as one that
// others depend on. It returns the jobs that no longer wait for any.
func (t *jobTable) linkJob(j *job) (ready []*job) {
	if j.spec != nil && !j.ended() {
		for _, ref := range j.spec.DependsOn {
			if at, ok := t.indexByID[ref]; ok {
				t.addDependency(j, t.list[at])
				continue
			}
			j.dependencies.open++
			t.awaited[ref] = append(t.awaited[ref], j.index)
		}
	}
	for _, at := range t.awaited[j.id] {
		child := t.list[at]
		child.dependencies.open-- // counted while it was not seen
		t.addDependency(child, j)
		if !child.blocked() && !child.ended() {
			ready = append(ready, child)
		}
	}
	delete(t.awaited, j.id)
	return ready
}

// addDependency notes that a job waits for another one.
func (t *jobTable) addDependency(j, p *job) {
	j.dependencies.dependsOn = append(j.dependencies.dependsOn, p.index)
	if p.end.durable && p.end.state == wire.JobDone {
		return
	}
	j.dependencies.open++
	p.dependencies.dependents = append(p.dependencies.dependents, j.index)
}

// checkDependencies draws the conclusions for a job that has been linked: it may be
// cancelled with an ancestor, ready, or raise those that it waits for.
func (c *Core) checkDependencies(j *job) {
	for _, at := range j.dependencies.dependsOn {
		if p := c.jobs.list[at]; p.end.durable && p.end.state == wire.JobCancelled {
			c.cancelDependent(j, p)
			return
		}
	}
	if c.jobs.raisePriority(j) {
		c.placement.needed = true
	}
	if j.blocked() {
		c.log.Debug("job waits for others", "job", j.id, "open", j.dependencies.open, "first", c.jobs.firstOpen(j))
	}
}

// firstOpen names a job that another one waits for.
func (t *jobTable) firstOpen(j *job) string {
	for _, ref := range j.spec.DependsOn {
		at, ok := t.indexByID[ref]
		if !ok {
			return ref + " (not seen yet)"
		}
		if p := t.list[at]; !p.end.durable {
			return ref
		}
	}
	return ""
}

// raisePriority has all that a job needs, directly or through others, be as urgent as the
// job is: its priority, and in time for its deadline, less what lies between.
func (t *jobTable) raisePriority(j *job) (raised bool) {
	todo := []*job{j}
	for len(todo) > 0 {
		j, todo = todo[len(todo)-1], todo[:len(todo)-1]
		due := j.priority.deadline
		if due != never {
			due -= t.estimates.expectedRun(j)
		}
		for _, at := range j.dependencies.dependsOn {
			p := t.list[at]
			if p.ended() || p.spec == nil || p.priority.class <= j.priority.class && p.priority.deadline <= due {
				continue
			}
			p.priority.class, p.priority.deadline = min(p.priority.class, j.priority.class), min(p.priority.deadline, due)
			raised = true
			todo = append(todo, p)
		}
	}
	return raised
}

// raisePriorityBy has a job that was seen late be as urgent as those that wait for it.
func (t *jobTable) raisePriorityBy(p *job) (raised bool) {
	for _, at := range p.dependencies.dependents {
		raised = t.raisePriority(t.list[at]) || raised
	}
	return raised
}

// releaseDependents tells a job's dependents that it is durably over.
func (c *Core) releaseDependents(p *job) {
	children := p.dependencies.dependents
	p.dependencies.dependents = nil
	for _, at := range children {
		j := c.jobs.list[at]
		if p.end.state == wire.JobCancelled {
			c.cancelDependent(j, p)
			continue
		}
		if j.dependencies.open--; j.dependencies.open == 0 && !j.ended() {
			c.becomesReady(j, c.clock.now)
		}
	}
}

// linkDependencies brings a new job into the graph. Jobs that waited only for it may run.
func (c *Core) linkDependencies(j *job) {
	for _, ready := range c.jobs.linkJob(j) {
		c.becomesReady(ready, c.clock.now)
	}
}

// becomesReady counts a job's waits, and what it asks for, from a moment on.
func (c *Core) becomesReady(j *job, at time.Duration) {
	j.priority.arrived = at
	c.autoscaling.observeArrival(j)
	c.placement.needed = true
	c.log.Debug("all that a job waits for is done", "job", j.id, "tasks", j.progress.total)
}

// cancelDependent cancels a job since another one that it needs is cancelled.
func (c *Core) cancelDependent(j, p *job) {
	if j.end.durable {
		return
	}
	c.log.Debug("job is cancelled with one that it needs", "job", j.id, "needs", p.id)
	if !j.ended() {
		j.end.state = wire.JobCancelled
		c.jobs.writeTerminal(j, false)
	}
	c.terminalIsDurable(j)
}

// terminalStatePending tells whether the state service may know more of a job's end than this
// leader does: its own end is being written, or the cancellation of one that it needs,
// directly or through others. That may have been carried out and its answer lost;
// another node has then read it and told a user, and "queued" would go back on that.
func (t *jobTable) terminalStatePending(j *job) bool {
	if j.end.durable {
		return false
	}
	if j.ended() {
		return true
	}
	if len(t.cancelling) == 0 {
		return false // as nearly always; an ancestor need not be looked for
	}
	seen := map[int32]bool{}
	todo := slices.Clone(j.dependencies.dependsOn)
	for len(todo) > 0 {
		at := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		p := t.list[at]
		if p.end.durable || seen[at] {
			continue
		}
		if t.cancelling[at] {
			return true
		}
		seen[at] = true
		todo = append(todo, p.dependencies.dependsOn...)
	}
	return false
}

// readySince is when the last of a restored job's predecessors was done.
func (t *jobTable) readySince(j *job) time.Duration {
	last := j.priority.arrived
	for _, at := range j.dependencies.dependsOn {
		last = max(last, t.list[at].end.at)
	}
	return min(last, t.clock.now)
}

// restoreDependencies builds the graph from what the ledger holds, before anything is
// started.
func (c *Core) restoreDependencies() {
	for _, j := range c.jobs.list {
		c.linkDependencies(j)
	}
	for _, j := range slices.Clone(c.jobs.list) {
		if j.spec == nil || len(j.spec.DependsOn) == 0 || j.ended() {
			continue
		}
		c.checkDependencies(j)
		if !j.ended() && !j.blocked() {
			c.becomesReady(j, c.jobs.readySince(j))
		}
	}
}

// waitsFor tells whether a restored or new job has others to wait for.
func waitsFor(rec *ledger.JobRecord) bool { return rec.Job != nil && len(rec.Job.DependsOn) > 0 }
