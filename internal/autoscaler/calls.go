package autoscaler

import (
	"errors"
	"fmt"

	"leadproxy/internal/wire"
)

// Call is one request to the cloud. Exactly one of ScaleOut, Delete, List and Types is set.
type Call struct {
	ScaleOut *wire.ScaleOutRequest
	Delete   []string
	List     bool
	Types    bool
	// MaySend is called right before the call is sent, because the call may have waited for the
	// rate limit and no longer be allowed. Nil means that it may always be sent.
	MaySend func() bool
}

// withheld reports whether the call must no longer be sent.
func (c *Call) withheld() bool { return c.MaySend != nil && !c.MaySend() }

// callPriority is the urgency of a call.
type callPriority int

// The priorities, the most urgent first.
const (
	priorityDelete callPriority = iota
	priorityScaleOut
	priorityRead
	priorityCount // the number of priorities
)

// priority returns the urgency of the call.
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
	Err      error // nil, or an error that wraps one of the outcomes below
	Machines []string
	List     []wire.ListedMachine
	Types    []wire.MachineType
}

// The outcomes of a call besides success.
var (
	ErrNoCapacity     = errors.New("the cloud has no capacity for this")
	ErrNotExecuted    = errors.New("the cloud did not carry out the call")
	ErrUnknownOutcome = errors.New("outcome of the cloud call is unknown")
)

// CallError describes a failed call to the cloud. It wraps the outcome and the cause.
type CallError struct {
	Method, Path string
	// Outcome is ErrNoCapacity, ErrNotExecuted or ErrUnknownOutcome, or nil if the request could
	// not be built.
	Outcome error
	// Cause is the underlying error, or nil if there is none besides the outcome.
	Cause error
}

func (e *CallError) Error() string {
	text := fmt.Sprintf("%s %s", e.Method, e.Path)
	for _, err := range e.Unwrap() {
		text += ": " + err.Error()
	}
	return text
}

// Unwrap returns the outcome and the cause, as far as they are set.
func (e *CallError) Unwrap() []error {
	var errs []error
	for _, err := range []error{e.Outcome, e.Cause} {
		if err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// The cloud protocol's limits on one call, in machines.
const (
	MaxScaleOut = 50
	MaxDelete   = 100
	maxList     = 500 // per page
)
