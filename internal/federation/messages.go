package federation

import "time"

// Kind is the kind of a message from the origin to a neighbour.
type Kind int

// The kinds of messages from the origin to a neighbour.
const (
	// Offer requests that the neighbour accept the job.
	Offer Kind = iota + 1
	// Revoke withdraws the offer. It has no effect on an accepted job.
	Revoke
	// Cancel withdraws the offer or cancels the accepted job. It follows a user's cancellation
	// or a reclaim by the origin.
	Cancel
	// Status requests the state of the transfer.
	Status
	// Release confirms that the origin has recorded the result.
	Release
)

var kindNames = map[Kind]string{Offer: "offer", Revoke: "revoke", Cancel: "cancel", Status: "status", Release: "release"}

// String returns the kind's name for logs.
func (k Kind) String() string { return kindNames[k] }

// Message is a message from the origin to a neighbour about one job. Messages may be lost, delayed,
// reordered or duplicated.
type Message struct {
	Kind  Kind
	JobID string
	Epoch uint64
	// Body describes the job in an offer; nil in all other messages.
	Body *OfferBody
}

// OfferBody is the content of an offer, from which the neighbour creates its job record.
type OfferBody struct {
	// Job is the job description in JSON, as the user submitted it except for three fields: the
	// dependencies are left out, since they are done, and the priority and the deadline are the
	// present ones, which may be inherited from a dependent.
	Job []byte
	// Cores is the sum of the cores of all tasks of the job.
	Cores float64
	// AcceptedMS is the wall-clock time at which the origin accepted the job, in Unix
	// milliseconds. The job's deadline counts from it.
	AcceptedMS int64
	// Repeatable is set if the origin's settings declare the job's class repeatable.
	Repeatable bool
}

// Outcome is the state of a transfer in a neighbour's answer.
type Outcome int

// The outcomes. Those from OutcomeAccepted on are durable at the neighbour.
const (
	// OutcomePending means that the outcome is not durable or not known yet. The origin has to
	// repeat the message.
	OutcomePending Outcome = iota + 1
	// OutcomeAbsent means that the neighbour has no record of this epoch.
	OutcomeAbsent
	// OutcomeAccepted means that the neighbour has accepted the job, which has not ended.
	OutcomeAccepted
	// OutcomeDone and OutcomeCancelled are the terminal states of an accepted job.
	OutcomeDone
	OutcomeCancelled
	// OutcomeRefused and OutcomeRevoked mean that the job is never accepted in this epoch.
	OutcomeRefused
	OutcomeRevoked
	// OutcomeReleased means that the neighbour has closed the transfer.
	OutcomeReleased
	// OutcomeStale means that the neighbour has a record of a later epoch.
	OutcomeStale
)

var outcomeNames = map[Outcome]string{OutcomePending: "pending", OutcomeAbsent: "absent", OutcomeAccepted: "accepted", OutcomeDone: "done",
	OutcomeCancelled: "aborted", OutcomeRefused: "refused", OutcomeRevoked: "revoked", OutcomeReleased: "released", OutcomeStale: "stale"}

// String returns the outcome's name for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is a neighbour's answer to one message.
type Answer struct {
	JobID   string
	Epoch   uint64
	Outcome Outcome
	// Done and Running count the tasks of an accepted job, for display.
	Done, Running int
	// Reason explains a refusal, or why the outcome is pending. Temporary is set if a lack of
	// capacity is the reason, and RetryAfter is how long the origin has to wait before it
	// requests capacity again.
	Reason     string
	Temporary  bool
	RetryAfter time.Duration
}

// Refusal says why an offer is refused. The zero value means that the offer is accepted.
type Refusal struct {
	Reason    string
	Temporary bool
}
