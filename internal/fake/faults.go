package fake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"leadproxy/internal/transport"
)

// Fault is a kind of fault that is injected into one message.
type Fault int

// The kinds of faults.
const (
	NoFault     Fault = iota
	RequestLost       // not carried out, never answered
	AnswerLost        // carried out, never answered
	Duplicated        // carried out twice, with the second response
	Delayed           // not answered; carried out late, when the sender has given up
	Refused           // 503 at once
)

// Trouble is the fault that is injected into one message, and by how much it delays it.
type Trouble struct {
	Fault Fault
	For   time.Duration
}

// Troubles decides which fault is injected into a message from a host. It may read the body.
type Troubles func(from string, r *http.Request) Trouble

// withFaults serves h with the faults that an injector, unless it is nil, decides for each
// message.
func withFaults(ctx context.Context, h http.Handler, inject Troubles) http.Handler {
	if inject == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		// A copy does not end with the sender's connection.
		copyRequest := func() *http.Request {
			c := r.Clone(ctx)
			c.Body = io.NopCloser(bytes.NewReader(body))
			return c
		}
		switch injected := inject(r.RemoteAddr, copyRequest()); injected.Fault {
		case RequestLost:
			<-r.Context().Done()
		case AnswerLost:
			h.ServeHTTP(httptest.NewRecorder(), copyRequest())
			<-r.Context().Done()
		case Duplicated:
			h.ServeHTTP(httptest.NewRecorder(), copyRequest())
			h.ServeHTTP(w, copyRequest())
		case Delayed:
			go func() {
				transport.Pause(ctx, injected.For)
				if ctx.Err() == nil {
					h.ServeHTTP(httptest.NewRecorder(), copyRequest())
				}
			}()
			<-r.Context().Done()
		case Refused:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			original := r.WithContext(r.Context())
			original.Body = io.NopCloser(bytes.NewReader(body))
			h.ServeHTTP(w, original)
		}
	})
}
