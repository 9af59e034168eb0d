package scheduler

import (
	"leadproxy/internal/drain"
	"leadproxy/internal/fleet"
	"leadproxy/internal/hints"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// Event is what the core is stepped with.
type Event interface{ isEvent() }

func (JobSeen) isEvent()     {}
func (ReportIn) isEvent()    {}
func (DirectBack) isEvent()  {}
func (CancelAsked) isEvent() {}
func (StatusAsked) isEvent() {}
func (NowDurable) isEvent()  {}
func (CloudBack) isEvent()   {}
func (InspectBack) isEvent() {}
func (Formats) isEvent()     {}
func (Rejected) isEvent()    {}
func (Tick) isEvent()        {}

func (TransfersAnswered) isEvent() {}
func (RoomAnswered) isEvent()      {}
func (TransfersAsked) isEvent()    {}
func (RoomAsked) isEvent()         {}
func (GuestWritten) isEvent()      {}
func (TransfersAllowed) isEvent()  {}
func (TransfersListed) isEvent()   {}
func (HintsAsked) isEvent()        {}
func (PlanAsked) isEvent()         {}
func (PlansListed) isEvent()       {}

// Recipient is who gets the answer to a report, a question or a cancellation.
type Recipient interface {
	// Deliver takes the answer. It does not wait.
	Deliver(answer Effect)
}

// The events.
type (
	// JobSeen tells of a job record, from a node that accepted it or from the
	// watch.
	JobSeen struct {
		Ref     string
		Record  ledger.JobRecord
		Version uint64
	}
	// ReportIn is a worker's report that wants an answer.
	ReportIn struct {
		Report *wire.Report
		To     Recipient
	}
	// DirectBack is the outcome of a direct command.
	DirectBack struct {
		Call    uint64
		Outcome DirectOutcome
		Report  *wire.Report // with DirectDone and DirectRefused
	}
	// CancelAsked is a user asking to cancel a job.
	CancelAsked struct {
		Ref string
		To  Recipient
	}
	// StatusAsked is a user's question.
	StatusAsked struct {
		Ref string
		To  Recipient
	}
	// NowDurable tells tags of writes that are durable.
	NowDurable struct{ Tags []ledger.Tag }
	// CloudBack is the outcome of a cloud call.
	CloudBack struct{ Result fleet.Result }
	// InspectBack is what a worker says when asked what it is now.
	InspectBack struct {
		Machine string
		Report  *wire.Report // nil: no answer
	}
	// Formats tells how many bytes a value may have from now on.
	Formats struct{ ValueBytes int }
	// Rejected tells tags of writes that were not carried out, since their values
	// are larger than the state service takes any more.
	Rejected struct{ Tags []ledger.Tag }
	// HintsAsked is a standby asking for what has changed in memory since an earlier
	// answer; 0: all.
	HintsAsked struct {
		Since uint64
		To    Recipient
	}
	// PlanAsked has a plan begin, with Spec, or tells the plan of a name something.
	PlanAsked struct {
		Spec     *drain.Spec
		Name     string
		Command  drain.Command
		Argument string
		To       Recipient
	}
	// PlansListed is an operator asking for the plans.
	PlansListed struct{ To Recipient }
	// Tick comes a few times a second.
	Tick struct{}
)

// DirectOutcome is what became of a direct command.
type DirectOutcome int

// The outcomes of a direct command.
const (
	DirectUnknown DirectOutcome = iota // it may act now or much later
	DirectDone                         // executed
	DirectRefused                      // nothing executed
	DirectNotSent                      // never left this process
)

// Effect is what follows from steps and is to be carried out.
type Effect interface{ isEffect() }

func (AnswerReport) isEffect() {}
func (Direct) isEffect()       {}
func (Inspect) isEffect()      {}
func (Put) isEffect()          {}
func (AnswerUser) isEffect()   {}
func (CallCloud) isEffect()    {}
func (EndTerm) isEffect()      {}

func (SendTransfers) isEffect()   {}
func (AskRoom) isEffect()         {}
func (AnswerTransfers) isEffect() {}
func (AnswerRoom) isEffect()      {}
func (PutGuest) isEffect()        {}
func (TransferNote) isEffect()    {}
func (TransferList) isEffect()    {}
func (HintsGiven) isEffect()      {}
func (PlanAnswer) isEffect()      {}
func (PlanList) isEffect()        {}

// The effects.
type (
	// AnswerReport answers a worker.
	AnswerReport struct {
		To     Recipient
		Answer *wire.ReportAnswer // nil: this node can't answer for the controllers
	}
	// Direct is a command to be sent straight to a worker.
	Direct struct {
		Call     uint64
		Machine  string
		Address  string
		Commands wire.Commands
	}
	// Inspect asks a worker what it is now.
	Inspect struct {
		Machine string
		Address string
	}
	// Put writes to the ledger.
	Put struct{ Writes []ledger.Write }
	// AnswerUser answers a question or a cancellation.
	AnswerUser struct {
		To     Recipient
		Known  bool
		Status wire.JobStatus
		// Deciding: the job's end is being written. The state service may have
		// it already, and another node may have told a user: only a fresh read
		// is as new as that.
		Deciding bool
		// Unreachable: another cell may run the job and does not answer.
		Unreachable bool
	}
	// CallCloud makes a call to the cloud.
	CallCloud struct{ Call fleet.Call }
	// HintsGiven answers a standby. With More there is more than it holds.
	HintsGiven struct {
		To       Recipient
		Term     uint64
		Machines []hints.Machine
		Learned  hints.Learned
		Upto     uint64
		More     bool
	}
	// PlanAnswer answers a command about a plan, once it is durable or refused.
	PlanAnswer struct {
		To  Recipient
		Err error
	}
	// PlanList answers an operator with the plans and the jobs that count as disrupted.
	PlanList struct {
		To        Recipient
		Term      uint64
		Plans     []PlanStatus
		Disrupted []drain.Entry
	}
	// EndTerm has this node give its term up, so that another one begins.
	EndTerm struct{}
)
