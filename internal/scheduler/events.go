package scheduler

import (
	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/rollout"
	"leadproxy/internal/softstate"
	"leadproxy/internal/wire"
)

// Event is an input of Core.Step: a request, a result or a tick.
type Event interface{ isEvent() }

// Users and their jobs.

func (JobRecordEvent) isEvent()   {}
func (RecordReadResult) isEvent() {}
func (CancelRequest) isEvent()    {}
func (StatusRequest) isEvent()    {}

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

// Drain plans of operators, and standbys.

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

// Recipient receives the reply to a request.
type Recipient interface {
	// Deliver passes on the reply. It must not block.
	Deliver(reply Effect)
}

// The events, grouped as in Step. Those of other cells are in federation_events.go.
type (
	// JobRecordEvent carries a job record, from a controller that accepted the job or from the
	// watch on the key-value store. The same record may arrive from both.
	JobRecordEvent struct {
		JobID   string
		Record  ledger.JobRecord
		Version uint64
	}
	// RecordReadResult is the result of a ReadJobRecord effect.
	RecordReadResult struct {
		JobID   string
		Outcome RecordReadOutcome
		Record  JobRecordEvent // set with RecordFound
	}
	// CancelRequest is a user's request to cancel a job.
	CancelRequest struct {
		JobID   string
		ReplyTo Recipient
	}
	// StatusRequest is a user's request for the status of a job.
	StatusRequest struct {
		JobID   string
		ReplyTo Recipient
	}

	// HeartbeatEvent is an agent's heartbeat. It is answered with a HeartbeatReply.
	HeartbeatEvent struct {
		Heartbeat *wire.Heartbeat
		ReplyTo   Recipient
	}
	// CommandResult is the outcome of a SendCommands effect.
	CommandResult struct {
		CommandID uint64
		Outcome   CommandOutcome
		Heartbeat *wire.Heartbeat // set with CommandExecuted and CommandRejected
	}
	// InspectResult is an agent's current status, the result of an InspectAgent effect.
	InspectResult struct {
		Machine   string
		Heartbeat *wire.Heartbeat // nil if the agent did not respond
	}

	// CloudResult is the outcome of a CallCloud effect.
	CloudResult struct{ Result autoscaler.Result }

	// WritesDurable carries the tags of writes that have become durable.
	WritesDurable struct{ Tags []ledger.Tag }
	// WritesRejected carries the tags of writes that were not carried out, because their values
	// exceed the key-value store's limit, which was lowered meanwhile.
	WritesRejected struct{ Tags []ledger.Tag }
	// ValueLimitChanged carries the new largest size of a value in the key-value store, in bytes.
	ValueLimitChanged struct{ MaxValueBytes int }

	// PlanRequest creates a drain plan if Spec is set, and otherwise sends a command to the plan
	// with the given name.
	PlanRequest struct {
		Spec     *rollout.Spec
		Name     string
		Command  rollout.Command
		Argument string
		ReplyTo  Recipient
	}
	// PlanListRequest is an operator's request for the list of drain plans.
	PlanListRequest struct{ ReplyTo Recipient }
	// SoftStateRequest is a standby's request for the soft state that changed after version
	// Since, the UpTo of an earlier reply. Since 0 requests all of it.
	SoftStateRequest struct {
		Since   uint64
		ReplyTo Recipient
	}

	// Tick arrives a few times per second. Work that is due by time alone is done then.
	Tick struct{}
)

// RecordReadOutcome is the outcome of a ReadJobRecord effect.
type RecordReadOutcome int

// The outcomes of a ReadJobRecord effect.
const (
	RecordNotRead    RecordReadOutcome = iota // the key-value store did not answer
	RecordFound                               // the record was read
	RecordUnreadable                          // there is no record, or it can't be decoded
)

// CommandOutcome is the outcome of a SendCommands effect.
type CommandOutcome int

// The outcomes of a SendCommands effect.
const (
	CommandOutcomeUnknown CommandOutcome = iota // the agent may execute it now or much later
	CommandExecuted                             // the agent executed it
	CommandRejected                             // the agent executed none of it
	CommandNotSent                              // it never left this process
	CommandWithdrawn                            // all its commands were withdrawn before it left this process
)

// Effect is an action that the core's caller carries out after Flush.
type Effect interface{ isEffect() }

func (HeartbeatReply) isEffect()   {}
func (SendCommands) isEffect()     {}
func (InspectAgent) isEffect()     {}
func (WriteLedger) isEffect()      {}
func (ReadJobRecord) isEffect()    {}
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
		Response *wire.HeartbeatResponse // nil if this controller can't respond as the leader
		Starts   StartDeliveries         // delivery state of the starts in the response
	}
	// SendCommands sends commands directly to an agent, not in a heartbeat response.
	SendCommands struct {
		CommandID uint64
		Machine   string
		Address   string
		Request   wire.CommandRequest
		Starts    StartDeliveries // delivery state of the starts in the request
	}
	// InspectAgent requests an agent's current status.
	InspectAgent struct {
		Machine string
		Address string
	}
	// WriteLedger writes to the ledger.
	WriteLedger struct{ Writes []ledger.Write }
	// ReadJobRecord reads the record of a job that others depend on and that the core does not
	// know.
	ReadJobRecord struct{ JobID string }
	// UserReply is the reply to a status request or a cancellation.
	UserReply struct {
		ReplyTo Recipient
		Known   bool
		Status  wire.JobStatus
		// TerminalStatePending reports that the write of the job's terminal state is not
		// confirmed, or that a job it depends on is not known. The key-value store may hold a
		// terminal state already, and another controller may have returned it to a user, so
		// the recipient must read the store to be as up to date.
		TerminalStatePending bool
		// CellUnreachable reports that the job may run in another cell that does not respond.
		CellUnreachable bool
	}
	// CallCloud makes a call to the cloud.
	CallCloud struct{ Call autoscaler.Call }
	// SoftStateReply is the reply to a standby.
	SoftStateReply struct {
		ReplyTo   Recipient
		Term      uint64
		Machines  []softstate.Machine
		Estimates softstate.Estimates
		UpTo      uint64 // version that the reply covers, the Since of the next request
		More      bool   // further changes are available now
	}
	// PlanReply is the reply to a PlanRequest, sent once its change is durable or refused.
	PlanReply struct {
		ReplyTo Recipient
		Err     error
	}
	// PlanListReply lists the drain plans and the jobs that count as disrupted.
	PlanListReply struct {
		ReplyTo   Recipient
		Term      uint64
		Plans     []PlanStatus
		Disrupted []rollout.Disruption
	}
	// ResignLeadership makes this controller resign, so that a new term begins.
	ResignLeadership struct{}
)
