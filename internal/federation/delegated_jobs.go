package federation

import (
	"slices"
	"time"
)

// The times of a transfer at home.
const (
	// RetryEvery is how often a message is repeated whose answer settles something.
	RetryEvery = 250 * time.Millisecond
	// PollEvery is how often a neighbour is asked about a job that it runs.
	PollEvery = time.Second
	// OfferTimeout is how long an offer may go unanswered before it is revoked.
	OfferTimeout = 8 * time.Second
	// maxEpochs bounds the transfers of one job: a job that nobody takes stays home.
	maxEpochs = 4
)

// OriginEffect is what follows from a step of Home.
type OriginEffect interface{ isHomeEffect() }

func (SaveDelegated) isHomeEffect() {}
func (DropDelegated) isHomeEffect() {}
func (Send) isHomeEffect()          {}
func (ReturnJob) isHomeEffect()     {}
func (EndJob) isHomeEffect()        {}
func (TraceOrigin) isHomeEffect()   {}

// The effects of Home.
type (
	// SaveDelegated writes a job's record under home's term. Saved is to be called once
	// that is durable.
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
	// ReturnJob tells that a job is home's to run again.
	ReturnJob struct{ JobID string }
	// EndJob tells that a job is over. Over is to be called once home's record of the
	// job says so.
	EndJob struct {
		JobID   string
		Aborted bool
	}
	// TraceOrigin tells of a step.
	TraceOrigin struct{ Step TransferStep }
)

// phase is what home is waiting for in a transfer.
type phase int

const (
	planned   phase = iota // the record is being written; nothing was sent
	offering               // an offer is out
	revoking               // the offer is to be undone unless it was accepted
	running                // accepted
	returning              // the record that closes the epoch is being written
	cleaning               // taken back; the neighbour is to cancel what it may run
	ending                 // the job's end is being written at home
	releasing              // the neighbour is to know that home has the result
	closed                 // returned; kept for its epoch
)

var phaseNames = [...]string{"planned", "offering", "revoking", "running", "returning", "cleaning", "ending", "releasing", "closed"}

// transfer is home's view of one job's latest transfer.
type transfer struct {
	ref    string
	record DelegatedRecord
	phase  phase
	body   *OfferBody
	// cancelling: the job's user wants it cancelled.
	cancelling bool
	over       bool          // home's record of the job has its end
	ended      bool          // the neighbour's run of what was taken back has ended
	began      time.Duration // of the transfer, as far as this leader knows
	heard      time.Duration // the last answer of this epoch
	next       time.Duration // when the next message is due
	done       int
	running    int
}

// away tells whether home must not run the job.
func (t *transfer) away() bool { return t.phase != cleaning && t.phase != closed }

// DelegatedJobs is home's side of all transfers, in one term of its leader.
type DelegatedJobs struct {
	transfers map[string]*transfer
	takeBack  func(cell string) time.Duration
	out       []OriginEffect
}

// NewDelegatedJobs makes home's side. takeBack is after how long without an answer from a
// neighbour a repeatable job is taken back from it; 0: never.
func NewDelegatedJobs(takeBack func(cell string) time.Duration) *DelegatedJobs {
	return &DelegatedJobs{transfers: map[string]*transfer{}, takeBack: takeBack}
}

// Take returns the effects since the last call.
func (h *DelegatedJobs) Take() []OriginEffect {
	out := h.out
	h.out = nil
	return out
}

func (h *DelegatedJobs) emit(effect OriginEffect) { h.out = append(h.out, effect) }

func (h *DelegatedJobs) note(t *transfer, step, reason string) {
	h.emit(TraceOrigin{TransferStep{Cell: t.record.Cell, JobID: t.ref, Epoch: t.record.Epoch, Step: step, Reason: reason}})
}

func (h *DelegatedJobs) save(t *transfer) { h.emit(SaveDelegated{t.ref, t.record}) }

// Restore takes a transfer over from an earlier leader, whose last message may or may
// not have been sent. over tells whether home's record of the job has its end.
func (h *DelegatedJobs) Restore(ref string, record DelegatedRecord, body *OfferBody, over bool, now time.Duration) {
	t := &transfer{ref: ref, record: record, body: body, over: over, began: now, heard: now, next: now}
	h.transfers[ref] = t
	switch {
	case record.State == Returned && record.Cleanup:
		t.phase = cleaning
	case record.State == Returned && over:
		h.drop(t)
	case record.State == Returned:
		t.phase = closed
	case over:
		t.phase = releasing
	case record.State == Accepted:
		t.phase = running
	default:
		t.phase = offering
	}
}

