package fake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"leadproxy/internal/transport"
)

// FaultKind is the kind of a fault that is injected into one request.
type FaultKind int

// The kinds of faults.
const (
	NoFault      FaultKind = iota
	RequestLost            // not executed, no response
	ResponseLost           // executed, no response
	Duplicated             // executed twice, second response returned
	Delayed                // executed after a delay, no response: the sender times out first
	ResponseLate           // executed, response sent after a delay
	Unavailable            // not executed, 503 response
	Repeated               // executed and answered, and executed again after a delay
)

// InjectedFault is a fault that is injected into one request.
type InjectedFault struct {
	Kind  FaultKind
	Delay time.Duration // used by Delayed, ResponseLate and Repeated only
}

// FaultInjector returns the fault to inject into a request from a host. It may read the body of r,
// which is a copy.
type FaultInjector func(from string, r *http.Request) InjectedFault

// FirstFault returns an injector that injects the first fault which one of the injectors returns.
func FirstFault(injectors ...FaultInjector) FaultInjector {
	return func(from string, r *http.Request) InjectedFault {
		for _, inject := range injectors {
			if fault := inject(from, r); fault.Kind != NoFault {
				return fault
			}
		}
		return InjectedFault{}
	}
}

// IsWatch reports whether a request to the key-value store is a watch of the keys under a prefix.
func IsWatch(r *http.Request, prefix string) bool {
	return r.Method == http.MethodGet && r.URL.Path == "/changes" && r.FormValue("under") == prefix
}

// IsRead reports whether a request to the key-value store reads a key or a page of a listing.
func IsRead(r *http.Request) bool {
	return r.Method == http.MethodGet && (r.URL.Path == "/store" || strings.HasPrefix(r.URL.Path, "/store/"))
}

// withFaults returns a handler that serves requests with h and injects faults into them. ctx ends
// delayed and copied requests. A nil injector injects no faults.
func withFaults(ctx context.Context, h http.Handler, inject FaultInjector) http.Handler {
	if inject == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		// A copy has its own context, so it does not end with the sender's connection.
		copyRequest := func() *http.Request {
			clone := r.Clone(ctx)
			clone.Body = io.NopCloser(bytes.NewReader(body))
			return clone
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
			go serveLater(ctx, h, copyRequest(), injected.Delay)
			<-r.Context().Done()
		case Repeated:
			h.ServeHTTP(w, copyRequest())
			go serveLater(ctx, h, copyRequest(), injected.Delay)
		case ResponseLate:
			recorder := httptest.NewRecorder()
			h.ServeHTTP(recorder, copyRequest())
			transport.Pause(r.Context(), injected.Delay)
			w.WriteHeader(recorder.Code)
			w.Write(recorder.Body.Bytes())
		case Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			original := r.WithContext(r.Context())
			original.Body = io.NopCloser(bytes.NewReader(body))
			h.ServeHTTP(w, original)
		}
	})
}

// serveLater serves a request after a delay, unless ctx ends first. The response is discarded.
func serveLater(ctx context.Context, h http.Handler, r *http.Request, delay time.Duration) {
	transport.Pause(ctx, delay)
	if ctx.Err() == nil {
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
}
