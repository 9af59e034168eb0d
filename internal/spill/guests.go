package spill

import (
	"cmp"
	"slices"
)

// GuestKey names a transfer at the neighbour.
type GuestKey struct{ Home, Ref string }

// GuestEffect is what follows from a step of Guests.
type GuestEffect interface{ isGuestEffect() }

func (WriteGuest) isGuestEffect()      {}
func (CancelGuest) isGuestEffect()     {}
func (NoteGuestEffect) isGuestEffect() {}

// The effects of Guests.
type (
	// WriteGuest writes a guest's record if its key still has a version, under the
	// leader's term. With a body, it also creates the job's record, and neither is
	// written if there is such a job. Written is to be called with what came of it,
	// once that is certain.
	WriteGuest struct {
		Key     GuestKey
		Record  GuestRecord
		Version uint64
		Body    *OfferBody
	}
	// CancelGuest has an accepted job cancelled.
	CancelGuest struct{ Ref string }
	// NoteGuestEffect tells of a step.
	NoteGuestEffect struct{ Note Note }
)

// JobState is what the neighbour knows of a job that it has accepted.
type JobState struct {
	// Over: its end is durable. Aborted tells which one.
	Over, Aborted bool
	Done, Running int
}

// GuestJobs looks up the jobs that the neighbour has accepted.
type GuestJobs interface {
	// GuestState is the state of a guest.
	GuestState(key GuestKey) (JobState, bool)
	// Admit tells whether an offer is taken now, and else why not.
	Admit(home string, ref string, body *OfferBody) Refusal
}

// guest is the neighbour's view of one job's latest transfer from one home.
type guest struct {
	record  GuestRecord
	version uint64 // of its key; 0: there is none
	// writing is the record that is on its way; nil: none.
	writing *GuestRecord
}

// Guests is the neighbour's side of all transfers, in one term of its leader.
type Guests struct {
	guests map[GuestKey]*guest
	jobs   GuestJobs
	out    []GuestEffect
}

// NewGuests makes the neighbour's side.
func NewGuests(jobs GuestJobs) *Guests { return &Guests{guests: map[GuestKey]*guest{}, jobs: jobs} }

// Take returns the effects since the last call.
func (g *Guests) Take() []GuestEffect {
	out := g.out
	g.out = nil
	return out
}

func (g *Guests) emit(effect GuestEffect) { g.out = append(g.out, effect) }

func (g *Guests) note(key GuestKey, epoch uint64, step, reason string) {
	g.emit(NoteGuestEffect{Note{Home: key.Home, Ref: key.Ref, Epoch: epoch, Step: step, Reason: reason}})
}

// Restore takes a record over from an earlier leader.
func (g *Guests) Restore(key GuestKey, record GuestRecord, version uint64) {
	g.guests[key] = &guest{record: record, version: version}
}

// Record is a guest's record, for operators.
func (g *Guests) Record(key GuestKey) (GuestRecord, bool) {
	r := g.guests[key]
	if r == nil {
		return GuestRecord{}, false
	}
	return r.record, true
}

// Keys lists the transfers in order.
func (g *Guests) Keys() []GuestKey {
	var keys []GuestKey
	for key := range g.guests {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b GuestKey) int {
		return cmp.Or(cmp.Compare(a.Home, b.Home), cmp.Compare(a.Ref, b.Ref))
	})
	return keys
}

