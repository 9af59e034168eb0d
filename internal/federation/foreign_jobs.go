package federation

import (
	"cmp"
	"slices"
)

// ForeignKey identifies a transfer at the neighbour by the origin and the job ID.
type ForeignKey struct{ Origin, JobID string }

// ForeignEffect is an effect that ForeignJobs returns and its caller executes.
type ForeignEffect interface{ isForeignEffect() }

func (WriteForeign) isForeignEffect()  {}
func (CancelForeign) isForeignEffect() {}
func (TraceForeign) isForeignEffect()  {}

// The effects at the neighbour.
type (
	// WriteForeign writes a transfer's record by compare-and-swap on the version of its key, on
	// condition of the leader's term. If Body isn't nil, the same transaction creates the job's
	// record, and neither is written if a job with that ID exists. The caller calls
	// RecordWritten once the outcome is known.
	WriteForeign struct {
		Key     ForeignKey
		Record  ForeignRecord
		Version uint64
		Body    *OfferBody
	}
	// CancelForeign cancels an accepted job.
	CancelForeign struct{ JobID string }
	// TraceForeign reports a step of a transfer for logs, counters and traces.
	TraceForeign struct{ Step TransferStep }
)

// JobState is the state of a job that the neighbour has accepted.
type JobState struct {
	// Ended is set once the job's terminal state is durable. Cancelled is set if that state is
	// cancelled.
	Ended, Cancelled bool
	// Done and Running count the job's tasks.
	Done, Running int
}

// LocalJobs gives access to the neighbour's jobs and decides whether offers are accepted.
type LocalJobs interface {
	// ForeignJobState returns the state of an accepted job, and false if there is no record of
	// the job.
	ForeignJobState(key ForeignKey) (JobState, bool)
	// Admit returns why an offer is refused, or the zero Refusal to accept it.
	Admit(origin, jobID string, body *OfferBody) Refusal
}

// foreignJob is the neighbour's state of one job's latest transfer from one origin.
type foreignJob struct {
	record  ForeignRecord
	version uint64 // version of the record's key; 0 if no record is durable
	// pendingRecord is the record that is being written, or nil.
	pendingRecord *ForeignRecord
}

// ForeignJobs is the neighbour's state of all transfers during one term of its leader.
type ForeignJobs struct {
	records   map[ForeignKey]*foreignJob
	localJobs LocalJobs
	effects   []ForeignEffect
}

// NewForeignJobs returns the neighbour's side of transfers, without any.
func NewForeignJobs(jobs LocalJobs) *ForeignJobs {
	return &ForeignJobs{records: map[ForeignKey]*foreignJob{}, localJobs: jobs}
}

// TakeEffects returns and removes the effects of all calls since the last TakeEffects, in order.
func (f *ForeignJobs) TakeEffects() []ForeignEffect {
	effects := f.effects
	f.effects = nil
	return effects
}

func (f *ForeignJobs) emit(effect ForeignEffect) { f.effects = append(f.effects, effect) }

func (f *ForeignJobs) trace(key ForeignKey, epoch uint64, step, reason string) {
	f.emit(TraceForeign{TransferStep{Origin: key.Origin, JobID: key.JobID, Epoch: epoch, Step: step, Reason: reason}})
}

// Restore adds a transfer's record that an earlier leader has written. version is that of its key.
func (f *ForeignJobs) Restore(key ForeignKey, record ForeignRecord, version uint64) {
	f.records[key] = &foreignJob{record: record, version: version}
}

// Record returns a transfer's record for display to operators, and false if there is none.
func (f *ForeignJobs) Record(key ForeignKey) (ForeignRecord, bool) {
	entry := f.records[key]
	if entry == nil {
		return ForeignRecord{}, false
	}
	return entry.record, true
}

// Keys returns the keys of all transfers, ordered by origin and job ID.
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

// HandleMessage answers a message from an origin. A decision is included in an answer only once it is
// durable; until then the outcome is OutcomePending. wallMS is the wall-clock time in Unix
// milliseconds.
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
		delete(f.records, key) // otherwise messages about arbitrary job IDs would fill the map
	}
	return answer
}

// answerDecided answers a message of the epoch of the durable record.
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
		a.Outcome = OutcomeReleased // there is no job to release; the record is kept as it is
	}
}

// answerAccepted answers a message about an accepted job.
func (f *ForeignJobs) answerAccepted(key ForeignKey, entry *foreignJob, m Message, wallMS int64, a *Answer) {
	job, known := f.localJobs.ForeignJobState(key)
	a.Done, a.Running = job.Done, job.Running
	switch {
	case !known:
		a.Outcome = OutcomePending // the job's record has been written but not read yet
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

// decide handles a message of an epoch that has no record yet, in most cases by writing one, which
// decides the epoch. While the job may still run here in an earlier epoch, nothing is decided: the
// origin has to end that run first.
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
		return // malformed offer; the epoch stays undecided
	}
	if refusal := f.localJobs.Admit(key.Origin, key.JobID, body); refusal.Reason != "" {
		record.State, record.Reason, record.Temporary = ForeignRefused, refusal.Reason, refusal.Temporary
		f.write(key, entry, record, nil)
		return
	}
	record.State, record.Repeatable = ForeignAccepted, body.Repeatable
	f.write(key, entry, record, body)
}

// write starts to write a record. If body isn't nil, the write also creates the job's record.
func (f *ForeignJobs) write(key ForeignKey, entry *foreignJob, record ForeignRecord, body *OfferBody) {
	entry.pendingRecord = &record
	f.emit(WriteForeign{Key: key, Record: record, Version: entry.version, Body: body})
}

// RecordWritten handles the outcome of a write: the new version of the record's key, or jobExists, in
// which case nothing was written because a job with that ID exists here.
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
