package federation

import (
	"slices"
	"time"
)

// The intervals and bounds of a transfer at the origin.
const (
	// RetryInterval is how often a message is repeated until its answer decides the transfer.
	RetryInterval = 250 * time.Millisecond
	// PollInterval is how often the state of a job that runs at a neighbour is requested.
	PollInterval = time.Second
	// OfferTimeout is how long an offer may go unanswered before it is revoked.
	OfferTimeout = 8 * time.Second
	// maxEpochs bounds the transfers of one job: after that it stays at the origin.
	maxEpochs = 4
)

// OriginEffect is an effect of a step of DelegatedJobs.
type OriginEffect interface{ isOriginEffect() }

func (SaveDelegated) isOriginEffect() {}
func (DropDelegated) isOriginEffect() {}
func (Send) isOriginEffect()          {}
func (ReturnJob) isOriginEffect()     {}
func (EndJob) isOriginEffect()        {}
func (TraceOrigin) isOriginEffect()   {}

// The effects at the origin.
type (
	// SaveDelegated writes a job's record under the origin's term. RecordSaved has to be
	// called once it is durable.
	SaveDelegated struct {
		JobID  string
		Record DelegatedRecord
	}
	// DropDelegated deletes a job's record.
	DropDelegated struct{ JobID string }
	// Send sends a message to a neighbour.
	Send struct {
		Cell    string
		Message Message
	}
	// ReturnJob has the origin run the job again.
	ReturnJob struct{ JobID string }
	// EndJob has the origin write the job's terminal state. JobEnded has to be called once
	// that is durable.
	EndJob struct {
		JobID     string
		Cancelled bool
	}
	// TraceOrigin records a step for logs, counters and traces.
	TraceOrigin struct{ Step TransferStep }
)

// phase is the phase of a transfer at the origin.
type phase int

const (
	phasePlanned   phase = iota // the record is being written; nothing was sent
	phaseOffering               // the offer was sent
	phaseRevoking               // the offer is being withdrawn, unless it was accepted
	phaseRunning                // accepted
	phaseReturning              // the record that closes the epoch is being written
	phaseCleaning               // reclaimed; the neighbour has to cancel what it may run
	phaseEnding                 // the job's terminal state is being written at the origin
	phaseReleasing              // the neighbour is told that the origin has the result
	phaseClosed                 // returned; kept for the number of its epoch
)

var phaseNames = [...]string{"planned", "offering", "revoking", "running", "returning", "cleaning", "ending", "releasing", "closed"}

// transfer is the origin's state of one job's latest transfer.
type transfer struct {
	jobID  string
	record DelegatedRecord
	phase  phase
	body   *OfferBody
	// cancelling: the job's user has requested its cancellation.
	cancelling     bool
	jobEnded       bool          // the origin's record of the job has its terminal state
	remoteRunEnded bool          // the neighbour's run of a reclaimed job has ended
	startedAt      time.Duration // of the transfer, as far as this leader knows
	lastAnswerAt   time.Duration // when the last answer of this epoch came
	nextMessageAt  time.Duration // when the next message is due
	tasksDone      int
	tasksRunning   int
}

// delegated tells whether the origin must not run the job.
func (t *transfer) delegated() bool { return t.phase != phaseCleaning && t.phase != phaseClosed }

// DelegatedJobs is the origin's side of all transfers in one term of its leader.
type DelegatedJobs struct {
	transfers    map[string]*transfer
	reclaimAfter func(cell string) time.Duration
	effects      []OriginEffect
}

// NewDelegatedJobs makes the origin's side. reclaimAfter returns after how long without an answer
// of a neighbour a repeatable job is reclaimed from it; 0: never.
func NewDelegatedJobs(reclaimAfter func(cell string) time.Duration) *DelegatedJobs {
	return &DelegatedJobs{transfers: map[string]*transfer{}, reclaimAfter: reclaimAfter}
}

// TakeEffects returns the effects since the last call.
func (h *DelegatedJobs) TakeEffects() []OriginEffect {
	out := h.effects
	h.effects = nil
	return out
}

func (h *DelegatedJobs) emit(effect OriginEffect) { h.effects = append(h.effects, effect) }

// trace records a step of a transfer.
func (h *DelegatedJobs) trace(t *transfer, step, reason string) {
	h.emit(TraceOrigin{TransferStep{Cell: t.record.Cell, JobID: t.jobID, Epoch: t.record.Epoch, Step: step, Reason: reason}})
}

func (h *DelegatedJobs) save(t *transfer) { h.emit(SaveDelegated{t.jobID, t.record}) }

