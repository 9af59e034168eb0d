package jobapi

import (
	"fmt"
	"net/http"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/wire"
)

// Response is what a user gets.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds; 0: none
}

// IsZero reports that there is no response.
func (r Response) IsZero() bool { return r.Status == 0 }

// JSON makes a response of a value.
func JSON(status int, body any) Response {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Response{Status: http.StatusInternalServerError}
	}
	return Response{Status: status, Body: encoded}
}

// errorResponse makes an error response.
func errorResponse(status int, format string, args ...any) Response {
	return JSON(status, wire.ErrorResponse{Error: fmt.Sprintf(format, args...)})
}

// retryLater makes an error response that asks the user to repeat the request.
func retryLater(status, seconds int, reason string) Response {
	response := errorResponse(status, "%s", reason)
	response.RetryAfter = seconds
	return response
}

// Responses that are the same for every request.
var (
	tooManySubmissions = retryLater(http.StatusTooManyRequests, 2, "more submissions are coming than can be recorded")
	tooManyRequests    = retryLater(http.StatusTooManyRequests, 2, "too many requests are being served")
	storeUnavailable   = retryLater(http.StatusServiceUnavailable, 1, "the state service can't be reached at the moment")
	jobNotFound        = errorResponse(http.StatusNotFound, "there is no such job")
)
