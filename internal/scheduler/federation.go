package scheduler

import (
	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// This file connects the parts of the federation with each other and with the jobs: neighbours,
// delegations, capacity offers and foreign jobs. The protocol is in package federation.

// handleFederationEvent takes the events of transfers.
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

// restoreTransfers takes the transfers over from the ledger, after the jobs.
func (c *Core) restoreTransfers(s *ledger.Snapshot) {
	c.delegations.restore(s.Delegated)
	c.foreign.restore(s.Foreign)
	c.applyOriginEffects()
}

// advanceTransfers does what follows for transfers from the passing of time.
func (c *Core) advanceTransfers() {
	if len(c.neighbours.list) == 0 && c.delegations.transfers.Idle() {
		return
	}
	c.delegations.transfers.Tick(c.clock.now)
	c.applyOriginEffects()
	c.delegations.logWaiting()
	if c.delegations.forwardingDue() {
		c.forwardJobs()
	}
	c.neighbours.sendQueuedMessages()
}

// forwardJobs delegates jobs to neighbours while this cell is short of room.
func (c *Core) forwardJobs() {
	c.delegations.forward(c.planner.canScaleOut)
	c.applyOriginEffects()
}

// applyOriginEffects carries out the effects of the origin side of the transfers.
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

// sendOriginEffects carries out the effects of the origin side, and sends the messages among them.
func (c *Core) sendOriginEffects() {
	c.applyOriginEffects()
	c.neighbours.sendQueuedMessages()
}

// applyForeignEffects carries out the effects of the executing side of the transfers.
func (c *Core) applyForeignEffects() {
	for _, effect := range c.foreign.transfers.TakeEffects() {
		switch e := effect.(type) {
		case federation.WriteForeign:
			c.foreign.writeRecord(e)
		case federation.CancelForeign:
			if at, ok := c.jobs.indexByID[e.JobID]; ok && !c.jobs.list[at].ended() {
				c.cancelJob(c.jobs.list[at])
			}
		case federation.TraceForeign:
			c.transferSteps.trace(e.Step)
		}
	}
}

// handleTransferResult takes the outcome of an exchange.
func (c *Core) handleTransferResult(e TransferResult) {
	n := c.neighbours.find(e.Cell)
	if n == nil {
		return
	}
	if c.neighbours.endExchange(n, e.Err) {
		c.delegations.refuseCancellations(n)
	}
	for _, a := range e.Answers {
		c.delegations.transfers.HandleAnswer(e.Cell, a, c.clock.now)
		n.applyAnswer(a, c.clock.now)
	}
	c.sendOriginEffects()
}

// handleCapacityResult takes a neighbour's reply to a capacity request.
func (c *Core) handleCapacityResult(e CapacityResult) {
	n := c.neighbours.find(e.Cell)
	if n == nil || !c.neighbours.endCapacityRequest(n, e) {
		return
	}
	c.forwardJobs()
	c.neighbours.sendQueuedMessages()
}

// handleTransferRequest replies to another cell's messages.
func (c *Core) handleTransferRequest(e TransferRequest) {
	answers := c.foreign.handleMessages(e.Origin, e.Messages)
	c.applyForeignEffects()
	c.effects.emit(TransferReply{ReplyTo: e.ReplyTo, Answers: answers})
}

// handleForeignWriteResult takes the result of a write of a foreign job.
func (c *Core) handleForeignWriteResult(e ForeignWriteResult) {
	if e.Job != nil && !e.JobExists {
		c.handleJobRecord(JobRecordEvent{JobID: e.Write.Key.JobID, Record: *e.Job, Version: e.Version})
	}
	c.foreign.recordWritten(e)
	c.applyForeignEffects()
}

// endDelegatedJob writes the end of a job that another cell has run, or that was cancelled while
// it was delegated.
func (c *Core) endDelegatedJob(e federation.EndJob) {
	at, ok := c.jobs.indexByID[e.JobID]
	if !ok {
		return
	}
	j := c.jobs.list[at]
	switch {
	case j.ended():
	case e.Cancelled:
		c.cancelJob(j)
	default:
		j.progress.markAllDone()
		c.finishJob(j, wire.JobDone)
	}
}

// cancelDelegated begins the cancellation of a job that is delegated, or that another cell may
// still run. It is confirmed when that cell has it durably.
func (c *Core) cancelDelegated(j *job, to Recipient) {
	if !j.transfer.delegated {
		c.stopTasks(j) // it was reclaimed and runs here as well
	}
	c.delegations.awaitCancellation(j, to)
	c.sendOriginEffects()
}

// localJobs is what the executing side of the transfers needs from the core.
type localJobs struct{ *Core }

// ForeignJobState is the state of a foreign job.
func (c localJobs) ForeignJobState(key federation.ForeignKey) (federation.JobState, bool) {
	at, ok := c.jobs.indexByID[key.JobID]
	if !ok || c.jobs.list[at].transfer.origin != key.Origin {
		return federation.JobState{}, false
	}
	j := c.jobs.list[at]
	status := c.jobStatus(j)
	return federation.JobState{Over: j.end.durable, Cancelled: j.end.state == wire.JobCancelled, Done: status.Done, Running: status.Running}, true
}

// Admit tells whether an offered job is accepted now, and else why not.
func (c localJobs) Admit(origin, id string, body *federation.OfferBody) federation.Refusal {
	return c.foreign.admit(origin, id, body)
}