// Restore adds a transfer of an earlier leader, whose last message may or may not have been
// sent. over tells whether the origin's record of the job has its terminal state.
func (h *DelegatedJobs) Restore(jobID string, record DelegatedRecord, body *OfferBody, over bool, now time.Duration) {
	t := &transfer{jobID: jobID, record: record, body: body, jobEnded: over, startedAt: now, lastAnswerAt: now, nextMessageAt: now}
	h.transfers[jobID] = t
	switch {
	case record.State == Returned && record.Cleanup:
		t.phase = phaseCleaning
	case record.State == Returned && over:
		h.drop(t)
	case record.State == Returned:
		t.phase = phaseClosed
	case over:
		t.phase = phaseReleasing
	case record.State == Accepted:
		t.phase = phaseRunning
	default:
		t.phase = phaseOffering
	}
}

// MayBegin tells whether a job may be offered to a cell: not while an earlier epoch may still
// run, and only maxEpochs times.
func (h *DelegatedJobs) MayBegin(jobID string) bool {
	t := h.transfers[jobID]
	return t == nil || t.phase == phaseClosed && t.record.Epoch < maxEpochs
}

// Delegated tells whether the origin must not run a job.
func (h *DelegatedJobs) Delegated(jobID string) bool {
	t := h.transfers[jobID]
	return t != nil && t.delegated()
}

// Begin plans a transfer. From now on the origin must not run the job.
func (h *DelegatedJobs) Begin(jobID, cell string, body *OfferBody, now time.Duration, wallMS int64) {
	epoch := uint64(1)
	if old := h.transfers[jobID]; old != nil {
		epoch = old.record.Epoch + 1
	}
	record := DelegatedRecord{Cell: cell, Epoch: epoch, State: Offered, SinceMS: wallMS, Repeatable: body.Repeatable}
	t := &transfer{jobID: jobID, record: record, body: body, startedAt: now, lastAnswerAt: now}
	h.transfers[jobID] = t
	h.save(t)
	h.trace(t, StepPlanned, "")
}

// RecordSaved is called when a record is durable.
func (h *DelegatedJobs) RecordSaved(jobID string, record DelegatedRecord, now time.Duration) {
	t := h.transfers[jobID]
	if t == nil || t.record != record {
		return // a later one is being written
	}
	switch {
	case t.phase == phasePlanned:
		t.phase, t.nextMessageAt, t.lastAnswerAt, t.startedAt = phaseOffering, now, now, now
		h.Tick(now)
	case t.phase == phaseReturning && t.record.Cleanup:
		t.phase, t.nextMessageAt = phaseCleaning, now
		h.trace(t, StepReturned, "the neighbour may still run it, and is to cancel it")
		h.emit(ReturnJob{jobID})
	case t.phase == phaseReturning && t.cancelling:
		t.phase = phaseEnding
		h.emit(EndJob{JobID: jobID, Cancelled: true})
	case t.phase == phaseReturning:
		t.phase = phaseClosed
		h.trace(t, StepReturned, "")
		h.emit(ReturnJob{jobID})
	}
}

// Tick sends the messages that are due.
func (h *DelegatedJobs) Tick(now time.Duration) {
	for _, t := range h.sorted() {
		h.expire(t, now)
		if now < t.nextMessageAt {
			continue
		}
		kind, every := t.nextMessage()
		if kind == 0 {
			continue
		}
		t.nextMessageAt = now + every
		m := Message{Kind: kind, JobID: t.jobID, Epoch: t.record.Epoch}
		if kind == Offer {
			m.Body = t.body
		}
		h.emit(Send{t.record.Cell, m})
	}
}

// sorted returns the transfers in the order of their jobs, so that a replay gives the same effects.
func (h *DelegatedJobs) sorted() []*transfer {
	jobIDs := make([]string, 0, len(h.transfers))
	for jobID := range h.transfers {
		jobIDs = append(jobIDs, jobID)
	}
	slices.Sort(jobIDs)
	all := make([]*transfer, len(jobIDs))
	for i, jobID := range jobIDs {
		all[i] = h.transfers[jobID]
	}
	return all
}

// nextMessage returns the kind of message that a transfer has to send and the interval of its
// repetition; 0: none.
func (t *transfer) nextMessage() (Kind, time.Duration) {
	switch t.phase {
	case phaseOffering, phaseRevoking, phaseRunning:
		if t.cancelling {
			return Cancel, RetryInterval
		}
	}
	switch t.phase {
	case phaseOffering:
		return Offer, RetryInterval
	case phaseRevoking:
		return Revoke, RetryInterval
	case phaseRunning:
		return Status, PollInterval
	case phaseCleaning:
		if t.remoteRunEnded {
			return Release, RetryInterval
		}
		return Cancel, PollInterval
	case phaseReleasing:
		return Release, PollInterval
	}
	return 0, 0
}