// MayBegin tells whether a job may be offered to a cell: not where an earlier epoch may
// still run, and not for ever.
func (h *DelegatedJobs) MayBegin(ref string) bool {
	t := h.transfers[ref]
	return t == nil || t.phase == closed && t.record.Epoch < maxEpochs
}

// Delegated tells whether home must not run a job.
func (h *DelegatedJobs) Delegated(ref string) bool {
	t := h.transfers[ref]
	return t != nil && t.away()
}

// Begin plans a transfer. From now on home must not run the job.
func (h *DelegatedJobs) Begin(ref, cell string, body *OfferBody, now time.Duration, wallMS int64) {
	epoch := uint64(1)
	if old := h.transfers[ref]; old != nil {
		epoch = old.record.Epoch + 1
	}
	record := DelegatedRecord{Cell: cell, Epoch: epoch, State: Offered, SinceMS: wallMS, Repeatable: body.Repeatable}
	t := &transfer{ref: ref, record: record, body: body, began: now, heard: now}
	h.transfers[ref] = t
	h.save(t)
	h.note(t, StepPlanned, "")
}

// Saved tells that a record is durable.
func (h *DelegatedJobs) Saved(ref string, record DelegatedRecord, now time.Duration) {
	t := h.transfers[ref]
	if t == nil || t.record != record {
		return // a later one is being written
	}
	switch {
	case t.phase == planned:
		t.phase, t.next, t.heard, t.began = offering, now, now, now
		h.Tick(now)
	case t.phase == returning && t.record.Cleanup:
		t.phase, t.next = cleaning, now
		h.note(t, StepReturned, "the neighbour may still run it, and is to cancel it")
		h.emit(ReturnJob{ref})
	case t.phase == returning && t.cancelling:
		t.phase = ending
		h.emit(EndJob{JobID: ref, Aborted: true})
	case t.phase == returning:
		t.phase = closed
		h.note(t, StepReturned, "")
		h.emit(ReturnJob{ref})
	}
}

// Tick sends what is due.
func (h *DelegatedJobs) Tick(now time.Duration) {
	for _, t := range h.sorted() {
		h.giveUp(t, now)
		if now < t.next {
			continue
		}
		kind, every := t.due()
		if kind == 0 {
			continue
		}
		t.next = now + every
		m := Message{Kind: kind, JobID: t.ref, Epoch: t.record.Epoch}
		if kind == Offer {
			m.Body = t.body
		}
		h.emit(Send{t.record.Cell, m})
	}
}

