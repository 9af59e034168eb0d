package scheduler

import (
	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/rollout"
	"leadproxy/internal/softstate"
	"leadproxy/internal/wire"
)

// Event is what the core is stepped with.
type Event interface{ isEvent() }

func (JobRecordEvent) isEvent()    {}
func (HeartbeatEvent) isEvent()    {}
func (CommandResult) isEvent()     {}
func (CancelRequest) isEvent()     {}
func (StatusRequest) isEvent()     {}
func (WritesDurable) isEvent()     {}
func (CloudResult) isEvent()       {}
func (InspectResult) isEvent()     {}
func (ValueLimitChanged) isEvent() {}
func (WritesRejected) isEvent()    {}
func (Tick) isEvent()              {}

func (TransferResult) isEvent()      {}
func (CapacityResult) isEvent()      {}
func (TransferRequest) isEvent()     {}
func (CapacityRequest) isEvent()     {}
func (ForeignWriteResult) isEvent()  {}
func (TransfersEnabled) isEvent()    {}
func (TransferListRequest) isEvent() {}
func (SoftStateRequest) isEvent()    {}
func (PlanRequest) isEvent()         {}
func (PlanListRequest) isEvent()     {}

// Recipient is who gets the answer to a report, a question or a cancellation.
type Recipient interface {
	// Deliver takes the answer. It does not wait.
	Deliver(answer Effect)
}

// The events.
type (
	// JobRecordEvent tells of a job record, from a node that accepted it or from the
	// watch.
	JobRecordEvent struct {
		JobID   string
		Record  ledger.JobRecord
		Version uint64
	}
	// HeartbeatEvent is a worker's report that wants an answer.
	HeartbeatEvent struct {
		Heartbeat *wire.Heartbeat
		ReplyTo   Recipient
	}
	// CommandResult is the outcome of a direct command.
	CommandResult struct {
		CommandID uint64
		Outcome   CommandOutcome
		Heartbeat *wire.Heartbeat // with DirectDone and DirectRefused
	}
	// CancelRequest is a user asking to cancel a job.
	CancelRequest struct {
		JobID   string
		ReplyTo Recipient
	}
	// StatusRequest is a user's question.
	StatusRequest struct {
		JobID   string
		ReplyTo Recipient
	}
	// WritesDurable tells tags of writes that are durable.
	WritesDurable struct{ Tags []ledger.Tag }
	// CloudResult is the outcome of a cloud call.
	CloudResult struct{ Result autoscaler.Result }
	// InspectResult is what a worker says when asked what it is now.
	InspectResult struct {
		Machine   string
		Heartbeat *wire.Heartbeat // nil: no answer
	}
	// ValueLimitChanged tells how many bytes a value may have from now on.
	ValueLimitChanged struct{ ValueBytes int }
	// WritesRejected tells tags of writes that were not carried out, since their values
	// are larger than the state service takes any more.
	WritesRejected struct{ Tags []ledger.Tag }
	// SoftStateRequest is a standby asking for what has changed in memory since an earlier
	// answer; 0: all.
	SoftStateRequest struct {
		Since   uint64
		ReplyTo Recipient
	}
	// PlanRequest has a plan begin, with Spec, or tells the plan of a name something.
	PlanRequest struct {
		Spec     *rollout.Spec
		Name     string
		Command  rollout.Command
		Argument string
		ReplyTo  Recipient
	}
	// PlanListRequest is an operator asking for the plans.
	PlanListRequest struct{ ReplyTo Recipient }
	// Tick comes a few times a second.
	Tick struct{}
)

// CommandOutcome is what became of a direct command.
type CommandOutcome int

// The outcomes of a direct command.
const (
	CommandOutcomeUnknown CommandOutcome = iota // it may act now or much later
	CommandExecuted                             // executed
	CommandRejected                             // nothing executed
	CommandNotSent                              // never left this process
)

// Effect is what follows from steps and is to be carried out.
type Effect interface{ isEffect() }

func (HeartbeatReply) isEffect()   {}
func (SendCommands) isEffect()     {}
func (InspectWorker) isEffect()    {}
func (WriteLedger) isEffect()      {}
func (UserReply) isEffect()        {}
func (CallCloud) isEffect()        {}
func (ResignLeadership) isEffect() {}

func (SendTransfers) isEffect()     {}
func (AskCapacity) isEffect()       {}
func (TransferReply) isEffect()     {}
func (CapacityReply) isEffect()     {}
func (WriteForeign) isEffect()      {}
func (TraceTransfer) isEffect()     {}
func (TransferListReply) isEffect() {}
func (SoftStateReply) isEffect()    {}
func (PlanReply) isEffect()         {}
func (PlanListReply) isEffect()     {}

// The effects.
type (
	// HeartbeatReply answers a worker.
	HeartbeatReply struct {
		ReplyTo  Recipient
		Response *wire.HeartbeatResponse // nil: this node can't answer for the controllers
	}
	// SendCommands is a command to be sent straight to a worker.
	SendCommands struct {
		CommandID uint64
		Machine   string
		Address   string
		Request   wire.CommandRequest
	}
	// InspectWorker asks a worker what it is now.
	InspectWorker struct {
		Machine string
		Address string
	}
	// WriteLedger writes to the ledger.
	WriteLedger struct{ Writes []ledger.Write }
	// UserReply answers a question or a cancellation.
	UserReply struct {
		ReplyTo Recipient
		Known   bool
		Status  wire.JobStatus
		// TerminalStatePending: the job's end is being written. The state service may have
		// it already, and another node may have told a user: only a fresh read
		// is as new as that.
		TerminalStatePending bool
		// CellUnreachable: another cell may run the job and does not answer.
		CellUnreachable bool
	}
	// CallCloud makes a call to the cloud.
	CallCloud struct{ Call autoscaler.Call }
	// SoftStateReply answers a standby. With More there is more than it holds.
	SoftStateReply struct {
		ReplyTo   Recipient
		Term      uint64
		Machines  []softstate.Machine
		Estimates softstate.Estimates
		UpTo      uint64
		More      bool
	}
	// PlanReply answers a command about a plan, once it is durable or refused.
	PlanReply struct {
		ReplyTo Recipient
		Err     error
	}
	// PlanListReply answers an operator with the plans and the jobs that count as disrupted.
	PlanListReply struct {
		ReplyTo   Recipient
		Term      uint64
		Plans     []PlanStatus
		Disrupted []rollout.Entry
	}
	// ResignLeadership has this node give its term up, so that another one begins.
	ResignLeadership struct{}
)
