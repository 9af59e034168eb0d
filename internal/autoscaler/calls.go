package autoscaler

import (
	"errors"
	"fmt"

	"leadproxy/internal/wire"
)

// Call is one request to the cloud; one of its first fields is set.
type Call struct {
	ScaleOut *wire.ScaleOutRequest
	Delete   []string
	List     bool
	Types    bool
	// MaySend is asked right before the call leaves: it may have waited for the cloud's rate. Nil: it
	// may always be sent.
	MaySend func() bool
}

// withheld tells whether the call must not leave any more.
func (c *Call) withheld() bool { return c.MaySend != nil && !c.MaySend() }

// callPriority orders calls by urgency.
type callPriority int

// The priorities, the most urgent first.
const (
	priorityDelete callPriority = iota
	priorityScaleOut
	priorityRead
	priorityCount // how many there are
)

// priority is the call's.
func (c *Call) priority() callPriority {
	switch {
	case c.Delete != nil:
		return priorityDelete
	case c.ScaleOut != nil:
		return priorityScaleOut
	}
	return priorityRead
}

// Result is the outcome of a call.
type Result struct {
	Call     Call
	Err      error // nil, or one that wraps an outcome
	Machines []string
	List     []wire.ListedMachine
	Types    []wire.MachineType
}

// The outcomes besides success.
var (
	ErrNoCapacity     = errors.New("the cloud has no capacity for this")
	ErrNotExecuted    = errors.New("the cloud did not carry out the call")
	ErrUnknownOutcome = errors.New("outcome of the cloud call is unknown")
)

// CallError says which call to the cloud failed, with which outcome and why.
type CallError struct {
	Method, Path string
	// Outcome is ErrNoCapacity, ErrNotExecuted or ErrUnknownOutcome, or nil if there was
	// no call.
	Outcome error
	// Cause is nil if the outcome says it all.
	Cause error
}

func (e *CallError) Error() string {
	text := fmt.Sprintf("%s %s", e.Method, e.Path)
	for _, err := range e.Unwrap() {
		text += ": " + err.Error()
	}
	return text
}

// Unwrap returns the outcome and the cause.
func (e *CallError) Unwrap() []error {
	var errs []error
	for _, err := range []error{e.Outcome, e.Cause} {
		if err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// The protocol's bounds on one call.
const (
	MaxScaleOut = 50
	MaxDelete   = 100
	maxList     = 500
)
