package scheduler

import (
	"sync/atomic"
	"time"

	"leadproxy/internal/wire"
)

// jobEnd is the terminal state of a job and the progress of the work that it requires.
type jobEnd struct {
	state string // "" until it is decided; it may not be durable yet
	// at is when the state became durable, or when it was decided if that was in an earlier term.
	at        time.Duration
	replyTo   []Recipient // users to answer once the state is durable
	durable   bool
	cleanedUp bool // all work that follows from the state is done
	// cancellationConfirmed is set once users may have been told that the job is cancelled. Other
	// goroutines read it before they send a start.
	cancellationConfirmed atomic.Bool
	overdueLogged         bool // tasks past the cancellation bound have been logged
}

// decide sets the terminal state.
func (e *jobEnd) decide(state string) { e.state = state }

// markDurable records when the terminal state became durable.
func (e *jobEnd) markDurable(at time.Duration) { e.durable, e.at = true, at }

// confirm publishes to other goroutines that users may be told of a cancellation. It must be called
// after all starts that have not been sent yet are withdrawn.
func (e *jobEnd) confirm() { e.cancellationConfirmed.Store(e.state == wire.JobCancelled) }

// addRecipient adds a user to be answered once the terminal state is durable.
func (e *jobEnd) addRecipient(to Recipient) { e.replyTo = append(e.replyTo, to) }

// takeRecipients removes and returns the users that wait for the terminal state.
func (e *jobEnd) takeRecipients() []Recipient {
	recipients := e.replyTo
	e.replyTo = nil
	return recipients
}

// markOverdueLogged records that the job's overdue tasks have been logged.
func (e *jobEnd) markOverdueLogged() { e.overdueLogged = true }
