package scheduler

import (
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
)

// The events of transfers between cells.
type (
	// TransferResult is the result of an exchange with a neighbour.
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
	// TransferRequest has the messages of another cell.
	TransferRequest struct {
		Origin   string
		Messages []federation.Message
		ReplyTo  Recipient
	}
	// CapacityRequest is a request of another cell for an offer of capacity.
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
		// JobExists means that nothing was written, because a job with that ID exists.
		JobExists bool
	}
	// TransfersEnabled means that every controller of this cell supports transfers.
	TransfersEnabled struct{}
	// TransferListRequest is an operator's request for the list of transfers.
	TransferListRequest struct{ ReplyTo Recipient }
)

// The effects of transfers between cells.
type (
	// SendTransfers sends messages to a neighbour. A TransferResult follows.
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
	// WriteForeign writes the transfer record of a foreign job and, if Job is set, the job's
	// record with it. Nothing is written if either key has changed. A ForeignWriteResult follows
	// once the outcome is certain.
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

// ForeignView is the state of a transfer at the executing cell, for operators.
type ForeignView struct {
	Key    federation.ForeignKey
	Record federation.ForeignRecord
	State  federation.JobState
}

// CellView is the state of a neighbour, for operators.
type CellView struct {
	Name         string
	Draining     bool
	Unreachable  bool
	Jobs         int     // jobs of this cell that it may run
	Cores        float64 // of these jobs
	Credit       float64 // unused cores of its latest offer
	ForeignCores float64 // of its jobs that this cell runs
}
