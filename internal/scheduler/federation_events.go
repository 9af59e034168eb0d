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
	// CapacityResult is a neighbour's answer to the question for room.
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
	// ForeignWriteResult tells what came of a PutGuest.
	ForeignWriteResult struct {
		Write   federation.WriteForeign
		Job     *ledger.JobRecord
		Version uint64
		// JobExists: nothing was written, since there is a job of that name.
		JobExists bool
	}
	// TransfersEnabled tells that every controller of this cell knows transfers.
	TransfersEnabled struct{}
	// TransferListRequest is an operator's question.
	TransferListRequest struct{ ReplyTo Recipient }
)

// The effects of transfers between cells.
type (
	// SendTransfers sends messages to a neighbour. TransfersAnswered follows.
	SendTransfers struct {
		Cell     string
		Messages []federation.Message
	}
	// AskCapacity asks a neighbour for room. RoomAnswered follows.
	AskCapacity struct {
		Cell  string
		Cores float64
	}
	// TransferReply answers another cell's messages.
	TransferReply struct {
		ReplyTo Recipient
		Answers []federation.Answer
	}
	// CapacityReply answers another cell's question for room.
	CapacityReply struct {
		ReplyTo    Recipient
		Cores      float64
		For        time.Duration
		RetryAfter time.Duration
		Reason     string
	}
	// WriteForeign writes a guest's record, and with Job that as well, if neither key has
	// changed. GuestWritten follows once the outcome is certain.
	WriteForeign struct {
		Write federation.WriteForeign
		Job   *ledger.JobRecord
	}
	// TraceTransfer tells of a step of a transfer.
	TraceTransfer struct{ Step federation.TransferStep }
	// TransferListReply answers an operator.
	TransferListReply struct {
		ReplyTo   Recipient
		Delegated []federation.DelegatedView
		Foreign   []ForeignView
		Cells     []CellView
		Counts    map[TransferCount]int
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
	Name        string
	Drain       bool
	Unreachable bool
	Jobs        int
	Cores       float64
	Credit      float64
	Offered     float64
}
