package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler/depgraph"
	"leadproxy/internal/wire"
)

// A job may depend on other jobs: none of its tasks starts before all of them are done. Package
// depgraph holds the graph; this file connects it with the jobs and their records.
//
// A predecessor counts as done only once its record with that state is durable: until then a new
// leader may run its last task again. A predecessor that this leader does not know yet, because
// another controller has just accepted it, counts as unfinished, and its record is read
// (recordReads). It may be cancelled, so until then users are not told the status of its dependents
// from memory.
//
// An unfinished job with a cancelled ancestor is cancelled. This follows from durable state alone:
// a record's terminal state, done or cancelled, never changes, and a job whose ancestor never ends
// never starts. So the job is cancelled from the moment at which the ancestor's record is durable,
// whichever controller leads and whichever one is asked. The records of the dependents are written
// later, when write capacity permits.

// blocked reports whether a job waits for its dependencies or is delegated to another cell. A
// blocked job does not count towards its team's guarantee, is not queued, and has no machines
// rented for it.
func (j *job) blocked() bool { return j.dependencies.Unfinished() > 0 || j.transfer.delegated }

// isDone reports whether the durable record of a job has the state done.
func (j *job) isDone() bool { return j.end.durable && j.end.state == wire.JobDone }

// isCancelled reports whether the durable record of a job has the state cancelled.
func (j *job) isCancelled() bool { return j.end.durable && j.end.state == wire.JobCancelled }

// linkJob links a new job to its predecessors, and to the known jobs that depend on it. It returns
// the dependents that have no unfinished predecessor left, and the IDs of predecessors that are not
// known and that no other job depends on.
func (t *jobTable) linkJob(j *job) (ready []*job, unknown []string) {
	if j.spec != nil && !j.ended() {
		for _, id := range j.spec.DependsOn {
			if index, ok := t.indexByID[id]; ok {
				predecessor := t.list[index]
				t.graph.AddDependency(&j.dependencies, &predecessor.dependencies, predecessor.isDone())
			} else if t.graph.AddUnknownDependency(&j.dependencies, id) {
				unknown = append(unknown, id)
			}
		}
	}
	for _, index := range t.graph.Resolve(j.id, &j.dependencies, j.isDone()) {
		if dependent := t.list[index]; !dependent.blocked() && !dependent.ended() {
			ready = append(ready, dependent)
		}
	}
	return ready, unknown
}

// markUnreadable records that the record of an unknown job can't be read.
func (t *jobTable) markUnreadable(jobID string) { t.graph.MarkUnreadable(jobID) }