// sorted lists the transfers in one order everywhere, so that a replay does the same.
func (h *DelegatedJobs) sorted() []*transfer {
	refs := make([]string, 0, len(h.transfers))
	for ref := range h.transfers {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	all := make([]*transfer, len(refs))
	for i, ref := range refs {
		all[i] = h.transfers[ref]
	}
	return all
}

// due is the message that a transfer waits to send, and when it is to be repeated; 0:
// none.
func (t *transfer) due() (Kind, time.Duration) {
	switch t.phase {
	case offering, revoking, running:
		if t.cancelling {
			return Cancel, RetryEvery
		}
	}
	switch t.phase {
	case offering:
		return Offer, RetryEvery
	case revoking:
		return Revoke, RetryEvery
	case running:
		return Status, PollEvery
	case cleaning:
		if t.ended {
			return Release, RetryEvery
		}
		return Cancel, PollEvery
	case releasing:
		return Release, PollEvery
	}
	return 0, 0
}

// giveUp revokes an offer that nobody answers, and takes a repeatable job back from a
// neighbour that has been silent for long. A job whose user wants it cancelled is not
// taken back: that could not be confirmed while the neighbour may run it.
func (h *DelegatedJobs) giveUp(t *transfer, now time.Duration) {
	if t.phase == offering && !t.cancelling && now-t.began >= OfferTimeout {
		t.phase, t.next = revoking, now
		h.note(t, StepRevoking, "the offer was not settled in time")
	}
	limit := h.takeBack(t.record.Cell)
	waits := t.phase == offering || t.phase == revoking || t.phase == running
	if !waits || t.cancelling || !t.record.Repeatable || limit <= 0 || now-t.heard < limit {
		return
	}
	h.note(t, StepTakenBack, "the neighbour was silent and the class may be repeated")
	h.giveBack(t, true)
}

// giveBack closes the epoch: home runs the job once that is durable.
func (h *DelegatedJobs) giveBack(t *transfer, cleanup bool) {
	t.phase = returning
	t.record.State, t.record.Cleanup = Returned, cleanup
	h.save(t)
}

// Answered takes a neighbour's answer. One of another epoch or from another cell than
// the record's tells nothing: its transfer is closed.
func (h *DelegatedJobs) Answered(cell string, a Answer, now time.Duration) {
	t := h.transfers[a.JobID]
	if t == nil || t.record.Cell != cell || t.record.Epoch != a.Epoch {
		return
	}
	t.heard = now
	switch t.phase {
	case offering, revoking, running:
		h.answeredOpen(t, a, now)
	case cleaning:
		h.answeredCleaning(t, a)
	case releasing:
		if a.Outcome == OutcomeReleased || a.Outcome == OutcomeStale {
			h.note(t, StepReleased, "")
			h.drop(t)
		}
	}
}

func (h *DelegatedJobs) answeredOpen(t *transfer, a Answer, now time.Duration) {
	switch a.Outcome {
	case OutcomeAccepted:
		t.done, t.running = a.Done, a.Running
		if t.phase != running {
			t.phase, t.next = running, now+PollEvery
			t.record.State = Accepted
			h.save(t)
			h.note(t, StepAccepted, "")
		}
		if t.cancelling {
			t.next = min(t.next, now+RetryEvery)
		}
	case OutcomeDone, OutcomeAborted:
		t.phase = ending
		h.note(t, StepEnded, a.Outcome.String())
		h.emit(EndJob{JobID: t.ref, Aborted: a.Outcome == OutcomeAborted})
	case OutcomeRefused, OutcomeRevoked:
		if t.phase == running {
			h.note(t, StepContradiction, "the neighbour had accepted the job and says "+a.Outcome.String())
			return
		}
		if a.Outcome == OutcomeRefused {
			h.note(t, StepRefused, a.Reason)
		} else {
			h.note(t, StepRevoked, a.Reason)
		}
		h.giveBack(t, false)
	}
}

// answeredCleaning ends the cleanup once the neighbour surely does not run the job, and
// knows that nobody wants its result.
func (h *DelegatedJobs) answeredCleaning(t *transfer, a Answer) {
	switch a.Outcome {
	case OutcomeDone, OutcomeAborted:
		t.ended, t.next = true, t.heard
		return
	case OutcomeRefused, OutcomeRevoked, OutcomeReleased, OutcomeStale:
	default:
		return
	}
	h.note(t, StepCleaned, a.Outcome.String())
	t.record.Cleanup = false
	if t.over {
		h.drop(t)
		return
	}
	t.phase = closed
	h.save(t)
	if t.cancelling {
		h.emit(EndJob{JobID: t.ref, Aborted: true})
	}
}

// Cancel notes that a job's user wants it cancelled, and tells whether home may cancel
// it at once. If not, EndJob follows when the neighbour's answer allows it.
func (h *DelegatedJobs) Cancel(ref string, now time.Duration) (atOnce bool) {
	t := h.transfers[ref]
	if t == nil || t.phase == closed {
		return true
	}
	if !t.cancelling {
		t.cancelling = true
		t.next = min(t.next, now)
		h.note(t, StepCancelling, "")
		h.Tick(now)
	}
	return false
}

// Over tells that home's record of a job has its end.
func (h *DelegatedJobs) Over(ref string, now time.Duration) {
	t := h.transfers[ref]
	if t == nil {
		return
	}
	t.over = true
	switch t.phase {
	case ending:
		t.phase, t.next = releasing, now
	case closed:
		h.drop(t)
	}
}

func (h *DelegatedJobs) drop(t *transfer) {
	delete(h.transfers, t.ref)
	h.emit(DropDelegated{t.ref})
}
