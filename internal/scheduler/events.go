package scheduler

import (
	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/rollout"
	"leadproxy/internal/softstate"
	"leadproxy/internal/wire"
)

// Event is what happened outside the core.
type Event interface{ isEvent() }

// Users and their jobs.

func (JobRecordEvent) isEvent() {}
func (CancelRequest) isEvent()  {}
func (StatusRequest) isEvent()  {}

// Agents.

func (HeartbeatEvent) isEvent() {}
func (CommandResult) isEvent()  {}
func (InspectResult) isEvent()  {}

// The cloud.

func (CloudResult) isEvent() {}

// The ledger.

func (WritesDurable) isEvent()     {}
func (WritesRejected) isEvent()    {}
func (ValueLimitChanged) isEvent() {}

// Operators with plans that drain machines, and standbys.

func (PlanRequest) isEvent()      {}
func (PlanListRequest) isEvent()  {}
func (SoftStateRequest) isEvent() {}

// Time.

func (Tick) isEvent() {}

// Other cells, see federation_events.go.

func (TransferResult) isEvent()      {}
func (CapacityResult) isEvent()      {}
func (TransferRequest) isEvent()     {}
func (CapacityRequest) isEvent()     {}
func (ForeignWriteResult) isEvent()  {}
func (TransfersEnabled) isEvent()    {}
func (TransferListRequest) isEvent() {}

// Recipient is who gets the reply to a heartbeat, a status request or a cancellation.
type Recipient interface {
	// Deliver takes the reply. It does not block.
	Deliver(answer Effect)
}

// The events, by the part of the core that they concern; those of other cells are in
// federation_events.go.
type (
	// JobRecordEvent carries a job record, from a controller that accepted it or from the watch.
	JobRecordEvent struct {
		JobID   string
		Record  ledger.JobRecord
		Version uint64
	}
	// CancelRequest is a user's request to cancel a job.
	CancelRequest struct {
		JobID   string
		ReplyTo Recipient
	}
	// StatusRequest is a user's question.
	StatusRequest struct {
		JobID   string
		ReplyTo Recipient
	}

	// HeartbeatEvent is an agent's heartbeat, which needs a response.
	HeartbeatEvent struct {
		Heartbeat *wire.Heartbeat
		ReplyTo   Recipient
	}
	// CommandResult is the outcome of a direct command.
	CommandResult struct {
		CommandID uint64
		Outcome   CommandOutcome
		Heartbeat *wire.Heartbeat // with CommandExecuted and CommandRejected
	}
	// InspectResult is an agent's present status, requested by an inspection.
	InspectResult struct {
		Machine   string
		Heartbeat *wire.Heartbeat // nil: no response
	}

	// CloudResult is the outcome of a cloud call.
	CloudResult struct{ Result autoscaler.Result }

	// WritesDurable carries the tags of writes that have become durable.
	WritesDurable struct{ Tags []ledger.Tag }
	// WritesRejected carries the tags of writes that were not carried out, since their values
	// are larger than the key-value store allows by now.
	WritesRejected struct{ Tags []ledger.Tag }
	// ValueLimitChanged carries how many bytes a value may have from now on.
	ValueLimitChanged struct{ MaxValueBytes int }

	// PlanRequest creates a plan, with Spec, or sends a command to the plan of a name.
	PlanRequest struct {
		Spec     *rollout.Spec
		Name     string
		Command  rollout.Command
		Argument string
		ReplyTo  Recipient
	}
	// PlanListRequest is an operator's request for the plans.
	PlanListRequest struct{ ReplyTo Recipient }
	// SoftStateRequest is a standby's request for what has changed in memory since an earlier
	// reply; 0: all.
	SoftStateRequest struct {
		Since   uint64
		ReplyTo Recipient
	}

	// Tick comes a few times a second.
	Tick struct{}
)

// CommandOutcome is the outcome of a direct command.
type CommandOutcome int

// The outcomes of a direct command.
const (
	CommandOutcomeUnknown CommandOutcome = iota // it may act now or much later
	CommandExecuted                             // executed
	CommandRejected                             // nothing executed
	CommandNotSent                              // never left this process
	CommandWithdrawn                            // all of it was withdrawn before it left this process
)

// Effect is what the caller has to carry out after steps.
type Effect interface{ isEffect() }

func (HeartbeatReply) isEffect()   {}
func (SendCommands) isEffect()     {}
func (InspectAgent) isEffect()     {}
func (WriteLedger) isEffect()      {}
func (UserReply) isEffect()        {}
func (CallCloud) isEffect()        {}
func (ResignLeadership) isEffect() {}

func (SendTransfers) isEffect()     {}
func (RequestCapacity) isEffect()   {}
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
	// HeartbeatReply is the response to an agent's heartbeat.
	HeartbeatReply struct {
		ReplyTo  Recipient
		Response *wire.HeartbeatResponse // nil: this controller can't respond as the leader
		Starts   StartDeliveries         // of the starts in the response
	}
	// SendCommands is a command to be sent directly to an agent.
	SendCommands struct {
		CommandID uint64
		Machine   string
		Address   string
		Request   wire.CommandRequest
		Starts    StartDeliveries // of the starts in the request
	}
	// InspectAgent requests an agent's present status.
	InspectAgent struct {
		Machine string
		Address string
	}
	// WriteLedger writes to the ledger.
	WriteLedger struct{ Writes []ledger.Write }
	// UserReply is the reply to a status request or a cancellation.
	UserReply struct {
		ReplyTo Recipient
		Known   bool
		Status  wire.JobStatus
		// TerminalStatePending: the job's end is being written. The key-value store may have it
		// already, and another controller may have told a user: only a fresh read is as new as
		// that.
		TerminalStatePending bool
		// CellUnreachable: another cell may run the job and does not respond.
		CellUnreachable bool
	}
	// CallCloud makes a call to the cloud.
	CallCloud struct{ Call autoscaler.Call }
	// SoftStateReply is the reply to a standby. With More there is more to be requested.
	SoftStateReply struct {
		ReplyTo   Recipient
		Term      uint64
		Machines  []softstate.Machine
		Estimates softstate.Estimates
		UpTo      uint64
		More      bool
	}
	// PlanReply is the reply to a command about a plan, once it is durable or refused.
	PlanReply struct {
		ReplyTo Recipient
		Err     error
	}
	// PlanListReply lists the plans and the jobs that count as disrupted.
	PlanListReply struct {
		ReplyTo   Recipient
		Term      uint64
		Plans     []PlanStatus
		Disrupted []rollout.Disruption
	}
	// ResignLeadership has this controller resign, so that another term begins.
	ResignLeadership struct{}
)
