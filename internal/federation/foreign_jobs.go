package federation

import (
	"cmp"
	"slices"
)

// ForeignKey identifies a transfer at the neighbour.
type ForeignKey struct{ Origin, JobID string }

// ForeignEffect is an effect of a step of ForeignJobs.
type ForeignEffect interface{ isForeignEffect() }

func (WriteForeign) isForeignEffect()  {}
func (CancelForeign) isForeignEffect() {}
func (TraceForeign) isForeignEffect()  {}

// The effects at the neighbour.
type (
	// WriteForeign writes a transfer's record by compare-and-swap on the version of its key,
	// under the leader's term. With a body it also creates the job's record; neither is
	// written if there is a job of that name. RecordWritten has to be called with the
	// outcome once that is known.
	WriteForeign struct {
		Key     ForeignKey
		Record  ForeignRecord
		Version uint64
		Body    *OfferBody
	}
	// CancelForeign cancels an accepted job.
	CancelForeign struct{ JobID string }
	// TraceForeign records a step for logs, counters and traces.
	TraceForeign struct{ Step TransferStep }
)

// JobState is the state of a job that the neighbour has accepted.
type JobState struct {
	// Ended: its terminal state is durable. Cancelled tells which one.
	Ended, Cancelled bool
	Done, Running    int
}

// LocalJobs looks up the jobs that the neighbour has accepted.
type LocalJobs interface {
	// ForeignJobState returns the state of a job; false: there is no record of it.
	ForeignJobState(key ForeignKey) (JobState, bool)
	// Admit returns why an offer is refused; the zero Refusal accepts it.
	Admit(origin, jobID string, body *OfferBody) Refusal
}

// foreignJob is the neighbour's state of one job's latest transfer from one origin.
type foreignJob struct {
	record  ForeignRecord
	version uint64 // of its key; 0: there is none
	// pendingRecord is the record that is being written; nil: none.
	pendingRecord *ForeignRecord
}

// ForeignJobs is the neighbour's side of all transfers in one term of its leader.
type ForeignJobs struct {
	records   map[ForeignKey]*foreignJob
	localJobs LocalJobs
	effects   []ForeignEffect
}

// NewForeignJobs makes the neighbour's side.
func NewForeignJobs(jobs LocalJobs) *ForeignJobs {
	return &ForeignJobs{records: map[ForeignKey]*foreignJob{}, localJobs: jobs}
}

// TakeEffects returns the effects since the last call.
func (f *ForeignJobs) TakeEffects() []ForeignEffect {
	out := f.effects
	f.effects = nil
	return out
}

func (f *ForeignJobs) emit(effect ForeignEffect) { f.effects = append(f.effects, effect) }

func (f *ForeignJobs) trace(key ForeignKey, epoch uint64, step, reason string) {
	f.emit(TraceForeign{TransferStep{Origin: key.Origin, JobID: key.JobID, Epoch: epoch, Step: step, Reason: reason}})
}

// Restore adds the record of a transfer that an earlier leader has written.
func (f *ForeignJobs) Restore(key ForeignKey, record ForeignRecord, version uint64) {
	f.records[key] = &foreignJob{record: record, version: version}
}

// Record returns a transfer's record, for operators.
func (f *ForeignJobs) Record(key ForeignKey) (ForeignRecord, bool) {
	entry := f.records[key]
	if entry == nil {
		return ForeignRecord{}, false
	}
	return entry.record, true
}

// Keys returns the transfers in the order of origin and job.
func (f *ForeignJobs) Keys() []ForeignKey {
	var keys []ForeignKey
	for key := range f.records {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b ForeignKey) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.JobID, b.JobID))
	})
	return keys
}

// HandleMessage answers a message of an origin. A decision is answered only once it is durable.
func (f *ForeignJobs) HandleMessage(origin string, m Message, wallMS int64) Answer {
	key := ForeignKey{origin, m.JobID}
	entry := f.records[key]
	if entry == nil {
		entry = &foreignJob{}
		f.records[key] = entry
	}
	answer := Answer{JobID: m.JobID, Epoch: m.Epoch}
	switch {
	case m.Epoch < entry.record.Epoch:
		answer.Outcome = OutcomeStale
	case entry.pendingRecord != nil:
		answer.Outcome = OutcomePending
	case m.Epoch == entry.record.Epoch:
		f.answerDecided(key, entry, m, wallMS, &answer)
	default:
		f.decide(key, entry, m, wallMS, &answer)
	}
	if entry.version == 0 && entry.pendingRecord == nil {
		delete(f.records, key) // it is empty; messages of arbitrary jobs must not fill the map
	}
	return answer
}