// Asked answers a message of a home. Nothing is answered as decided before it is durable.
func (g *Guests) Asked(home string, m Message, wallMS int64) Answer {
	key := GuestKey{home, m.Ref}
	r := g.guests[key]
	if r == nil {
		r = &guest{}
		g.guests[key] = r
	}
	answer := Answer{Ref: m.Ref, Epoch: m.Epoch}
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
func (g *Guests) askedAgain(key GuestKey, r *guest, m Message, wallMS int64, a *Answer) {
	switch r.record.State {
	case GuestRefused:
		a.Outcome, a.Reason, a.Temporary = OutcomeRefused, r.record.Reason, r.record.Temporary
	case GuestRevoked:
		a.Outcome = OutcomeRevoked
	case GuestReleased:
		a.Outcome = OutcomeReleased
		return
	case GuestAccepted:
		g.askedAccepted(key, r, m, wallMS, a)
		return
	}
	if m.Kind == Release {
		a.Outcome = OutcomeReleased // there is nothing to be kept but the record
	}
}

// askedAccepted answers a message about an accepted job.
func (g *Guests) askedAccepted(key GuestKey, r *guest, m Message, wallMS int64, a *Answer) {
	job, known := g.jobs.GuestState(key)
	a.Done, a.Running = job.Done, job.Running
	switch {
	case !known:
		a.Outcome = OutcomePending // its record was written and is still to be read
	case !job.Over:
		a.Outcome = OutcomeAccepted
		if m.Kind == Cancel {
			g.note(key, m.Epoch, StepCancelling, "home asks for it")
			g.emit(CancelGuest{key.Ref})
		}
	case m.Kind == Release:
		g.write(key, r, GuestRecord{Epoch: m.Epoch, State: GuestReleased, SinceMS: wallMS, Repeatable: r.record.Repeatable}, nil)
		a.Outcome = OutcomePending
	case job.Aborted:
		a.Outcome = OutcomeAborted
	default:
		a.Outcome = OutcomeDone
	}
}

// askedFirst answers the first message of an epoch. While an earlier epoch may still
// run here, nothing is decided: home has to settle that one first.
func (g *Guests) askedFirst(key GuestKey, r *guest, m Message, wallMS int64, a *Answer) {
	if r.record.State == GuestAccepted {
		if job, known := g.jobs.GuestState(key); !known || !job.Over {
			a.Outcome, a.Reason = OutcomePending, "an earlier epoch of the job still runs here"
			return
		}
	}
	record := GuestRecord{Epoch: m.Epoch, SinceMS: wallMS}
	switch m.Kind {
	case Status:
		a.Outcome = OutcomeAbsent
		return
	case Release:
		a.Outcome = OutcomeReleased
		return
	case Revoke, Cancel:
		record.State = GuestRevoked
		g.write(key, r, record, nil)
	case Offer:
		g.offered(key, r, m.Body, record)
	}
	a.Outcome = OutcomePending
}

// offered decides a new offer.
func (g *Guests) offered(key GuestKey, r *guest, body *OfferBody, record GuestRecord) {
	if body == nil {
		return // malformed; nothing is decided by it
	}
	if refusal := g.jobs.Admit(key.Home, key.Ref, body); refusal.Reason != "" {
		record.State, record.Reason, record.Temporary = GuestRefused, refusal.Reason, refusal.Temporary
		g.write(key, r, record, nil)
		return
	}
	record.State, record.Repeatable = GuestAccepted, body.Repeatable
	g.write(key, r, record, body)
}

func (g *Guests) write(key GuestKey, r *guest, record GuestRecord, body *OfferBody) {
	r.writing = &record
	g.emit(WriteGuest{Key: key, Record: record, Version: r.version, Body: body})
}

// Written tells what came of a write: the version of the guest's key after it, and
// whether a job of that name was in the way. Then nothing was written.
func (g *Guests) Written(key GuestKey, record GuestRecord, version uint64, jobExists bool, wallMS int64) {
	r := g.guests[key]
	if r == nil || r.writing == nil || *r.writing != record {
		return
	}
	r.writing = nil
	if jobExists {
		refused := GuestRecord{Epoch: record.Epoch, State: GuestRefused, SinceMS: wallMS, Reason: "a job of this name is known here"}
		g.write(key, r, refused, nil)
		return
	}
	r.record, r.version = record, version
	g.note(key, record.Epoch, guestSteps[record.State], record.Reason)
}

var guestSteps = map[GuestState]string{GuestAccepted: StepAccepted, GuestRefused: StepRefused, GuestRevoked: StepRevoked, GuestReleased: StepReleased}
