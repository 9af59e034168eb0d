// Package federation moves whole jobs between the cells of one operator. The cell whose users
// submitted a job is its origin for life. An origin that is short of capacity offers jobs that
// have never been started to a neighbouring cell, which runs them as foreign jobs.
//
// Both sides of a transfer are pure: DelegatedJobs (at the origin) and ForeignJobs (at the
// neighbour) take a message, a response, a durable write or the time, and return effects.
// Neither does I/O, so the same code runs in the leader and under a model checker.
// docs/design-spill.md argues why a job gets one final state and why at most one cell runs it.
package federation

import "time"

// DelegatedState is the state of a transfer in home's record.
type DelegatedState string

// The states of a transfer in home's record.
const (
	// Offered: the neighbour may have accepted the job, or may yet accept it.
	Offered DelegatedState = "offered"
	// Accepted: the neighbour has accepted the job and alone decides what runs.
	Accepted DelegatedState = "accepted"
	// Returned: the epoch is closed and the job is home's to run.
	Returned DelegatedState = "returned"
)

// DelegatedRecord is home's record of a job's latest transfer. It is durable before the
// offer is sent, and stays until the job is over and the neighbour needs nothing more.
type DelegatedRecord struct {
	// Cell is the neighbour.
	Cell string `json:"to"`
	// Epoch numbers the transfers of one job from 1. What belongs to another epoch
	// than the record's changes nothing.
	Epoch uint64         `json:"epoch"`
	State DelegatedState `json:"state"`
	// SinceMS is the time of day at which the transfer began.
	SinceMS int64 `json:"since_ms"`
	// Repeatable is the declaration of the job's class when the transfer began.
	Repeatable bool `json:"repeatable,omitempty"`
	// Cleanup is set while the neighbour may still run a job that was taken back.
	Cleanup bool `json:"cleanup,omitempty"`
}

// ForeignState is the state of a transfer in the neighbour's record.
type ForeignState string

// The states of a transfer in the neighbour's record. All but GuestAccepted close the
// epoch without a run.
const (
	ForeignAccepted ForeignState = "accepted"
	ForeignRefused  ForeignState = "refused"
	ForeignRevoked  ForeignState = "revoked"
	// ForeignReleased: home knows the result and will not ask again.
	ForeignReleased ForeignState = "released"
)

// ForeignRecord is the neighbour's record of a job's latest transfer from one home. The
// first write of an epoch decides it: an accept and a revocation need the same key at
// the same version, so that exactly one of them is carried out. It is never deleted, or a
// late copy of the offer would find no trace of it.
type ForeignRecord struct {
	Epoch   uint64       `json:"epoch"`
	State   ForeignState `json:"state"`
	SinceMS int64        `json:"since_ms"`
	// Repeatable is home's declaration, as the offer carried it.
	Repeatable bool `json:"repeatable,omitempty"`
	// Reason is why the offer was refused, and Temporary is set when another one may
	// be accepted: there was no room.
	Reason    string `json:"reason,omitempty"`
	Temporary bool   `json:"temporary,omitempty"`
}

// Kind is what home asks of a neighbour about one job.
type Kind int

// The kinds of messages.
const (
	// Offer asks the neighbour to accept the job.
	Offer Kind = iota + 1
	// Revoke asks it not to accept the job any more. It ends no accepted one.
	Revoke
	// Cancel revokes the offer, or has an accepted job cancelled: its user wants that.
	Cancel
	// Status asks for the state.
	Status
	// Release tells that home has the result.
	Release
)

var kindNames = map[Kind]string{Offer: "offer", Revoke: "revoke", Cancel: "cancel", Status: "status", Release: "release"}

// String is the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

// Message is what home sends about one job. It may be lost, late or doubled.
type Message struct {
	Kind  Kind
	JobID string
	Epoch uint64
	// Body has the job, with an offer.
	Body *OfferBody
}

// OfferBody is what an offer carries. The neighbour's record of the job is made of it.
type OfferBody struct {
	// Job is the description as its user submitted it, in JSON.
	Job []byte
	// Cores is what all its tasks ask for together.
	Cores float64
	// AcceptedMS is the time of day at which home accepted the job. Deadlines count
	// from then.
	AcceptedMS int64
	Repeatable bool
}

// Outcome is what a neighbour says of a transfer.
type Outcome int

// The outcomes. Those from OutcomeAccepted on are durable at the neighbour.
const (
	// OutcomePending: it is being written; ask again.
	OutcomePending Outcome = iota + 1
	// OutcomeAbsent: the neighbour knows nothing of this epoch so far.
	OutcomeAbsent
	// OutcomeAccepted: the job is the neighbour's to run.
	OutcomeAccepted
	// OutcomeDone and OutcomeAborted are the ends of an accepted job.
	OutcomeDone
	OutcomeAborted
	// OutcomeRefused and OutcomeRevoked: it will never be accepted in this epoch.
	OutcomeRefused
	OutcomeRevoked
	// OutcomeReleased: the neighbour has closed the transfer.
	OutcomeReleased
	// OutcomeStale: the neighbour knows a later epoch of the job.
	OutcomeStale
)

var outcomeNames = map[Outcome]string{OutcomePending: "pending", OutcomeAbsent: "absent", OutcomeAccepted: "accepted", OutcomeDone: "done",
	OutcomeAborted: "aborted", OutcomeRefused: "refused", OutcomeRevoked: "revoked", OutcomeReleased: "released", OutcomeStale: "stale"}

// String is the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is a neighbour's answer to one message.
type Answer struct {
	JobID   string
	Epoch   uint64
	Outcome Outcome
	// Done and Running count the tasks of an accepted job, for display.
	Done, Running int
	// Reason explains a refusal. A temporary one is for want of room, and RetryAfter says
	// when to ask for that again.
	Reason     string
	Temporary  bool
	RetryAfter time.Duration
}

// Refusal is why an offer is not accepted. The zero value is none.
type Refusal struct {
	Reason    string
	Temporary bool
}

// TransferStep is a step of a transfer for logs, counters and traces.
type TransferStep struct {
	// Origin is the job's home where that is another cell; Cell is the neighbour.
	Origin, Cell string
	JobID        string
	Epoch        uint64
	Step         string
	Reason       string
}

// The steps that notes tell of.
const (
	StepPlanned       = "planned"
	StepAccepted      = "accepted"
	StepRefused       = "refused"
	StepRevoking      = "revoking"
	StepRevoked       = "revoked"
	StepCancelling    = "cancelling"
	StepEnded         = "ended"
	StepTakenBack     = "taken back"
	StepReturned      = "returned"
	StepCleaned       = "cleaned"
	StepReleased      = "released"
	StepContradiction = "contradiction"
)