// expire revokes an offer that was not answered in time, and reclaims a repeatable job from a
// neighbour that has not answered for long. A job whose cancellation is requested is not
// reclaimed: the cancellation could not be confirmed while the neighbour may run the job.
func (h *DelegatedJobs) expire(t *transfer, now time.Duration) {
	if t.phase == phaseOffering && !t.cancelling && now-t.startedAt >= OfferTimeout {
		t.phase, t.nextMessageAt = phaseRevoking, now
		h.trace(t, StepRevoking, "the offer was not answered in time")
	}
	limit := h.reclaimAfter(t.record.Cell)
	waits := t.phase == phaseOffering || t.phase == phaseRevoking || t.phase == phaseRunning
	if !waits || t.cancelling || !t.record.Repeatable || limit <= 0 || now-t.lastAnswerAt < limit {
		return
	}
	h.trace(t, StepReclaimed, "the neighbour did not answer and the class is repeatable")
	h.closeEpoch(t, true)
}

// closeEpoch closes the epoch: the origin runs the job once that is durable.
func (h *DelegatedJobs) closeEpoch(t *transfer, cleanup bool) {
	t.phase = phaseReturning
	t.record.State, t.record.Cleanup = Returned, cleanup
	h.save(t)
}

// HandleAnswer handles a neighbour's answer. One of another epoch or cell than the record's is
// ignored: its transfer is closed.
func (h *DelegatedJobs) HandleAnswer(cell string, a Answer, now time.Duration) {
	t := h.transfers[a.JobID]
	if t == nil || t.record.Cell != cell || t.record.Epoch != a.Epoch {
		return
	}
	t.lastAnswerAt = now
	switch t.phase {
	case phaseOffering, phaseRevoking, phaseRunning:
		h.handleOpenAnswer(t, a, now)
	case phaseCleaning:
		h.handleCleanupAnswer(t, a)
	case phaseReleasing:
		if a.Outcome == OutcomeReleased || a.Outcome == OutcomeStale {
			h.trace(t, StepReleased, "")
			h.drop(t)
		}
	}
}

// handleOpenAnswer handles an answer while the neighbour may run the job.
func (h *DelegatedJobs) handleOpenAnswer(t *transfer, a Answer, now time.Duration) {
	switch a.Outcome {
	case OutcomeAccepted:
		t.tasksDone, t.tasksRunning = a.Done, a.Running
		if t.phase != phaseRunning {
			t.phase, t.nextMessageAt = phaseRunning, now+PollInterval
			t.record.State = Accepted
			h.save(t)
			h.trace(t, StepAccepted, "")
		}
		if t.cancelling {
			t.nextMessageAt = min(t.nextMessageAt, now+RetryInterval)
		}
	case OutcomeDone, OutcomeCancelled:
		t.phase = phaseEnding
		h.trace(t, StepEnded, a.Outcome.String())
		h.emit(EndJob{JobID: t.jobID, Cancelled: a.Outcome == OutcomeCancelled})
	case OutcomeRefused, OutcomeRevoked:
		if t.phase == phaseRunning {
			h.trace(t, StepContradiction, "the neighbour had accepted the job and answers "+a.Outcome.String())
			return
		}
		if a.Outcome == OutcomeRefused {
			h.trace(t, StepRefused, a.Reason)
		} else {
			h.trace(t, StepRevoked, a.Reason)
		}
		h.closeEpoch(t, false)
	}
}

// handleCleanupAnswer ends the cleanup once the neighbour certainly does not run the job and has
// released it.
func (h *DelegatedJobs) handleCleanupAnswer(t *transfer, a Answer) {
	switch a.Outcome {
	case OutcomeDone, OutcomeCancelled:
		t.remoteRunEnded, t.nextMessageAt = true, t.lastAnswerAt
		return
	case OutcomeRefused, OutcomeRevoked, OutcomeReleased, OutcomeStale:
	default:
		return
	}
	h.trace(t, StepCleaned, a.Outcome.String())
	t.record.Cleanup = false
	if t.jobEnded {
		h.drop(t)
		return
	}
	t.phase = phaseClosed
	h.save(t)
	if t.cancelling {
		h.emit(EndJob{JobID: t.jobID, Cancelled: true})
	}
}

// Cancel is called when a job's user requests its cancellation. It returns whether the origin may
// cancel the job at once. If not, EndJob follows when the neighbour's answer allows it.
func (h *DelegatedJobs) Cancel(jobID string, now time.Duration) (immediate bool) {
	t := h.transfers[jobID]
	if t == nil || t.phase == phaseClosed {
		return true
	}
	if !t.cancelling {
		t.cancelling = true
		t.nextMessageAt = min(t.nextMessageAt, now)
		h.trace(t, StepCancelling, "")
		h.Tick(now)
	}
	return false
}

// JobEnded is called when the origin's record of a job has its terminal state.
func (h *DelegatedJobs) JobEnded(jobID string, now time.Duration) {
	t := h.transfers[jobID]
	if t == nil {
		return
	}
	t.jobEnded = true
	switch t.phase {
	case phaseEnding:
		t.phase, t.nextMessageAt = phaseReleasing, now
	case phaseClosed:
		h.drop(t)
	}
}

// drop forgets a transfer and deletes its record.
func (h *DelegatedJobs) drop(t *transfer) {
	delete(h.transfers, t.jobID)
	h.emit(DropDelegated{t.jobID})
}
