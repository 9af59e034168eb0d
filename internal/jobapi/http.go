package jobapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"leadproxy/internal/wire"
)

// maxConcurrentRequests bounds the user requests that are served at the same time. Further requests
// are rejected immediately, so that enough resources are left for agents' heartbeats.
const maxConcurrentRequests = 200

// Timeouts of user requests. The clients' own timeouts are slightly longer.
const (
	submitTimeout        = 4500 * time.Millisecond
	statusTimeout        = 1800 * time.Millisecond
	cancelRequestTimeout = 4500 * time.Millisecond
)

// RegisterRoutes registers the paths of the users' HTTP interface with a router.
func (s *Service) RegisterRoutes(router *httprouter.Router) {
	slots := make(chan struct{}, maxConcurrentRequests)
	router.POST("/v2/runs", s.handler(Submit, submitTimeout, slots))
	router.GET("/v2/runs/:id", s.handler(Status, statusTimeout, slots))
	router.POST("/v2/runs/:id/cancel", s.handler(Cancel, cancelRequestTimeout, slots))
	router.GET("/healthz", s.serveHealth)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		Write(w, errorResponse(http.StatusNotFound, "there is nothing at this path"))
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, httpRequest *http.Request) {
		Write(w, errorResponse(http.StatusMethodNotAllowed, "%s is not a method of this path", httpRequest.Method))
	})
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
}

// handler returns a handler that serves requests of one kind, each within the timeout. A request is
// rejected if no slot is free.
func (s *Service) handler(kind Kind, timeout time.Duration, slots chan struct{}) httprouter.Handle {
	return func(w http.ResponseWriter, httpRequest *http.Request, params httprouter.Params) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			Write(w, tooManyRequests)
			return
		}
		ctx, cancel := context.WithTimeout(httpRequest.Context(), timeout)
		defer cancel()
		body, err := ReadBody(w, httpRequest)
		if err != nil {
			Write(w, errorResponse(http.StatusBadRequest, "%s", err))
			return
		}
		request := Request{Kind: kind, JobID: params.ByName("id")}
		if kind == Submit {
			request.Body = body
		}
		Write(w, s.Handle(ctx, request))
	}
}

// serveHealth responds to health checks of the load balancer.
func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if s.Healthy != nil && !s.Healthy() {
		Write(w, errorResponse(http.StatusServiceUnavailable, "this node reaches neither the state service nor another node"))
		return
	}
	Write(w, Response{Status: http.StatusOK, Body: []byte(`{"status":"ok"}`)})
}

// maxPreallocatedBytes is the maximum announced length, in bytes, for which the buffer of a body is
// allocated at once. For longer bodies the buffer grows as data arrives, so that thousands of slow
// senders do not occupy memory for data that they have only announced.
const maxPreallocatedBytes = 4 << 10

// Errors of reading a request's body. Their texts are part of HTTP responses.
var (
	errBodyTooLong    = errors.New("the body is longer than 64 KiB")
	errBodyUnreadable = errors.New("the body could not be read")
)

// ReadBody reads the body of a request, of at most wire.MaxBodyBytes.
func ReadBody(w http.ResponseWriter, request *http.Request) ([]byte, error) {
	if length := request.ContentLength; length > 0 && length <= maxPreallocatedBytes {
		// The common case, several hundred times per second: a single allocation of the
		// exact size.
		body := make([]byte, length)
		if _, err := io.ReadFull(request.Body, body); err != nil {
			return nil, errBodyUnreadable
		}
		return body, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, wire.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errBodyTooLong
	case err != nil:
		return nil, errBodyUnreadable
	}
	return body, nil
}

// Write writes a response to the client. An error of the connection is ignored.
func Write(w http.ResponseWriter, response Response) {
	w.Header().Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	w.WriteHeader(response.Status)
	if _, err := w.Write(response.Body); err != nil {
		return // the client has disconnected
	}
}
