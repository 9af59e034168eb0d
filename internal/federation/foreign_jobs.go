package federation

import (
	"cmp"
	"slices"
)

// ForeignKey names a transfer at the neighbour.
type ForeignKey struct{ Origin, JobID string }

// ForeignEffect is what follows from a step of Guests.
type ForeignEffect interface{ isGuestEffect() }

func (WriteForeign) isGuestEffect()  {}
func (CancelForeign) isGuestEffect() {}
func (TraceForeign) isGuestEffect()  {}

// The effects of Guests.
type (
	// WriteForeign writes a guest's record if its key still has a version, under the
	// leader's term. With a body, it also creates the job's record, and neither is
	// written if there is such a job. Written is to be called with what came of it,
	// once that is certain.
	WriteForeign struct {
		Key     ForeignKey
		Record  ForeignRecord
		Version uint64
		Body    *OfferBody
	}
	// CancelForeign has an accepted job cancelled.
	CancelForeign struct{ JobID string }
	// TraceForeign tells of a step.
	TraceForeign struct{ Step TransferStep }
)

// JobState is what the neighbour knows of a job that it has accepted.
type JobState struct {
	// Over: its end is durable. Aborted tells which one.
	Over, Aborted bool
	Done, Running int
}

// LocalJobs looks up the jobs that the neighbour has accepted.
type LocalJobs interface {
	// ForeignJobState is the state of a guest.
	ForeignJobState(key ForeignKey) (JobState, bool)
	// Admit tells whether an offer is taken now, and else why not.
	Admit(home string, ref string, body *OfferBody) Refusal
}

// guest is the neighbour's view of one job's latest transfer from one home.
type guest struct {
	record  ForeignRecord
	version uint64 // of its key; 0: there is none
	// writing is the record that is on its way; nil: none.
	writing *ForeignRecord
}

// ForeignJobs is the neighbour's side of all transfers, in one term of its leader.
type ForeignJobs struct {
	guests map[ForeignKey]*guest
	jobs   LocalJobs
	out    []ForeignEffect
}

// NewForeignJobs makes the neighbour's side.
func NewForeignJobs(jobs LocalJobs) *ForeignJobs {
	return &ForeignJobs{guests: map[ForeignKey]*guest{}, jobs: jobs}
}

// Take returns the effects since the last call.
func (g *ForeignJobs) Take() []ForeignEffect {
	out := g.out
	g.out = nil
	return out
}

func (g *ForeignJobs) emit(effect ForeignEffect) { g.out = append(g.out, effect) }

func (g *ForeignJobs) note(key ForeignKey, epoch uint64, step, reason string) {
	g.emit(TraceForeign{TransferStep{Origin: key.Origin, JobID: key.JobID, Epoch: epoch, Step: step, Reason: reason}})
}

// Restore takes a record over from an earlier leader.
func (g *ForeignJobs) Restore(key ForeignKey, record ForeignRecord, version uint64) {
	g.guests[key] = &guest{record: record, version: version}
}

// Record is a guest's record, for operators.
func (g *ForeignJobs) Record(key ForeignKey) (ForeignRecord, bool) {
	r := g.guests[key]
	if r == nil {
		return ForeignRecord{}, false
	}
	return r.record, true
}

// Keys lists the transfers in order.
func (g *ForeignJobs) Keys() []ForeignKey {
	var keys []ForeignKey
	for key := range g.guests {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b ForeignKey) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.JobID, b.JobID))
	})
	return keys
}

// Asked answers a message of a home. Nothing is answered as decided before it is durable.
func (g *ForeignJobs) Asked(home string, m Message, wallMS int64) Answer {
	key := ForeignKey{home, m.JobID}
	r := g.guests[key]
	if r == nil {
		r = &guest{}
		g.guests[key] = r
	}
	answer := Answer{JobID: m.JobID, Epoch: m.Epoch}
	switch {
	case m.Epoch < r.record.Epoch:
		answer.Outcome = OutcomeStale
	case r.writing != nil:
		answer.Outcome = OutcomePending
	case m.Epoch == r.record.Epoch:
		g.askedAgain(key, r, m, wallMS, &answer)
	default:
		g.askedFirst(key, r, m, wallMS, &answer)
	}
	if r.version == 0 && r.writing == nil {
		delete(g.guests, key) // it holds nothing; a stranger's questions must not fill the map
	}
	return answer
}

