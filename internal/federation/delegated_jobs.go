package federation

import (
	"slices"
	"time"
)

// Intervals and limits of a transfer at the origin.
const (
	// RetryInterval is the interval at which a message is repeated until its answer decides the
	// transfer.
	RetryInterval = 250 * time.Millisecond
	// PollInterval is the interval at which the state of a job that runs at a neighbour is
	// requested.
	PollInterval = time.Second
	// OfferTimeout is how long an offer may remain undecided before it is revoked.
	OfferTimeout = 8 * time.Second
	// maxEpochs is the most transfers of one job. After that the job stays at the origin.
	maxEpochs = 4
)

// OriginEffect is an effect that DelegatedJobs returns and its caller executes.
type OriginEffect interface{ isOriginEffect() }

func (SaveDelegated) isOriginEffect() {}
func (DropDelegated) isOriginEffect() {}
func (Send) isOriginEffect()          {}
func (ReturnJob) isOriginEffect()     {}
func (EndJob) isOriginEffect()        {}
func (TraceOrigin) isOriginEffect()   {}

// The effects at the origin.
type (
	// SaveDelegated writes the record of a job's transfer, on condition of the origin's term.
	// The caller calls RecordSaved once the record is durable.
	SaveDelegated struct {
		JobID  string
		Record DelegatedRecord
	}
	// DropDelegated deletes the record of a job's transfer.
	DropDelegated struct{ JobID string }
	// Send sends a message to a neighbour.
	Send struct {
		Cell    string
		Message Message
	}
	// ReturnJob returns the job to the origin, which may run it from now on.
	ReturnJob struct{ JobID string }
	// EndJob makes the origin write the job's terminal state: cancelled if Cancelled is set,
	// otherwise done. The caller calls JobEnded once that is durable.
	EndJob struct {
		JobID     string
		Cancelled bool
	}
	// TraceOrigin reports a step of a transfer for logs, counters and traces.
	TraceOrigin struct{ Step TransferStep }
)

// phase is the phase of a transfer at the origin.
type phase int

const (
	phasePlanned   phase = iota // the record is being written; no message has been sent
	phaseOffering               // the offer has been sent
	phaseRevoking               // the offer is being withdrawn, unless the neighbour has accepted it
	phaseRunning                // the neighbour has accepted the job
	phaseReturning              // the record that closes the epoch is being written
	phaseCleaning               // reclaimed; the neighbour has to cancel the job if it runs it
	phaseEnding                 // the job's terminal state is being written at the origin
	phaseReleasing              // the neighbour is being told that the origin has recorded the result
	phaseClosed                 // returned; kept because the next transfer needs the epoch number
)

var phaseNames = [...]string{"planned", "offering", "revoking", "running", "returning", "cleaning", "ending", "releasing", "closed"}

// transfer is the origin's state of one job's latest transfer.
type transfer struct {
	jobID  string
	record DelegatedRecord
	phase  phase
	body   *OfferBody
	// cancelling is set once the user has requested the job's cancellation.
	cancelling     bool
	jobEnded       bool          // the job's terminal state is durable at the origin
	remoteRunEnded bool          // the neighbour's run of a reclaimed job has ended
	startedAt      time.Duration // when this leader first sent the offer, or restored the transfer
	lastAnswerAt   time.Duration // when the last answer of this epoch arrived; before that, startedAt
	nextMessageAt  time.Duration // when the next message is due
	// tasksDone and tasksRunning are the task counts of the last answer.
	tasksDone    int
	tasksRunning int
}

// delegated reports whether the origin must not run the job.
func (t *transfer) delegated() bool { return t.phase != phaseCleaning && t.phase != phaseClosed }

// DelegatedJobs is the origin's state of all transfers during one term of its leader. The parameter
// now of its methods is the leader's monotonic time.
type DelegatedJobs struct {
	transfers    map[string]*transfer
	reclaimAfter func(cell string) time.Duration
	effects      []OriginEffect
}

// NewDelegatedJobs returns the origin's side of transfers, without any. reclaimAfter returns how long
// a neighbour may leave messages about a repeatable job unanswered before the job is reclaimed from
// it; 0 means that jobs are never reclaimed.
func NewDelegatedJobs(reclaimAfter func(cell string) time.Duration) *DelegatedJobs {
	return &DelegatedJobs{transfers: map[string]*transfer{}, reclaimAfter: reclaimAfter}
}

// TakeEffects returns and removes the effects of all calls since the last TakeEffects, in order.
func (d *DelegatedJobs) TakeEffects() []OriginEffect {
	effects := d.effects
	d.effects = nil
	return effects
}

func (d *DelegatedJobs) emit(effect OriginEffect) { d.effects = append(d.effects, effect) }

// trace reports a step of a transfer.
func (d *DelegatedJobs) trace(t *transfer, step, reason string) {
	d.emit(TraceOrigin{TransferStep{Cell: t.record.Cell, JobID: t.jobID, Epoch: t.record.Epoch, Step: step, Reason: reason}})
}

func (d *DelegatedJobs) save(t *transfer) { d.emit(SaveDelegated{t.jobID, t.record}) }

