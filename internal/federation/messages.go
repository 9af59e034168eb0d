package federation

import "time"

// Kind is the kind of a message.
type Kind int

// The kinds of messages from the origin to a neighbour.
const (
	// Offer asks the neighbour to accept the job.
	Offer Kind = iota + 1
	// Revoke withdraws the offer. It does not end an accepted job.
	Revoke
	// Cancel withdraws the offer or cancels an accepted job, at its user's request.
	Cancel
	// Status requests the state of the transfer.
	Status
	// Release confirms that the origin has the result.
	Release
)

var kindNames = map[Kind]string{Offer: "offer", Revoke: "revoke", Cancel: "cancel", Status: "status", Release: "release"}

// String is the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

// Message is a message of the origin about one job. It may be lost, delayed or duplicated.
type Message struct {
	Kind  Kind
	JobID string
	Epoch uint64
	// Body has the job, with an offer.
	Body *OfferBody
}

// OfferBody is the content of an offer, from which the neighbour makes its job record.
type OfferBody struct {
	// Job is the description as its user submitted it, in JSON.
	Job []byte
	// Cores is the sum of all its tasks.
	Cores float64
	// AcceptedMS is the time of day at which the origin accepted the job. Deadlines are
	// counted from it.
	AcceptedMS int64
	Repeatable bool
}

// Outcome is the state of a transfer in a neighbour's answer.
type Outcome int

// The outcomes. Those from OutcomeAccepted on are durable at the neighbour.
const (
	// OutcomePending: a record is being written; the message has to be repeated.
	OutcomePending Outcome = iota + 1
	// OutcomeAbsent: the neighbour has no record of this epoch.
	OutcomeAbsent
	// OutcomeAccepted: the neighbour runs the job.
	OutcomeAccepted
	// OutcomeDone and OutcomeCancelled are the ends of an accepted job.
	OutcomeDone
	OutcomeCancelled
	// OutcomeRefused and OutcomeRevoked: the job is never accepted in this epoch.
	OutcomeRefused
	OutcomeRevoked
	// OutcomeReleased: the neighbour has closed the transfer.
	OutcomeReleased
	// OutcomeStale: the neighbour has a record of a later epoch.
	OutcomeStale
)

var outcomeNames = map[Outcome]string{OutcomePending: "pending", OutcomeAbsent: "absent", OutcomeAccepted: "accepted", OutcomeDone: "done",
	OutcomeCancelled: "aborted", OutcomeRefused: "refused", OutcomeRevoked: "revoked", OutcomeReleased: "released", OutcomeStale: "stale"}

// String is the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is a neighbour's answer to one message.
type Answer struct {
	JobID   string
	Epoch   uint64
	Outcome Outcome
	// Done and Running count the tasks of an accepted job, for display.
	Done, Running int
	// Reason explains a refusal. A temporary refusal is for want of capacity, and RetryAfter
	// is when to request capacity again.
	Reason     string
	Temporary  bool
	RetryAfter time.Duration
}

// Refusal is the reason for which an offer is refused. The zero value: it is accepted.
type Refusal struct {
	Reason    string
	Temporary bool
}
