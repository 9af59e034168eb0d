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

// maxConcurrentRequests bounds the users' requests that are being served; beyond it they are
// turned away at once, so that workers' heartbeats keep their room.
const maxConcurrentRequests = 200

// How long a request may take. The clients give up a little later.
const (
	submitTimeout        = 4500 * time.Millisecond
	statusTimeout        = 1800 * time.Millisecond
	cancelRequestTimeout = 4500 * time.Millisecond
)

// RegisterRoutes adds the users' paths to a router.
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

// handler serves requests of a kind, as long as there is a free slot, each within a time.
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

// serveHealth responds to the health checks of the load balancer.
func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if s.Healthy != nil && !s.Healthy() {
		Write(w, errorResponse(http.StatusServiceUnavailable, "this node reaches neither the state service nor another node"))
		return
	}
	Write(w, Response{Status: http.StatusOK, Body: []byte(`{"status":"ok"}`)})
}

// maxPreallocatedBytes is up to where the room for a body is allocated at once. A longer one gets
// its room as it comes: thousands of slow senders must not hold what they only announce.
const maxPreallocatedBytes = 4 << 10

// Errors of reading a request's body.
var (
	errBodyTooLong    = errors.New("the body is longer than 64 KiB")
	errBodyUnreadable = errors.New("the body could not be read")
)

// ReadBody reads a request's body up to the protocol's limit.
func ReadBody(w http.ResponseWriter, request *http.Request) ([]byte, error) {
	if n := request.ContentLength; n > 0 && n <= maxPreallocatedBytes {
		// The usual case, many hundred times a second: one allocation of the right size.
		body := make([]byte, n)
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

// Write sends a response.
func Write(w http.ResponseWriter, response Response) {
	w.Header().Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	w.WriteHeader(response.Status)
	if _, err := w.Write(response.Body); err != nil {
		return // the client has gone
	}
}
