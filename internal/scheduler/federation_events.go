package scheduler

import (
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
)

// The events of transfers between cells.
type (
	// TransferResult is the outcome of an exchange with a neighbour.
	TransferResult struct {
		Cell    string
		Answers []federation.Answer
		Err     error
	}
	// CapacityResult is a neighbour's reply to a capacity request.
	CapacityResult struct {
		Cell       string
		Cores      float64
		For        time.Duration
		RetryAfter time.Duration
		Reason     string
		Err        error
	}
	// TransferRequest are another cell's messages.
	TransferRequest struct {
		Origin   string
		Messages []federation.Message
		ReplyTo  Recipient
	}
	// CapacityRequest is another cell's question for room.
	CapacityRequest struct {
		Origin  string
		Cores   float64
		ReplyTo Recipient
	}
	// ForeignWriteResult is the result of a WriteForeign.
	ForeignWriteResult struct {
		Write   federation.WriteForeign
		Job     *ledger.JobRecord
		Version uint64
		// JobExists: nothing was written, since there is a job of that name.
		JobExists bool
	}
	// TransfersEnabled is the event that every controller of this cell knows transfers.
	TransfersEnabled struct{}
	// TransferListRequest is an operator's question.
	TransferListRequest struct{ ReplyTo Recipient }
)

// The effects of transfers between cells.
type (
	// SendTransfers sends messages to a neighbour. TransferResult follows.
	SendTransfers struct {
		Cell     string
		Messages []federation.Message
	}
	// RequestCapacity requests an offer of capacity from a neighbour. A CapacityResult follows.
	RequestCapacity struct {
		Cell  string
		Cores float64
	}
	// TransferReply is the reply to another cell's messages.
	TransferReply struct {
		ReplyTo Recipient
		Answers []federation.Answer
	}
	// CapacityReply is the reply to another cell's capacity request.
	CapacityReply struct {
		ReplyTo    Recipient
		Cores      float64
		For        time.Duration
		RetryAfter time.Duration
		Reason     string
	}
	// WriteForeign writes a foreign job's transfer record, and with Job the job's record as
	// well, if neither key has changed. A ForeignWriteResult follows once the outcome is
	// certain.
	WriteForeign struct {
		Write federation.WriteForeign
		Job   *ledger.JobRecord
	}
	// TraceTransfer logs and traces a step of a transfer.
	TraceTransfer struct{ Step federation.TransferStep }
	// TransferListReply lists the transfers for an operator.
	TransferListReply struct {
		ReplyTo   Recipient
		Delegated []federation.DelegatedView
		Foreign   []ForeignView
		Cells     []CellView
		Counts    map[TransferCounter]int
	}
)

// ForeignView is a transfer as operators see it at the neighbour.
type ForeignView struct {
	Key    federation.ForeignKey
	Record federation.ForeignRecord
	State  federation.JobState
}

// CellView is a neighbour as operators see it.
type CellView struct {
	Name         string
	Draining     bool
	Unreachable  bool
	Jobs         int
	Cores        float64
	Credit       float64
	ForeignCores float64
}