// checkDependencies is called once a job has been linked. It cancels the job if a predecessor is
// cancelled; otherwise it raises the priority of the job's predecessors where needed.
func (c *Core) checkDependencies(j *job) {
	for _, index := range j.dependencies.Predecessors() {
		if predecessor := c.jobs.list[index]; predecessor.isCancelled() {
			c.cancelDependent(j, predecessor)
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

// unfinished reports whether the job has a description and its terminal state is not decided.
func (j *job) unfinished() bool { return !j.ended() && j.spec != nil }

// firstUnfinishedDependency returns the ID of the first unfinished job that a job depends on, for
// the log.
func (t *jobTable) firstUnfinishedDependency(j *job) string {
	for _, id := range j.spec.DependsOn {
		index, ok := t.indexByID[id]
		if !ok {
			return id + " (not seen yet)"
		}
		if predecessor := t.list[index]; !predecessor.end.durable {
			return id
		}
	}
	return ""
}

// raisePredecessorPriorities raises all jobs that a job depends on, directly or transitively, to at
// least its priority class, and gives them a deadline that leaves the job enough time to meet its
// own. It reports whether any of them was raised.
func (t *jobTable) raisePredecessorPriorities(j *job) (raised bool) {
	if !t.raiseDirectPredecessors(j) {
		return false // the others were raised when the direct ones were
	}
	for _, ancestor := range t.unfinishedAncestors(j) {
		t.raiseDirectPredecessors(ancestor)
	}
	return true
}

// raiseDirectPredecessors raises the jobs that a job names as its dependencies, and reports whether any
// of them was raised.
func (t *jobTable) raiseDirectPredecessors(j *job) (raised bool) {
	deadline := j.priority.deadline
	if deadline != noDeadline {
		deadline = max(deadline-t.estimates.expectedRun(j), minDeadline)
	}
	for _, index := range j.dependencies.Predecessors() {
		predecessor := t.list[index]
		if !predecessor.unfinished() || predecessor.priority.class <= j.priority.class && predecessor.priority.deadline <= deadline {
			continue
		}
		predecessor.priority.class, predecessor.priority.deadline = min(predecessor.priority.class, j.priority.class), min(predecessor.priority.deadline, deadline)
		raised = true
	}
	return raised
}

// unfinishedAncestors returns the unfinished jobs that a job depends on, directly or transitively, each
// before those that it depends on itself.
func (t *jobTable) unfinishedAncestors(j *job) []*job {
	type step struct {
		job      *job
		expanded bool // its predecessors have been visited
	}
	var predecessorsFirst []*job
	visited := map[*job]bool{}
	pending := []step{{job: j}}
	for len(pending) > 0 {
		next := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		switch {
		case next.expanded:
			predecessorsFirst = append(predecessorsFirst, next.job)
		case !visited[next.job]:
			visited[next.job] = true
			pending = append(pending, step{next.job, true})
			for _, index := range next.job.dependencies.Predecessors() {
				if predecessor := t.list[index]; predecessor.unfinished() {
					pending = append(pending, step{job: predecessor})
				}
			}
		}
	}
	slices.Reverse(predecessorsFirst)
	return predecessorsFirst[1:] // without the job itself
}

// raisePriorityFromDependents raises the priority of a job that became known after jobs that depend
// on it. It reports whether any priority was raised.
func (t *jobTable) raisePriorityFromDependents(j *job) (raised bool) {
	for _, index := range j.dependencies.Dependents() {
		raised = t.raisePredecessorPriorities(t.list[index]) || raised
	}
	return raised
}

// releaseDependents is called once the terminal state of a job is durable. It cancels the job's
// dependents if the job is cancelled; otherwise it marks those ready that waited only for this job.
func (c *Core) releaseDependents(j *job) {
	for _, index := range c.jobs.graph.TakeDependents(&j.dependencies) {
		dependent := c.jobs.list[index]
		if j.end.state == wire.JobCancelled {
			c.cancelDependent(dependent, j)
			continue
		}
		if c.jobs.graph.FinishPredecessor(&dependent.dependencies) && !dependent.ended() {
			c.markReady(dependent, c.clock.now)
		}
	}
}

// linkDependencies adds a new job to the graph, has the records of its unknown predecessors read, and
// marks the dependents ready that waited only for it.
func (c *Core) linkDependencies(j *job) {
	dependents, unknown := c.jobs.linkJob(j)
	c.recordReads.finish(j.id)
	c.recordReads.add(unknown)
	for _, ready := range dependents {
		c.markReady(ready, c.clock.now)
	}
}

// markReady makes a job eligible for placement. Its waiting time and the demand for it count from
// the given time.
func (c *Core) markReady(j *job, at time.Duration) {
	j.priority.setArrival(at)
	c.demand.observeArrival(j)
	c.placement.markNeeded()
	c.log.Debug("job dependencies are done", "job", j.id, "tasks", j.progress.total)
}

// cancelDependent cancels a job because one of its predecessors is cancelled.
func (c *Core) cancelDependent(j, predecessor *job) {
	if j.end.durable {
		return
	}
	c.log.Debug("job cancelled with a dependency", "job", j.id, "dependency", predecessor.id)
	if !j.ended() {
		j.end.decide(wire.JobCancelled)
		c.jobs.writeTerminal(j, writeDeferred)
	}
	c.handleTerminalDurable(j)
}

// terminalStatePending reports whether the key-value store may already hold a terminal state of the
// job that this leader does not know to be durable: the job's own terminal state is being written,
// or the cancellation of one of its ancestors is, or the leader does not know one of them. A write
// may have been applied and its response lost. If another controller then read the record and told
// the user, answering "queued" would contradict that.
func (t *jobTable) terminalStatePending(j *job) bool {
	if j.end.durable {
		return false
	}
	if j.ended() {
		return true
	}
	if len(t.cancelling) == 0 && !t.graph.AnyUnknown() {
		return false // the usual case: the ancestors need not be visited
	}
	if j.dependencies.Unknown() > 0 {
		return true
	}
	return t.graph.AnyAncestor(&j.dependencies, func(index int32) depgraph.Visit {
		switch {
		case t.list[index].end.durable:
			return depgraph.Skip
		case t.cancelling[index] || t.list[index].dependencies.Unknown() > 0:
			return depgraph.Found
		}
		return depgraph.Continue
	})
}

// readySince returns when the last predecessor of a restored job ended, or when the job arrived if
// that was later, but never a time in the future.
func (t *jobTable) readySince(j *job) time.Duration {
	last := j.priority.arrived
	for _, index := range j.dependencies.Predecessors() {
		last = max(last, t.list[index].end.at)
	}
	return min(last, t.clock.now)
}

// restoreDependencies builds the graph from the jobs in the ledger, before any task is started.
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

// hasDependencies reports whether a job record lists jobs that the job depends on.
func hasDependencies(record *ledger.JobRecord) bool {
	return record.Job != nil && len(record.Job.DependsOn) > 0
}
