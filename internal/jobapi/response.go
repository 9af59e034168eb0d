package jobapi

import (
	"fmt"
	"net/http"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/wire"
)

// Response is the response to a user request.
type Response struct {
	Status     int // HTTP status code
	Body       []byte
	RetryAfter int // value of the Retry-After header in seconds; 0: no header
}

// IsZero reports whether r is the zero value, which stands for no response.
func (r Response) IsZero() bool { return r.Status == 0 }

// JSON returns a response whose body is the JSON encoding of a value.
func JSON(status int, body any) Response {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Response{Status: http.StatusInternalServerError}
	}
	return Response{Status: status, Body: encoded}
}

// errorResponse returns a response with a formatted error message.
func errorResponse(status int, format string, args ...any) Response {
	return JSON(status, wire.ErrorResponse{Error: fmt.Sprintf(format, args...)})
}

// retryLater returns an error response that tells the user to retry after some seconds.
func retryLater(status, seconds int, reason string) Response {
	response := errorResponse(status, "%s", reason)
	response.RetryAfter = seconds
	return response
}

// Responses that do not depend on the request.
var (
	tooManySubmissions = retryLater(http.StatusTooManyRequests, 2, "more submissions are coming than can be recorded")
	tooManyRequests    = retryLater(http.StatusTooManyRequests, 2, "too many requests are being served")
	storeUnavailable   = retryLater(http.StatusServiceUnavailable, 1, "the state service can't be reached at the moment")
	jobNotFound        = errorResponse(http.StatusNotFound, "there is no such job")
)
