package scheduler

import (
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// newJob adds a job of a record to the job table.
func (c *Core) newJob(id string, rec ledger.JobRecord, version uint64) *job {
	j := &job{
		index:    int32(len(c.jobs.list)),
		id:       id,
		spec:     rec.Job,
		request:  request{zone: -1},
		priority: priority{deadline: noDeadline},
		progress: progress{total: rec.Tasks, done: rec.Done},
		end:      jobEnd{state: rec.TerminalState, durable: rec.TerminalState != "", cleanedUp: rec.Job == nil},
		record:   jobRecord{version: version, acceptedMS: rec.AcceptedMS},
		transfer: transfer{origin: rec.Origin, epoch: rec.TransferEpoch},
	}
	if rec.EndedMS > 0 {
		j.end.markDurable(c.clock.fromWallTime(rec.EndedMS))
		j.end.confirm()
	}
	c.jobs.add(j)
	if rec.Job == nil {
		return j
	}
	j.request = c.requestOf(rec.Job)
	j.priority = priorityOf(rec.Job, c.clock.fromWallTime(rec.AcceptedMS))
	j.progress.initTasks(rec.Job.Tasks)
	j.record.initHosts()
	c.jobs.addActive(j)
	return j
}

// requestOf resolves the names in a job's description.
func (c *Core) requestOf(spec *wire.Job) request {
	r := request{size: taskSize(spec), class: c.classIndex(spec.Class), image: c.placement.images.intern(spec.Image), zone: -1, team: c.teams.Index(spec.Team)}
	if spec.Zone != nil {
		r.zone = c.machines.zones.intern(*spec.Zone)
	}
	return r
}

// priorityOf is the priority of a job by its own description.
func priorityOf(spec *wire.Job, arrived time.Duration) priority {
	p := priority{class: spec.PriorityClass(), deadline: noDeadline, arrived: arrived}
	if spec.DeadlineS != nil {
		p.deadline = arrived + settings.Seconds(*spec.DeadlineS)
	}
	return p
}

// handleJobRecord takes a job's record, which may be known already.
func (c *Core) handleJobRecord(e JobRecordEvent) *job {
	if i, ok := c.jobs.indexByID[e.JobID]; ok {
		return c.jobs.list[i]
	}
	j := c.newJob(e.JobID, e.Record, e.Version)
	j.progress.rebuildWaiting()
	c.linkDependencies(j)
	if j.end.durable {
		// Its end was written while this leader had not seen it yet.
		c.releaseDependents(j)
	}
	switch {
	case j.end.cleanedUp:
		return j
	case j.ended():
		c.jobs.cleanUp(j)
		return j
	}
	c.log.Debug("job accepted", "job", j.id, "tasks", j.progress.total, "cpus", j.request.size.CPUs, "class", j.spec.Class)
	c.checkDependencies(j)
	if !j.ended() && !j.blocked() && j.transfer.origin == "" {
		c.demand.observeArrival(j)
	}
	c.jobs.raisePriorityFromDependents(j)
	c.placement.markNeeded()
	return j
}

// finishJob decides a job's terminal state and writes it. Users are told when it is durable.
func (c *Core) finishJob(j *job, terminal string) {
	j.end.decide(terminal)
	c.disruptions.recordJobFinished(j)
	if terminal == wire.JobCancelled {
		c.jobs.addCancelling(j)
	}
	c.jobs.writeTerminal(j, writeUrgent)
}

// handleTerminalDurable does what follows once a job's terminal state is durable.
func (c *Core) handleTerminalDurable(j *job) {
	if j.end.durable {
		return // it followed from another job's end before its own record was written
	}
	j.end.markDurable(c.clock.now)
	c.jobs.removeCancelling(j)
	j.progress.clearWaiting()
	c.log.Debug("job ended", "job", j.id, "state", j.end.state, "seconds", (c.clock.now - j.priority.arrived).Seconds(), "late", c.clock.now > j.priority.deadline)
	for _, to := range j.end.takeRecipients() {
		c.effects.emit(UserReply{ReplyTo: to, Known: true, Status: c.jobStatus(j)})
	}
	c.stopTasks(j)
	j.end.confirm()
	c.placement.markNeeded()
	c.releaseDependents(j)
	c.jobs.cleanUp(j)
	c.delegations.transfers.JobOver(j.id, c.clock.now)
	c.applyOriginEffects()
}

// completeTask notes that a task has completed.
func (c *Core) completeTask(j *job, n int32) {
	if j.ended() || j.progress.tasks[n].state >= taskDone {
		return
	}
	j.progress.markTaskDone(n)
	c.disruptions.recordTaskFinished(j, n)
	c.placement.recordSuccess(j)
	if j.progress.done == j.progress.total {
		c.finishJob(j, wire.JobDone)
		return
	}
	c.jobs.queueFinishedTasks(j, n)
}

// requeueTask makes a task wait again.
func (p *placement) requeueTask(j *job, n int32) {
	if !j.ended() && j.progress.requeue(n) {
		p.needed = true
	}
}

// handleCancelRequest begins the cancellation of a job.
func (c *Core) handleCancelRequest(e CancelRequest) {
	i, ok := c.jobs.indexByID[e.JobID]
	if !ok || c.jobs.list[i].transfer.origin != "" {
		c.effects.emit(UserReply{ReplyTo: e.ReplyTo})
		return
	}
	j := c.jobs.list[i]
	if j.end.durable {
		c.effects.emit(UserReply{ReplyTo: e.ReplyTo, Known: true, Status: c.jobStatus(j)})
		return
	}
	// A job whose transfer's record can't be read counts as delegated to an unknown cell.
	if !j.ended() && !c.delegations.cancel(j) {
		c.cancelDelegated(j, e.ReplyTo)
		return
	}
	j.end.addRecipient(e.ReplyTo)
	if !j.ended() {
		c.log.Debug("cancelling job", "job", j.id)
		c.cancelJob(j)
	}
}

// cancelJob cancels a job. Its tasks are stopped now, not when that is durable: the write may be
// carried out and its answer lost, other controllers read it and tell the user, and we learn of
// it only after an outage. What its tasks do from here on is of no use.
func (c *Core) cancelJob(j *job) {
	c.finishJob(j, wire.JobCancelled)
	c.stopTasks(j)
}
