package scheduler

import (
	"github.com/segmentio/encoding/json"

	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/wire"
)

// This file handles jobs that are already delegated.

// restore restores the transfers from the ledger. The jobs must have been restored before.
func (d *delegations) restore(records []ledger.SavedDelegated) {
	for _, saved := range records {
		index, known := d.jobs.indexByID[saved.JobID]
		var j *job
		if known {
			j = d.jobs.list[index]
		}
		if saved.Unknown {
			if known {
				j.transfer.setDelegated(true) // until an operator has repaired the record
			}
			continue
		}
		var body *federation.OfferBody
		if known && j.spec != nil {
			body = d.offerBody(j)
		}
		d.transfers.Restore(saved.JobID, saved.Record, body, known && j.end.durable, d.clock.now)
		if known {
			j.transfer.setDelegated(d.transfers.Delegated(saved.JobID))
		}
		if _, ok := d.neighbours.cells.Find(saved.Record.Cell); !ok {
			d.log.Error("job delegated to a cell that the settings do not name", "job", saved.JobID, "cell", saved.Record.Cell, "transfer_epoch", saved.Record.Epoch)
		}
	}
}

// offerBody returns the body of the offer of a job, or nil if the job cannot be encoded.
func (d *delegations) offerBody(j *job) *federation.OfferBody {
	spec := *j.spec
	spec.DependsOn = nil // they are done: a blocked job is not delegated
	spec.Priority = wire.PriorityName(j.priority.class)
	if j.priority.deadline != noDeadline {
		due := (j.priority.deadline - d.clock.fromWallTime(j.record.acceptedMS)).Seconds()
		spec.DeadlineS = &due
	}
	text, err := json.Marshal(&spec)
	if err != nil {
		d.log.Error("job description encoding failed", "job", j.id, "error", err)
		return nil
	}
	return &federation.OfferBody{Job: text, Cores: j.totalCores(), AcceptedMS: j.record.acceptedMS, Repeatable: d.neighbours.cells.Repeatable[j.spec.Class]}
}

// totalCores returns the cores of all tasks of a job.
func (j *job) totalCores() float64 { return j.request.size.CPUs * float64(j.progress.total) }

// apply carries out an effect of the origin side of the transfers. EndJob is handled by the core,
// because it also concerns the job table.
func (d *delegations) apply(effect federation.OriginEffect) {
	switch e := effect.(type) {
	case federation.SaveDelegated:
		urgent := e.Record.State != federation.Accepted
		d.writes.put(ledger.Write{Key: ledger.DelegatedKey(e.JobID), Value: e.Record, Urgent: urgent, Tag: delegatedTag{e.JobID, e.Record}})
	case federation.DropDelegated:
		d.writes.put(ledger.Write{Key: ledger.DelegatedKey(e.JobID)})
	case federation.Send:
		d.neighbours.queueMessage(e.Cell, e.Message)
	case federation.ReturnJob:
		d.returnJob(e.JobID)
	case federation.TraceOrigin:
		d.steps.trace(e.Step)
	}
}

// returnJob puts a job back into the queue of this cell.
func (d *delegations) returnJob(jobID string) {
	index, ok := d.jobs.indexByID[jobID]
	if !ok {
		return
	}
	d.jobs.list[index].transfer.setDelegated(false)
	d.placement.markNeeded()
}

// cancel starts the cancellation of a job that another cell may run. It reports whether the job
// can be cancelled at once because no other cell may run it.
func (d *delegations) cancel(j *job) (immediate bool) {
	immediate = d.transfers.Cancel(j.id, d.clock.now)
	return immediate && !j.transfer.delegated
}

// awaitCancellation delays the answer to a user until the cell that runs the job has stored the
// cancellation durably. If that cell is unreachable, the user is told at once to retry.
func (d *delegations) awaitCancellation(j *job, replyTo Recipient) {
	n := d.neighbours.find(d.transfers.NeighbourOf(j.id))
	if n == nil || n.unreachable {
		d.effects.emit(UserReply{ReplyTo: replyTo, Known: true, CellUnreachable: true})
	} else {
		j.end.addRecipient(replyTo)
	}
}

// refuseCancellations tells the users who wait for cancellations at an unreachable cell to retry.
func (d *delegations) refuseCancellations(n *neighbour) {
	for _, id := range d.transfers.JobsAtNeighbour(n.Name) {
		index, ok := d.jobs.indexByID[id]
		if !ok || d.jobs.list[index].ended() {
			continue
		}
		j := d.jobs.list[index]
		for _, replyTo := range j.end.takeRecipients() {
			d.effects.emit(UserReply{ReplyTo: replyTo, Known: true, CellUnreachable: true})
		}
	}
}

// logWaiting periodically logs how many jobs wait for each unreachable neighbour.
func (d *delegations) logWaiting() {
	for _, n := range d.neighbours.list {
		if !n.waitingLogDue(d.clock.now) {
			continue
		}
		if jobs, cores := d.delegatedTo(n); jobs > 0 {
			d.log.Info("jobs wait for an unreachable neighbour", "cell", n.Name, "jobs", jobs, "cores", cores)
		}
	}
}

// uncertainUse returns, by team, the resources that tasks may use without being counted as
// allocated: on machines that have sent no heartbeat in this term, and in other cells.
func (d *delegations) uncertainUse() []quota.Units {
	use := make([]quota.Units, d.teams.Len())
	transfers := !d.transfers.Idle()
	for _, j := range d.jobs.active {
		if j.record.mayHaveUnseenTasks(d.clock.now) && j.end.state != wire.JobDone {
			tasks := j.progress.total - j.progress.done - j.progress.allocated
			use[j.request.team] = use[j.request.team].Plus(quota.UnitsOf(j.request.size).Times(max(tasks, 0)))
		}
		unreadable := j.transfer.delegated && !d.transfers.Delegated(j.id)
		if unreadable || transfers && d.transfers.MayRunRemotely(j.id) {
			// All of its tasks may run in the other cell at once. That includes a job whose
			// transfer record can't be read.
			use[j.request.team] = use[j.request.team].Plus(quota.UnitsOf(j.request.size).Times(j.progress.total))
		}
	}
	return use
}
