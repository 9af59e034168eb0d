package scheduler

import (
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// newJob creates a job from its ledger record and adds it to the job table.
func (c *Core) newJob(id string, record ledger.JobRecord, version uint64) *job {
	j := &job{
		index:    int32(len(c.jobs.list)),
		id:       id,
		spec:     record.Job,
		request:  request{zone: anyZone},
		priority: priority{deadline: noDeadline},
		progress: progress{total: record.Tasks, done: record.Done},
		end:      jobEnd{state: record.TerminalState, durable: record.TerminalState != "", cleanedUp: record.Job == nil},
		record:   jobRecord{version: version, acceptedMS: record.AcceptedMS},
		transfer: transfer{origin: record.Origin, epoch: record.TransferEpoch},
	}
	if record.EndedMS > 0 {
		j.end.markDurable(c.clock.fromWallTime(record.EndedMS))
		j.end.confirm()
	}
	c.jobs.add(j)
	if record.Job == nil {
		return j
	}
	j.request = c.requestOf(record.Job)
	j.priority = priorityOf(record.Job, c.clock.fromWallTime(record.AcceptedMS))
	j.progress.initTasks(record.Job.Tasks)
	j.record.initHosts()
	c.jobs.addActive(j)
	return j
}

// requestOf resolves the names in a job's description to indices.
func (c *Core) requestOf(spec *wire.Job) request {
	r := request{size: taskSize(spec), class: c.classIndex(spec.Class), image: c.placement.images.intern(spec.Image), zone: anyZone, team: c.teams.Index(spec.Team)}
	if spec.Zone != nil {
		r.zone = c.machines.zones.intern(*spec.Zone)
	}
	return r
}

// priorityOf returns the priority that a job's own description gives it.
func priorityOf(spec *wire.Job, arrived time.Duration) priority {
	p := priority{class: spec.PriorityClass(), deadline: noDeadline, arrived: arrived}
	if spec.DeadlineS != nil {
		p.deadline = arrived + settings.Seconds(*spec.DeadlineS)
	}
	return p
}

// handleJobRecord adds the job of a record and returns it. A job that is already known is returned
// unchanged.
func (c *Core) handleJobRecord(event JobRecordEvent) *job {
	if index, ok := c.jobs.indexByID[event.JobID]; ok {
		return c.jobs.list[index]
	}
	j := c.newJob(event.JobID, event.Record, event.Version)
	j.progress.rebuildWaiting()
	c.linkDependencies(j)
	if j.end.durable {
		// The terminal state was written before this leader saw the job.
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

// finishJob sets a job's terminal state and writes it. Users are told once it is durable.
func (c *Core) finishJob(j *job, terminal string) {
	j.end.decide(terminal)
	c.disruptions.recordJobFinished(j)
	if terminal == wire.JobCancelled {
		c.jobs.addCancelling(j)
	}
	c.jobs.writeTerminal(j, writeUrgent)
}

// handleTerminalDurable is called when a job's terminal state has become durable: it answers the
// users that wait for it, stops the job's tasks, releases or cancels its dependents, and cleans the
// job up.
func (c *Core) handleTerminalDurable(j *job) {
	if j.end.durable {
		return // it was cancelled with a predecessor before its own record was written
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
	c.delegations.transfers.JobEnded(j.id, c.clock.now)
	c.applyOriginEffects()
}

// completeTask records that a task has completed. When it was the job's last one, the job is done.
func (c *Core) completeTask(j *job, taskIndex int32) {
	if j.ended() || j.progress.tasks[taskIndex].state >= taskDone {
		return
	}
	j.progress.markTaskDone(taskIndex)
	c.disruptions.recordTaskFinished(j, taskIndex)
	c.placement.recordSuccess(j)
	if j.progress.done == j.progress.total {
		c.finishJob(j, wire.JobDone)
		return
	}
	c.jobs.queueFinishedTasks(j, taskIndex)
}

// requeueTask returns an allocated task to the waiting ones, unless its job has ended.
func (p *placement) requeueTask(j *job, taskIndex int32) {
	if !j.ended() && j.progress.requeue(taskIndex) {
		p.needed = true
	}
}

// handleCancelRequest cancels a job at its user's request. The user is answered once the job's
// terminal state is durable. A job of another cell can be cancelled only there, and counts as
// unknown.
func (c *Core) handleCancelRequest(event CancelRequest) {
	index, ok := c.jobs.indexByID[event.JobID]
	if !ok || c.jobs.list[index].transfer.origin != "" {
		c.effects.emit(UserReply{ReplyTo: event.ReplyTo})
		return
	}
	j := c.jobs.list[index]
	if j.end.durable {
		c.effects.emit(UserReply{ReplyTo: event.ReplyTo, Known: true, Status: c.jobStatus(j)})
		return
	}
	// A job whose transfer record can't be read is treated as delegated to an unknown cell.
	if !j.ended() && !c.delegations.cancel(j) {
		c.cancelDelegated(j, event.ReplyTo)
		return
	}
	j.end.addRecipient(event.ReplyTo)
	if !j.ended() {
		c.log.Debug("cancelling job", "job", j.id)
		c.cancelJob(j)
	}
}

// cancelJob cancels a job. It stops the job's tasks at once, not only when the cancellation is
// durable: the write may be applied and its response lost, so that other controllers read it and
// tell the user while this leader learns of it only after an outage. Whatever the tasks do from now
// on is wasted.
func (c *Core) cancelJob(j *job) {
	c.finishJob(j, wire.JobCancelled)
	c.stopTasks(j)
}
