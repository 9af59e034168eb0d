package scheduler

import (
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/spill"
)

// The events of transfers between cells.
type (
	// TransfersAnswered is the outcome of an exchange with a neighbour.
	TransfersAnswered struct {
		Cell    string
		Answers []spill.Answer
		Err     error
	}
	// RoomAnswered is a neighbour's answer to the question for room.
	RoomAnswered struct {
		Cell       string
		Cores      float64
		For        time.Duration
		RetryAfter time.Duration
		Reason     string
		Err        error
	}
	// TransfersAsked are another cell's messages.
	TransfersAsked struct {
		Home     string
		Messages []spill.Message
		To       Recipient
	}
	// RoomAsked is another cell's question for room.
	RoomAsked struct {
		Home  string
		Cores float64
		To    Recipient
	}
	// GuestWritten tells what came of a PutGuest.
	GuestWritten struct {
		Write   spill.WriteGuest
		Job     *ledger.JobRecord
		Version uint64
		// JobExists: nothing was written, since there is a job of that name.
		JobExists bool
	}
	// TransfersAllowed tells that every controller of this cell knows transfers.
	TransfersAllowed struct{}
	// TransfersListed is an operator's question.
	TransfersListed struct{ To Recipient }
)

// The effects of transfers between cells.
type (
	// SendTransfers sends messages to a neighbour. TransfersAnswered follows.
	SendTransfers struct {
		Cell     string
		Messages []spill.Message
	}
	// AskRoom asks a neighbour for room. RoomAnswered follows.
	AskRoom struct {
		Cell  string
		Cores float64
	}
	// AnswerTransfers answers another cell's messages.
	AnswerTransfers struct {
		To      Recipient
		Answers []spill.Answer
	}
	// AnswerRoom answers another cell's question for room.
	AnswerRoom struct {
		To         Recipient
		Cores      float64
		For        time.Duration
		RetryAfter time.Duration
		Reason     string
	}
	// PutGuest writes a guest's record, and with Job that as well, if neither key has
	// changed. GuestWritten follows once the outcome is certain.
	PutGuest struct {
		Write spill.WriteGuest
		Job   *ledger.JobRecord
	}
	// TransferNote tells of a step of a transfer.
	TransferNote struct{ Note spill.Note }
	// TransferList answers an operator.
	TransferList struct {
		To     Recipient
		Away   []spill.HomeView
		Guests []GuestView
		Cells  []CellView
		Counts map[TransferCount]int
	}
)

// GuestView is a transfer as operators see it at the neighbour.
type GuestView struct {
	Key    spill.GuestKey
	Record spill.GuestRecord
	State  spill.JobState
}

// CellView is a neighbour as operators see it.
type CellView struct {
	Name   string
	Drain  bool
	Silent bool
	Jobs   int
	Cores  float64
	Credit float64
	Lent   float64
}