// Restore adds a transfer that an earlier leader has recorded. Whether that leader sent its last
// message is unknown. ended is set if the job's terminal state is durable at the origin.
func (d *DelegatedJobs) Restore(jobID string, record DelegatedRecord, body *OfferBody, ended bool, now time.Duration) {
	t := &transfer{jobID: jobID, record: record, body: body, jobEnded: ended, startedAt: now, lastAnswerAt: now, nextMessageAt: now}
	d.transfers[jobID] = t
	switch {
	case record.State == Returned && record.Cleanup:
		t.phase = phaseCleaning
	case record.State == Returned && ended:
		d.drop(t)
	case record.State == Returned:
		t.phase = phaseClosed
	case ended:
		t.phase = phaseReleasing
	case record.State == Accepted:
		t.phase = phaseRunning
	default:
		t.phase = phaseOffering
	}
}

// MayBegin reports whether a job may be offered to a neighbour. It may not while the job may still
// run in an earlier epoch, nor after maxEpochs transfers.
func (d *DelegatedJobs) MayBegin(jobID string) bool {
	t := d.transfers[jobID]
	return t == nil || t.phase == phaseClosed && t.record.Epoch < maxEpochs
}

// Delegated reports whether the origin must not run a job because of a transfer.
func (d *DelegatedJobs) Delegated(jobID string) bool {
	t := d.transfers[jobID]
	return t != nil && t.delegated()
}

// Begin plans a transfer of a job to a neighbour; the offer is sent once the record is durable. From
// now on the origin must not run the job. wallMS is the wall-clock time in Unix milliseconds.
func (d *DelegatedJobs) Begin(jobID, cell string, body *OfferBody, now time.Duration, wallMS int64) {
	epoch := uint64(1)
	if previous := d.transfers[jobID]; previous != nil {
		epoch = previous.record.Epoch + 1
	}
	record := DelegatedRecord{Cell: cell, Epoch: epoch, State: Offered, SinceMS: wallMS, Repeatable: body.Repeatable}
	t := &transfer{jobID: jobID, record: record, body: body, startedAt: now, lastAnswerAt: now}
	d.transfers[jobID] = t
	d.save(t)
	d.trace(t, StepPlanned, "")
}

// RecordSaved continues a transfer whose record has become durable.
func (d *DelegatedJobs) RecordSaved(jobID string, record DelegatedRecord, now time.Duration) {
	t := d.transfers[jobID]
	if t == nil || t.record != record {
		return // a later record is being written
	}
	switch {
	case t.phase == phasePlanned:
		t.phase, t.nextMessageAt, t.lastAnswerAt, t.startedAt = phaseOffering, now, now, now
		d.Tick(now)
	case t.phase == phaseReturning && t.record.Cleanup:
		t.phase, t.nextMessageAt = phaseCleaning, now
		d.trace(t, StepReturned, "the neighbour may still run it, and is to cancel it")
		d.emit(ReturnJob{jobID})
	case t.phase == phaseReturning && t.cancelling:
		t.phase = phaseEnding
		d.emit(EndJob{JobID: jobID, Cancelled: true})
	case t.phase == phaseReturning:
		t.phase = phaseClosed
		d.trace(t, StepReturned, "")
		d.emit(ReturnJob{jobID})
	}
}

// Tick handles timeouts and sends the messages that are due.
func (d *DelegatedJobs) Tick(now time.Duration) {
	for _, t := range d.sorted() {
		d.expire(t, now)
		if now < t.nextMessageAt {
			continue
		}
		kind, interval := t.nextMessage()
		if kind == 0 {
			continue
		}
		t.nextMessageAt = now + interval
		m := Message{Kind: kind, JobID: t.jobID, Epoch: t.record.Epoch}
		if kind == Offer {
			m.Body = t.body
		}
		d.emit(Send{t.record.Cell, m})
	}
}

// sorted returns the transfers in the order of their job IDs, so that a replay gives the same effects.
func (d *DelegatedJobs) sorted() []*transfer {
	jobIDs := make([]string, 0, len(d.transfers))
	for jobID := range d.transfers {
		jobIDs = append(jobIDs, jobID)
	}
	slices.Sort(jobIDs)
	transfers := make([]*transfer, len(jobIDs))
	for i, jobID := range jobIDs {
		transfers[i] = d.transfers[jobID]
	}
	return transfers
}

// nextMessage returns the kind of the message that the transfer has to send, and the interval at
// which it is repeated. Kind 0 means that there is nothing to send.
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

// expire revokes an offer that was not decided within OfferTimeout, and reclaims a repeatable job from
// a neighbour that has not answered for the configured time. A job whose cancellation was requested
// is not reclaimed, because the cancellation could not be confirmed while the neighbour may still run
// the job.
func (d *DelegatedJobs) expire(t *transfer, now time.Duration) {
	if t.phase == phaseOffering && !t.cancelling && now-t.startedAt >= OfferTimeout {
		t.phase, t.nextMessageAt = phaseRevoking, now
		d.trace(t, StepRevoking, "the offer was not answered in time")
	}
	limit := d.reclaimAfter(t.record.Cell)
	awaitsAnswer := t.phase == phaseOffering || t.phase == phaseRevoking || t.phase == phaseRunning
	if !awaitsAnswer || t.cancelling || !t.record.Repeatable || limit <= 0 || now-t.lastAnswerAt < limit {
		return
	}
	d.trace(t, StepReclaimed, "the neighbour did not answer and the class is repeatable")
	d.closeEpoch(t, true)
}

