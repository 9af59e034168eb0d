package scheduler

import (
	"sync/atomic"
	"time"

	"leadproxy/internal/wire"
)

// jobEnd is the terminal state of a job, and what remains to be done about it.
type jobEnd struct {
	state string // decided, being written or durable
	// at is when it became durable, or was decided if that was before this term.
	at        time.Duration
	replyTo   []Recipient // who waits for it to be durable
	durable   bool
	cleanedUp bool // all that a terminal state requires is done
	// cancellationConfirmed: users may have been told that the job is cancelled. Other goroutines
	// read it before they send a start.
	cancellationConfirmed atomic.Bool
	overdueLogged         bool // its tasks may have run past the bound of a cancellation
}

// decide sets the terminal state.
func (e *jobEnd) decide(state string) { e.state = state }

// markDurable notes when the terminal state became durable.
func (e *jobEnd) markDurable(at time.Duration) { e.durable, e.at = true, at }

// confirm publishes that users may be told of the terminal state. The starts that have not been sent
// are withdrawn by then.
func (e *jobEnd) confirm() { e.cancellationConfirmed.Store(e.state == wire.JobCancelled) }

// addRecipient has someone told when the terminal state is durable.
func (e *jobEnd) addRecipient(to Recipient) { e.replyTo = append(e.replyTo, to) }

// takeRecipients removes and returns those who wait for the terminal state.
func (e *jobEnd) takeRecipients() []Recipient {
	recipients := e.replyTo
	e.replyTo = nil
	return recipients
}

// markOverdueLogged notes that the job's overdue tasks are logged.
func (e *jobEnd) markOverdueLogged() { e.overdueLogged = true }
