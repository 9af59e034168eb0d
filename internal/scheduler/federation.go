package scheduler

import (
	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// This file connects neighbours, delegations, capacity offers and foreign jobs with each other and
// with the job table. Package federation implements the transfer protocol.

// handleFederationEvent handles the events of transfers between cells.
func (c *Core) handleFederationEvent(event Event) {
	switch e := event.(type) {
	case TransferResult:
		c.handleTransferResult(e)
	case CapacityResult:
		c.handleCapacityResult(e)
	case TransferRequest:
		c.handleTransferRequest(e)
	case CapacityRequest:
		c.offers.handleCapacityRequest(e)
	case ForeignWriteResult:
		c.handleForeignWriteResult(e)
	case TransfersEnabled:
		c.neighbours.enableTransfers()
	case TransferListRequest:
		c.handleTransferListRequest(e)
	}
}

// restoreTransfers restores the transfers from the ledger. The jobs must have been restored
// before.
func (c *Core) restoreTransfers(snapshot *ledger.Snapshot) {
	c.delegations.restore(snapshot.Delegated)
	c.foreign.restore(snapshot.Foreign)
	c.applyOriginEffects()
}

// advanceTransfers does the time-driven work of transfers: repeated messages, timeouts, logging
// and the periodic search for jobs to delegate.
func (c *Core) advanceTransfers() {
	if len(c.neighbours.list) == 0 && c.delegations.transfers.Idle() {
		return
	}
	c.delegations.transfers.Tick(c.clock.now)
	c.applyOriginEffects()
	c.delegations.logWaiting()
	if c.delegations.delegationDue() {
		c.delegateJobs()
	}
	c.neighbours.sendQueuedMessages()
}

// delegateJobs delegates jobs to neighbours if this cell has been short of capacity for long
// enough.
func (c *Core) delegateJobs() {
	c.delegations.delegateLateJobs(c.planner.canScaleOut)
	c.applyOriginEffects()
}

// applyOriginEffects carries out the effects of the origin side of the transfers, including those
// that follow from ending a job.
func (c *Core) applyOriginEffects() {
	transfers := c.delegations.transfers
	for effects := transfers.TakeEffects(); len(effects) > 0; effects = transfers.TakeEffects() {
		for _, effect := range effects {
			if end, ok := effect.(federation.EndJob); ok {
				c.endDelegatedJob(end)
				continue
			}
			c.delegations.apply(effect)
		}
	}
}

// sendOriginEffects carries out the effects of the origin side and sends the messages queued by
// them.
func (c *Core) sendOriginEffects() {
	c.applyOriginEffects()
	c.neighbours.sendQueuedMessages()
}

// applyForeignEffects carries out the effects of the executing side of the transfers.
func (c *Core) applyForeignEffects() {
	for _, effect := range c.foreign.transfers.TakeEffects() {
		switch effect := effect.(type) {
		case federation.WriteForeign:
			c.foreign.writeRecord(effect)
		case federation.CancelForeign:
			if index, ok := c.jobs.indexByID[effect.JobID]; ok && !c.jobs.list[index].ended() {
				c.cancelJob(c.jobs.list[index])
			}
		case federation.TraceForeign:
			c.transferSteps.trace(effect.Step)
		}
	}
}

// handleTransferResult handles the result of an exchange with a neighbour.
func (c *Core) handleTransferResult(result TransferResult) {
	neighbour := c.neighbours.find(result.Cell)
	if neighbour == nil {
		return
	}
	if c.neighbours.endExchange(neighbour, result.Err) {
		c.delegations.refuseCancellations(neighbour)
	}
	for _, answer := range result.Answers {
		c.delegations.transfers.HandleAnswer(result.Cell, answer, c.clock.now)
		neighbour.applyAnswer(answer, c.clock.now)
	}
	c.sendOriginEffects()
}

// handleCapacityResult handles the result of a capacity request, and delegates jobs at once if
// cores were offered: an offer is short-lived.
func (c *Core) handleCapacityResult(result CapacityResult) {
	n := c.neighbours.find(result.Cell)
	if n == nil || !c.neighbours.endCapacityRequest(n, result) {
		return
	}
	c.delegateJobs()
	c.neighbours.sendQueuedMessages()
}

// handleTransferRequest answers the messages of another cell.
func (c *Core) handleTransferRequest(request TransferRequest) {
	answers := c.foreign.handleMessages(request.Origin, request.Messages)
	c.applyForeignEffects()
	c.effects.emit(TransferReply{ReplyTo: request.ReplyTo, Answers: answers})
}

// handleForeignWriteResult handles the result of writing a transfer record of a foreign job. If
// the job's own record was written with it, the job is added to the job table.
func (c *Core) handleForeignWriteResult(result ForeignWriteResult) {
	if result.Job != nil && !result.JobExists {
		c.handleJobRecord(JobRecordEvent{JobID: result.Write.Key.JobID, Record: *result.Job, Version: result.Version})
	}
	c.foreign.recordWritten(result)
	c.applyForeignEffects()
}

// endDelegatedJob ends a job that another cell has finished, or that was cancelled while it was
// delegated.
func (c *Core) endDelegatedJob(end federation.EndJob) {
	index, ok := c.jobs.indexByID[end.JobID]
	if !ok {
		return
	}
	j := c.jobs.list[index]
	switch {
	case j.ended():
	case end.Cancelled:
		c.cancelJob(j)
	default:
		j.progress.markAllDone()
		c.finishJob(j, wire.JobDone)
	}
}

// cancelDelegated starts the cancellation of a job that is delegated or may still run in another
// cell. The user is answered once that cell has stored the cancellation durably.
func (c *Core) cancelDelegated(j *job, replyTo Recipient) {
	if !j.transfer.delegated {
		c.stopTasks(j) // reclaimed: it runs here as well
	}
	c.delegations.awaitCancellation(j, replyTo)
	c.sendOriginEffects()
}

// localJobs gives the executing side of the transfers access to the jobs of the core.
type localJobs struct{ *Core }

// ForeignJobState returns the state of a foreign job, or false if no job of that origin and ID is
// known here.
func (c localJobs) ForeignJobState(key federation.ForeignKey) (federation.JobState, bool) {
	index, ok := c.jobs.indexByID[key.JobID]
	if !ok || c.jobs.list[index].transfer.origin != key.Origin {
		return federation.JobState{}, false
	}
	j := c.jobs.list[index]
	status := c.jobStatus(j)
	return federation.JobState{Ended: j.end.durable, Cancelled: j.end.state == wire.JobCancelled, Done: status.Done, Running: status.Running}, true
}

// Admit decides whether an offered job is accepted. The zero Refusal means that it is.
func (c localJobs) Admit(origin, jobID string, body *federation.OfferBody) federation.Refusal {
	return c.foreign.admit(origin, jobID, body)
}
