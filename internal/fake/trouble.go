// Package fake has fakes for the outside systems, for tests: the network,
// the state service, the cloud and its workers. They speak the protocols and know
// the troubles that the real ones have; a checker looks at what they see.
package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"leadproxy/internal/transport"
)

// Fault is what goes wrong with one message.
type Fault int

// The faults of messages.
const (
	NoFault     Fault = iota
	RequestLost       // not carried out, never answered
	AnswerLost        // carried out, never answered
	Duplicated        // carried out twice, the second answer is given
	Delayed           // not answered; carried out late, when the sender has gone
	Refused           // 503 at once
)

// Trouble is what happens to one message, and for how long it is held.
type Trouble struct {
	Fault Fault
	For   time.Duration
}

// Troubles decides what happens to a message from a host. It may read the body.
type Troubles func(from string, r *http.Request) Trouble

// troubled serves h, with trouble, unless nil, deciding what becomes of each
// message.
func troubled(ctx context.Context, h http.Handler, trouble Troubles) http.Handler {
	if trouble == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		again := func() *http.Request {
			c := r.Clone(ctx)
			c.Body = io.NopCloser(bytes.NewReader(body))
			return c
		}
		switch trouble := trouble(r.RemoteAddr, again()); trouble.Fault {
		case RequestLost:
			<-r.Context().Done()
		case AnswerLost:
			h.ServeHTTP(httptest.NewRecorder(), again())
			<-r.Context().Done()
		case Duplicated:
			h.ServeHTTP(httptest.NewRecorder(), again())
			h.ServeHTTP(w, again())
		case Delayed:
			go func() {
				transport.Pause(ctx, trouble.For)
				if ctx.Err() == nil {
					h.ServeHTTP(httptest.NewRecorder(), again())
				}
			}()
			<-r.Context().Done()
		case Refused:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			c := r.WithContext(r.Context())
			c.Body = io.NopCloser(bytes.NewReader(body))
			h.ServeHTTP(w, c)
		}
	})
}

// serve serves h at an address until the test ends or the result is called.
func serve(t testing.TB, n transport.Network, addr string, h http.Handler) (at string, end func()) {
	l, err := n.Listen(t.Context(), addr)
	if err != nil {
		t.Error(err)
		return addr, func() {}
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	end = func() { s.Close() }
	t.Cleanup(end)
	return l.Addr().String(), end
}

func answer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the caller has gone
	}
}

// actor runs one function after another on a goroutine of its own, which is the
// only one to touch its owner's state.
type actor struct {
	work chan func()
	stop <-chan struct{}
}

// newActor starts an actor that outlives what was made later in the test.
func newActor(t testing.TB) actor {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	a := actor{make(chan func()), stop}
	go func() {
		for {
			select {
			case f := <-a.work:
				f()
			case <-stop:
				return
			}
		}
	}()
	return a
}

// do runs f on the actor and waits for it, unless the test is over.
func (a actor) do(f func()) {
	done := make(chan struct{})
	select {
	case a.work <- func() { f(); close(done) }:
		<-done
	case <-a.stop:
	}
}
