package scheduler

import (
	"github.com/segmentio/encoding/json"

	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/wire"
)

// This file has what follows for jobs that are delegated already.

// restore takes the transfers over from the ledger, after the jobs.
func (d *delegations) restore(saved []ledger.SavedDelegated) {
	for _, saved := range saved {
		at, known := d.jobs.indexByID[saved.JobID]
		var j *job
		if known {
			j = d.jobs.list[at]
		}
		if saved.Unknown {
			if known {
				j.transfer.setDelegated(true) // until an operator has mended the record
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

// offerBody is the body of a job's offer; nil if it can't be encoded.
func (d *delegations) offerBody(j *job) *federation.OfferBody {
	spec := *j.spec
	spec.DependsOn = nil // they are done, or it could not leave
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

// totalCores is what all tasks of a job take together.
func (j *job) totalCores() float64 { return j.request.size.CPUs * float64(j.progress.total) }

// apply carries out an effect of the origin side of the transfers that concerns no other part's
// decisions.
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

// returnJob has a job wait in its origin cell again.
func (d *delegations) returnJob(id string) {
	at, ok := d.jobs.indexByID[id]
	if !ok {
		return
	}
	d.jobs.list[at].transfer.setDelegated(false)
	d.placement.markNeeded()
}

// cancel begins the cancellation of a job where another cell may run it, and tells whether none
// may.
func (d *delegations) cancel(j *job) (immediate bool) {
	immediate = d.transfers.Cancel(j.id, d.clock.now)
	return immediate && !j.transfer.delegated
}

// awaitCancellation has a user wait until the cell that runs a job has its cancellation durably.
// Where the cell does not respond, the user is told at once to try again.
func (d *delegations) awaitCancellation(j *job, to Recipient) {
	n := d.neighbours.find(d.transfers.Cell(j.id))
	if n == nil || n.unreachable {
		d.effects.emit(UserReply{ReplyTo: to, Known: true, CellUnreachable: true})
	} else {
		j.end.addRecipient(to)
	}
}

// refuseCancellations has users who wait for a cell that no longer responds try again.
func (d *delegations) refuseCancellations(n *neighbour) {
	for _, id := range d.transfers.JobsAt(n.Name) {
		at, ok := d.jobs.indexByID[id]
		if !ok || d.jobs.list[at].ended() {
			continue
		}
		j := d.jobs.list[at]
		for _, to := range j.end.takeRecipients() {
			d.effects.emit(UserReply{ReplyTo: to, Known: true, CellUnreachable: true})
		}
	}
}

// logWaiting logs now and then how many jobs wait for neighbours that do not respond.
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

// uncertainUse is what each team's tasks may use on machines that have sent no heartbeat in this
// term, and in other cells.
func (d *delegations) uncertainUse() []quota.Units {
	use := make([]quota.Units, d.teams.Len())
	transfers := !d.transfers.Idle()
	for _, j := range d.jobs.active {
		if len(j.record.inDoubtHosts) > 0 && j.end.state != wire.JobDone {
			n := j.progress.total - j.progress.done - j.progress.allocated
			use[j.request.team] = use[j.request.team].Plus(quota.UnitsOf(j.request.size).Times(max(n, 0)))
		}
		unreadable := j.transfer.delegated && !d.transfers.Delegated(j.id)
		if unreadable || transfers && d.transfers.MayRunRemotely(j.id) {
			// All of its tasks may run there at once, also if its transfer's record can't
			// be read.
			use[j.request.team] = use[j.request.team].Plus(quota.UnitsOf(j.request.size).Times(j.progress.total))
		}
	}
	return use
}