// askedAgain answers a message of an epoch that is decided.
func (g *ForeignJobs) askedAgain(key ForeignKey, r *guest, m Message, wallMS int64, a *Answer) {
	switch r.record.State {
	case ForeignRefused:
		a.Outcome, a.Reason, a.Temporary = OutcomeRefused, r.record.Reason, r.record.Temporary
	case ForeignRevoked:
		a.Outcome = OutcomeRevoked
	case ForeignReleased:
		a.Outcome = OutcomeReleased
		return
	case ForeignAccepted:
		g.askedAccepted(key, r, m, wallMS, a)
		return
	}
	if m.Kind == Release {
		a.Outcome = OutcomeReleased // there is nothing to be kept but the record
	}
}

// askedAccepted answers a message about an accepted job.
func (g *ForeignJobs) askedAccepted(key ForeignKey, r *guest, m Message, wallMS int64, a *Answer) {
	job, known := g.jobs.ForeignJobState(key)
	a.Done, a.Running = job.Done, job.Running
	switch {
	case !known:
		a.Outcome = OutcomePending // its record was written and is still to be read
	case !job.Over:
		a.Outcome = OutcomeAccepted
		if m.Kind == Cancel {
			g.note(key, m.Epoch, StepCancelling, "home asks for it")
			g.emit(CancelForeign{key.JobID})
		}
	case m.Kind == Release:
		g.write(key, r, ForeignRecord{Epoch: m.Epoch, State: ForeignReleased, SinceMS: wallMS, Repeatable: r.record.Repeatable}, nil)
		a.Outcome = OutcomePending
	case job.Aborted:
		a.Outcome = OutcomeAborted
	default:
		a.Outcome = OutcomeDone
	}
}

// askedFirst answers the first message of an epoch. While an earlier epoch may still
// run here, nothing is decided: home has to settle that one first.
func (g *ForeignJobs) askedFirst(key ForeignKey, r *guest, m Message, wallMS int64, a *Answer) {
	if r.record.State == ForeignAccepted {
		if job, known := g.jobs.ForeignJobState(key); !known || !job.Over {
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
		g.write(key, r, record, nil)
	case Offer:
		g.offered(key, r, m.Body, record)
	}
	a.Outcome = OutcomePending
}

// offered decides a new offer.
func (g *ForeignJobs) offered(key ForeignKey, r *guest, body *OfferBody, record ForeignRecord) {
	if body == nil {
		return // malformed; nothing is decided by it
	}
	if refusal := g.jobs.Admit(key.Origin, key.JobID, body); refusal.Reason != "" {
		record.State, record.Reason, record.Temporary = ForeignRefused, refusal.Reason, refusal.Temporary
		g.write(key, r, record, nil)
		return
	}
	record.State, record.Repeatable = ForeignAccepted, body.Repeatable
	g.write(key, r, record, body)
}

func (g *ForeignJobs) write(key ForeignKey, r *guest, record ForeignRecord, body *OfferBody) {
	r.writing = &record
	g.emit(WriteForeign{Key: key, Record: record, Version: r.version, Body: body})
}

// Written tells what came of a write: the version of the guest's key after it, and
// whether a job of that name was in the way. Then nothing was written.
func (g *ForeignJobs) Written(key ForeignKey, record ForeignRecord, version uint64, jobExists bool, wallMS int64) {
	r := g.guests[key]
	if r == nil || r.writing == nil || *r.writing != record {
		return
	}
	r.writing = nil
	if jobExists {
		refused := ForeignRecord{Epoch: record.Epoch, State: ForeignRefused, SinceMS: wallMS, Reason: "a job of this name is known here"}
		g.write(key, r, refused, nil)
		return
	}
	r.record, r.version = record, version
	g.note(key, record.Epoch, guestSteps[record.State], record.Reason)
}

var guestSteps = map[ForeignState]string{ForeignAccepted: StepAccepted, ForeignRefused: StepRefused, ForeignRevoked: StepRevoked, ForeignReleased: StepReleased}
