package kvstore

import (
	"errors"
	"fmt"
)

// The outcomes besides success that callers distinguish. Methods of Client return them wrapped in
// a RequestError.
var (
	// ErrUnavailable: the request was not executed (status 503, or no connection).
	ErrUnavailable = errors.New("key-value store is unavailable")
	// ErrUnknownOutcome: there is no response. The request may have been executed, or may be
	// later.
	ErrUnknownOutcome = errors.New("outcome of the request is unknown")
	// ErrLeaseExpired: the lease has expired or was revoked.
	ErrLeaseExpired = errors.New("lease has expired")
	// ErrCompacted: the store no longer keeps the changes after the watch's revision.
	ErrCompacted = errors.New("revision is no longer kept")
	// ErrOverloaded: this controller's share of the rate is used up, and the queue is full or
	// the caller's time was over first.
	ErrOverloaded = errors.New("too many requests are waiting for the key-value store")
	// ErrInvalidRequest: the store found the request malformed.
	ErrInvalidRequest = errors.New("key-value store rejected the request")
	// ErrLimitsLowered: the request was not executed, since the store's limits were lowered
	// below it. Client.Limits returns the new ones.
	ErrLimitsLowered = errors.New("limits of the key-value store were lowered below the request")
)

// RequestError is the failure of one request. It wraps one of the errors above, and often its
// cause.
type RequestError struct {
	Method string
	Path   string
	Err    error
}

// Error tells the request and why it failed.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Method, e.Path, e.Err)
}

// Unwrap returns why the request failed.
func (e *RequestError) Unwrap() error { return e.Err }
