package kvstore

import (
	"errors"
	"fmt"
)

// The failures that callers distinguish. Methods of Client return them wrapped in a RequestError.
var (
	// ErrUnavailable means that the request was not executed (status 503, or no connection).
	ErrUnavailable = errors.New("key-value store is unavailable")
	// ErrUnknownOutcome means that there is no usable response. The request may have been
	// executed, or may be executed later.
	ErrUnknownOutcome = errors.New("outcome of the request is unknown")
	// ErrLeaseExpired means that the lease has expired or was revoked.
	ErrLeaseExpired = errors.New("lease has expired")
	// ErrCompacted means that the store no longer keeps the changes after the watch's revision.
	ErrCompacted = errors.New("revision is no longer kept")
	// ErrOverloaded means that this controller's share of the rate is used up, and that the queue
	// is full or the caller's context ended before the request was granted.
	ErrOverloaded = errors.New("too many requests are waiting for the key-value store")
	// ErrInvalidRequest means that the store rejected the request as invalid.
	ErrInvalidRequest = errors.New("key-value store rejected the request")
	// ErrLimitsLowered means that the request was not executed because it exceeds the store's
	// limits, which were lowered. Client.Limits returns the new ones.
	ErrLimitsLowered = errors.New("limits of the key-value store were lowered below the request")
)

// RequestError is the failure of one request. It wraps one of the errors above, and often its
// cause.
type RequestError struct {
	Method string
	Path   string
	Err    error
}

// Error names the request and why it failed.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Method, e.Path, e.Err)
}

// Unwrap returns why the request failed.
func (e *RequestError) Unwrap() error { return e.Err }