// answerDecided answers a message of an epoch whose outcome is durable.
func (f *ForeignJobs) answerDecided(key ForeignKey, entry *foreignJob, m Message, wallMS int64, a *Answer) {
	switch entry.record.State {
	case ForeignRefused:
		a.Outcome, a.Reason, a.Temporary = OutcomeRefused, entry.record.Reason, entry.record.Temporary
	case ForeignRevoked:
		a.Outcome = OutcomeRevoked
	case ForeignReleased:
		a.Outcome = OutcomeReleased
		return
	case ForeignAccepted:
		f.answerAccepted(key, entry, m, wallMS, a)
		return
	}
	if m.Kind == Release {
		a.Outcome = OutcomeReleased // nothing but the record is kept
	}
}

// answerAccepted answers a message about an accepted job.
func (f *ForeignJobs) answerAccepted(key ForeignKey, entry *foreignJob, m Message, wallMS int64, a *Answer) {
	job, known := f.localJobs.ForeignJobState(key)
	a.Done, a.Running = job.Done, job.Running
	switch {
	case !known:
		a.Outcome = OutcomePending // its record was written but not read yet
	case !job.Ended:
		a.Outcome = OutcomeAccepted
		if m.Kind == Cancel {
			f.trace(key, m.Epoch, StepCancelling, "requested by the origin")
			f.emit(CancelForeign{key.JobID})
		}
	case m.Kind == Release:
		f.write(key, entry, ForeignRecord{Epoch: m.Epoch, State: ForeignReleased, SinceMS: wallMS, Repeatable: entry.record.Repeatable}, nil)
		a.Outcome = OutcomePending
	case job.Cancelled:
		a.Outcome = OutcomeCancelled
	default:
		a.Outcome = OutcomeDone
	}
}

// decide decides an epoch by its first message. While an earlier epoch may still run here,
// nothing is decided: the origin has to end that one first.
func (f *ForeignJobs) decide(key ForeignKey, entry *foreignJob, m Message, wallMS int64, a *Answer) {
	if entry.record.State == ForeignAccepted {
		if job, known := f.localJobs.ForeignJobState(key); !known || !job.Ended {
			a.Outcome, a.Reason = OutcomePending, "an earlier epoch of the job still runs here"
			return
		}
	}
	record := ForeignRecord{Epoch: m.Epoch, SinceMS: wallMS}
	switch m.Kind {
	case Status:
		a.Outcome = OutcomeAbsent
		return
	case Release:
		a.Outcome = OutcomeReleased
		return
	case Revoke, Cancel:
		record.State = ForeignRevoked
		f.write(key, entry, record, nil)
	case Offer:
		f.decideOffer(key, entry, m.Body, record)
	}
	a.Outcome = OutcomePending
}

// decideOffer accepts or refuses a new offer.
func (f *ForeignJobs) decideOffer(key ForeignKey, entry *foreignJob, body *OfferBody, record ForeignRecord) {
	if body == nil {
		return // malformed; the epoch stays undecided
	}
	if refusal := f.localJobs.Admit(key.Origin, key.JobID, body); refusal.Reason != "" {
		record.State, record.Reason, record.Temporary = ForeignRefused, refusal.Reason, refusal.Temporary
		f.write(key, entry, record, nil)
		return
	}
	record.State, record.Repeatable = ForeignAccepted, body.Repeatable
	f.write(key, entry, record, body)
}

// write writes a record; with a body it accepts the job.
func (f *ForeignJobs) write(key ForeignKey, entry *foreignJob, record ForeignRecord, body *OfferBody) {
	entry.pendingRecord = &record
	f.emit(WriteForeign{Key: key, Record: record, Version: entry.version, Body: body})
}

// RecordWritten is called with the outcome of a write: the version of its key, or that a job of
// that name exists, in which case nothing was written.
func (f *ForeignJobs) RecordWritten(key ForeignKey, record ForeignRecord, version uint64, jobExists bool, wallMS int64) {
	entry := f.records[key]
	if entry == nil || entry.pendingRecord == nil || *entry.pendingRecord != record {
		return
	}
	entry.pendingRecord = nil
	if jobExists {
		refused := ForeignRecord{Epoch: record.Epoch, State: ForeignRefused, SinceMS: wallMS, Reason: "a job of this name exists here"}
		f.write(key, entry, refused, nil)
		return
	}
	entry.record, entry.version = record, version
	f.trace(key, record.Epoch, stepOfState[record.State], record.Reason)
}

var stepOfState = map[ForeignState]string{ForeignAccepted: StepAccepted, ForeignRefused: StepRefused, ForeignRevoked: StepRevoked, ForeignReleased: StepReleased}
