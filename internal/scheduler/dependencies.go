package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler/depgraph"
	"leadproxy/internal/wire"
)

// A job may name others that have to be done before any of its tasks starts. Package depgraph
// holds the graph; this file connects it with the jobs and their records.
//
// A predecessor counts as done only once its record says so durably: until then a new leader may
// run its last task again. One that this leader has not seen yet, since another controller has
// just accepted it, counts as unfinished.
//
// An unfinished job with a cancelled ancestor is cancelled. That follows from durable facts
// alone: a record says cancelled or done, never first one and then the other, and a job whose
// ancestor never ends never starts. So it holds from the moment in which the ancestor's record
// is durable, whoever leads and whichever controller is asked; the dependents' own records
// follow when there are writes for them.

// blocked tells whether a job waits for others, or is delegated to another cell. It takes no
// part of its team's guarantee, is in no queue, and has no machines rented for it.
func (j *job) blocked() bool { return j.dependencies.Unfinished() > 0 || j.transfer.delegated }

// isDone tells whether a job is done, by its durable record.
func (j *job) isDone() bool { return j.end.durable && j.end.state == wire.JobDone }

// isCancelled tells whether a job is cancelled, by its durable record.
func (j *job) isCancelled() bool { return j.end.durable && j.end.state == wire.JobCancelled }

// linkJob brings a new job into the graph, as a job that depends on others and as one that
// others depend on. It returns the jobs that no longer wait for any.
func (t *jobTable) linkJob(j *job) (ready []*job) {
	if j.spec != nil && !j.ended() {
		for _, id := range j.spec.DependsOn {
			if at, ok := t.indexByID[id]; ok {
				p := t.list[at]
				t.graph.AddDependency(&j.dependencies, &p.dependencies, p.isDone())
			} else {
				t.graph.AddUnknownDependency(&j.dependencies, id)
			}
		}
	}
	for _, at := range t.graph.Resolve(j.id, &j.dependencies, j.isDone()) {
		if dependent := t.list[at]; !dependent.blocked() && !dependent.ended() {
			ready = append(ready, dependent)
		}
	}
	return ready
}

// checkDependencies does what follows for a job that has been linked: it may be cancelled with
// an ancestor, or raise the priority of those that it waits for.
func (c *Core) checkDependencies(j *job) {
	for _, at := range j.dependencies.Predecessors() {
		if p := c.jobs.list[at]; p.isCancelled() {
			c.cancelDependent(j, p)
			return
		}
	}
	if c.jobs.raisePredecessorPriorities(j) {
		c.placement.markNeeded()
	}
	if j.blocked() {
		c.log.Debug("job waits for its dependencies", "job", j.id, "open", j.dependencies.Unfinished(), "first", c.jobs.firstUnfinishedDependency(j))
	}
}

// firstUnfinishedDependency names the first job that another one waits for, for the log.
func (t *jobTable) firstUnfinishedDependency(j *job) string {
	for _, id := range j.spec.DependsOn {
		at, ok := t.indexByID[id]
		if !ok {
			return id + " (not seen yet)"
		}
		if p := t.list[at]; !p.end.durable {
			return id
		}
	}
	return ""
}

// raisePredecessorPriorities gives the jobs that a job depends on, directly or through others, at least its
// priority, and a deadline that leaves it time to meet its own. It tells whether any was raised.
func (t *jobTable) raisePredecessorPriorities(j *job) (raised bool) {
	todo := []*job{j}
	for len(todo) > 0 {
		j, todo = todo[len(todo)-1], todo[:len(todo)-1]
		due := j.priority.deadline
		if due != noDeadline {
			due -= t.estimates.expectedRun(j)
		}
		for _, at := range j.dependencies.Predecessors() {
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

// raisePriorityFromDependents raises a job that became known late, as those that depend on it require.
func (t *jobTable) raisePriorityFromDependents(p *job) (raised bool) {
	for _, at := range p.dependencies.Dependents() {
		raised = t.raisePredecessorPriorities(t.list[at]) || raised
	}
	return raised
}

// releaseDependents has a job's dependents wait for one less, or cancels them with it, once its
// end is durable.
func (c *Core) releaseDependents(p *job) {
	for _, at := range c.jobs.graph.TakeDependents(&p.dependencies) {
		j := c.jobs.list[at]
		if p.end.state == wire.JobCancelled {
			c.cancelDependent(j, p)
			continue
		}
		if c.jobs.graph.FinishPredecessor(&j.dependencies) && !j.ended() {
			c.markReady(j, c.clock.now)
		}
	}
}

// linkDependencies brings a new job into the graph. Jobs that waited only for it may run.
func (c *Core) linkDependencies(j *job) {
	for _, ready := range c.jobs.linkJob(j) {
		c.markReady(ready, c.clock.now)
	}
}

// markReady has a job's wait, and the demand for it, count from a moment on.
func (c *Core) markReady(j *job, at time.Duration) {
	j.priority.setArrival(at)
	c.demand.observeArrival(j)
	c.placement.markNeeded()
	c.log.Debug("job dependencies are done", "job", j.id, "tasks", j.progress.total)
}

// cancelDependent cancels a job since one that it depends on is cancelled.
func (c *Core) cancelDependent(j, p *job) {
	if j.end.durable {
		return
	}
	c.log.Debug("job cancelled with a dependency", "job", j.id, "dependency", p.id)
	if !j.ended() {
		j.end.decide(wire.JobCancelled)
		c.jobs.writeTerminal(j, writeDeferred)
	}
	c.handleTerminalDurable(j)
}

// terminalStatePending tells whether the key-value store may know more of a job's end than this
// leader does: its own end is being written, or the cancellation of one that it depends on,
// directly or through others. That write may have been carried out and its answer lost;
// another controller may then have read it and told a user, and "queued" would contradict that.
func (t *jobTable) terminalStatePending(j *job) bool {
	if j.end.durable {
		return false
	}
	if j.ended() {
		return true
	}
	if len(t.cancelling) == 0 {
		return false // as nearly always: no walk through the ancestors is needed
	}
	return t.graph.AnyAncestor(&j.dependencies, func(at int32) depgraph.Visit {
		switch {
		case t.list[at].end.durable:
			return depgraph.Skip
		case t.cancelling[at]:
			return depgraph.Found
		}
		return depgraph.Continue
	})
}

// readySince is when the last of a restored job's predecessors was done.
func (t *jobTable) readySince(j *job) time.Duration {
	last := j.priority.arrived
	for _, at := range j.dependencies.Predecessors() {
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
			c.markReady(j, c.jobs.readySince(j))
		}
	}
}

// hasDependencies tells whether the record of a job names others that it depends on.
func hasDependencies(rec *ledger.JobRecord) bool { return rec.Job != nil && len(rec.Job.DependsOn) > 0 }
