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

// maxAtOnce bounds the users' requests that are being served; beyond it they
// are turned away at once, so that workers' reports keep their room.
const maxAtOnce = 200

// Routes adds the users' paths to a router.
func (s *Service) Routes(r *httprouter.Router) {
	slots := make(chan struct{}, maxAtOnce)
	serve := func(k Kind, limit time.Duration) httprouter.Handle {
		return func(w http.ResponseWriter, req *http.Request, ps httprouter.Params) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			default:
				Write(w, later(http.StatusTooManyRequests, 2, "too many requests are being served"))
				return
			}
			ctx, cancel := context.WithTimeout(req.Context(), limit)
			defer cancel()
			body, err := ReadBody(w, req)
			if err != nil {
				Write(w, problem(http.StatusBadRequest, "%s", err))
				return
			}
			Write(w, s.Handle(ctx, k, ps.ByName("id"), body, false))
		}
	}
	r.POST("/v2/runs", serve(Submit, 4500*time.Millisecond))
	r.GET("/v2/runs/:id", serve(Status, 1800*time.Millisecond))
	r.POST("/v2/runs/:id/cancel", serve(Cancel, 4500*time.Millisecond))
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if s.Healthy != nil && !s.Healthy() {
			Write(w, problem(http.StatusServiceUnavailable, "this node reaches neither the state service nor another node"))
			return
		}
		Write(w, Answer{Status: http.StatusOK, Body: []byte(`{"status":"ok"}`)})
	})
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		Write(w, problem(http.StatusNotFound, "there is nothing at this path"))
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		Write(w, problem(http.StatusMethodNotAllowed, "%s is not a method of this path", req.Method))
	})
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
}

// usualBody is up to where a body's room is taken at once. A longer one gets its
// room as it comes: thousands of slow senders must not hold what they only announce.
const usualBody = 4 << 10

// ReadBody reads a request's body up to the protocol's limit.
func ReadBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	if n := req.ContentLength; n > 0 && n <= usualBody {
		// The usual case, many hundred times a second: read into what it takes.
		body := make([]byte, n)
		if _, err := io.ReadFull(req.Body, body); err != nil {
			return nil, errors.New("the body could not be read")
		}
		return body, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, wire.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errors.New("the body is longer than 64 KiB")
	}
	if err != nil {
		return nil, errors.New("the body could not be read")
	}
	return body, nil
}

// Write sends an answer.
func Write(w http.ResponseWriter, a Answer) {
	w.Header().Set("Content-Type", "application/json")
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(a.RetryAfter))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		return // the user has gone
	}
}
