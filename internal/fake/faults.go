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

// FaultKind is a kind of fault that is injected into one message.
type FaultKind int

// The kinds of faults.
const (
	NoFault      FaultKind = iota
	RequestLost            // not carried out, never answered
	ResponseLost           // carried out, never answered
	Duplicated             // carried out twice, with the second response
	Delayed                // not answered; carried out late, when the sender has given up
	Unavailable            // 503 at once
)

// InjectedFault is the fault that is injected into one message, and by how much it delays it.
type InjectedFault struct {
	Kind  FaultKind
	Delay time.Duration
}

// FaultInjector decides which fault is injected into a message from a host. It may read the body.
type FaultInjector func(from string, r *http.Request) InjectedFault

// withFaults serves h with the faults that an injector, unless it is nil, decides for each
// message.
func withFaults(ctx context.Context, h http.Handler, inject FaultInjector) http.Handler {
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
		switch injected := inject(r.RemoteAddr, copyRequest()); injected.Kind {
		case RequestLost:
			<-r.Context().Done()
		case ResponseLost:
			h.ServeHTTP(httptest.NewRecorder(), copyRequest())
			<-r.Context().Done()
		case Duplicated:
			h.ServeHTTP(httptest.NewRecorder(), copyRequest())
			h.ServeHTTP(w, copyRequest())
		case Delayed:
			go func() {
				transport.Pause(ctx, injected.Delay)
				if ctx.Err() == nil {
					h.ServeHTTP(httptest.NewRecorder(), copyRequest())
				}
			}()
			<-r.Context().Done()
		case Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			original := r.WithContext(r.Context())
			original.Body = io.NopCloser(bytes.NewReader(body))
			h.ServeHTTP(w, original)
		}
	})
}