// closeEpoch closes the epoch. Once that is durable, the job returns to the origin, or ends if its
// cancellation was requested. cleanup is set if the neighbour may still run the job and has to cancel
// it.
func (d *DelegatedJobs) closeEpoch(t *transfer, cleanup bool) {
	t.phase = phaseReturning
	t.record.State, t.record.Cleanup = Returned, cleanup
	d.save(t)
}

// HandleAnswer handles a neighbour's answer. An answer from another neighbour or of another epoch
// than the record's belongs to a closed transfer and is ignored.
func (d *DelegatedJobs) HandleAnswer(cell string, a Answer, now time.Duration) {
	t := d.transfers[a.JobID]
	if t == nil || t.record.Cell != cell || t.record.Epoch != a.Epoch {
		return
	}
	t.lastAnswerAt = now
	switch t.phase {
	case phaseOffering, phaseRevoking, phaseRunning:
		d.handleOpenAnswer(t, a, now)
	case phaseCleaning:
		d.handleCleanupAnswer(t, a)
	case phaseReleasing:
		if a.Outcome == OutcomeReleased || a.Outcome == OutcomeStale {
			d.trace(t, StepReleased, "")
			d.drop(t)
		}
	}
}

// handleOpenAnswer handles an answer while the transfer is open: offered, being revoked or accepted.
func (d *DelegatedJobs) handleOpenAnswer(t *transfer, a Answer, now time.Duration) {
	switch a.Outcome {
	case OutcomeAccepted:
		t.tasksDone, t.tasksRunning = a.Done, a.Running
		if t.phase != phaseRunning {
			t.phase, t.nextMessageAt = phaseRunning, now+PollInterval
			t.record.State = Accepted
			d.save(t)
			d.trace(t, StepAccepted, "")
		}
		if t.cancelling {
			t.nextMessageAt = min(t.nextMessageAt, now+RetryInterval)
		}
	case OutcomeDone, OutcomeCancelled:
		t.phase = phaseEnding
		d.trace(t, StepEnded, a.Outcome.String())
		d.emit(EndJob{JobID: t.jobID, Cancelled: a.Outcome == OutcomeCancelled})
	case OutcomeRefused, OutcomeRevoked:
		if t.phase == phaseRunning {
			d.trace(t, StepContradiction, "the neighbour had accepted the job and answers "+a.Outcome.String())
			return
		}
		if a.Outcome == OutcomeRefused {
			d.trace(t, StepRefused, a.Reason)
		} else {
			d.trace(t, StepRevoked, a.Reason)
		}
		d.closeEpoch(t, false)
	}
}

// handleCleanupAnswer completes the cleanup once an answer shows that the neighbour does not run the
// job and will not, and that it has released the job if it had accepted it.
func (d *DelegatedJobs) handleCleanupAnswer(t *transfer, a Answer) {
	switch a.Outcome {
	case OutcomeDone, OutcomeCancelled:
		t.remoteRunEnded, t.nextMessageAt = true, t.lastAnswerAt
		return
	case OutcomeRefused, OutcomeRevoked, OutcomeReleased, OutcomeStale:
	default:
		return
	}
	d.trace(t, StepCleaned, a.Outcome.String())
	t.record.Cleanup = false
	if t.jobEnded {
		d.drop(t)
		return
	}
	t.phase = phaseClosed
	d.save(t)
	if t.cancelling {
		d.emit(EndJob{JobID: t.jobID, Cancelled: true})
	}
}

// Cancel handles a user's request to cancel a job. It reports whether the origin may cancel the job
// immediately. If not, EndJob follows once the neighbour's answer allows it.
func (d *DelegatedJobs) Cancel(jobID string, now time.Duration) (immediate bool) {
	t := d.transfers[jobID]
	if t == nil || t.phase == phaseClosed {
		return true
	}
	if !t.cancelling {
		t.cancelling = true
		t.nextMessageAt = min(t.nextMessageAt, now)
		d.trace(t, StepCancelling, "")
		d.Tick(now)
	}
	return false
}

// JobEnded continues a job's transfer once the job's terminal state is durable at the origin.
func (d *DelegatedJobs) JobEnded(jobID string, now time.Duration) {
	t := d.transfers[jobID]
	if t == nil {
		return
	}
	t.jobEnded = true
	switch t.phase {
	case phaseEnding:
		t.phase, t.nextMessageAt = phaseReleasing, now
	case phaseClosed:
		d.drop(t)
	}
}

// drop removes a transfer and deletes its record.
func (d *DelegatedJobs) drop(t *transfer) {
	delete(d.transfers, t.jobID)
	d.emit(DropDelegated{t.jobID})
}
