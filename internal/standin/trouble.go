// Package standin has stand-ins for the outside systems, for tests: the state
// service, the cloud and its workers. They speak the protocols over loopback
// and can lose, repeat, delay and hold messages.
package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// Trouble is what happens to one message.
type Trouble int

// The troubles.
const (
	None     Trouble = iota
	Lost             // not carried out, never answered
	Unheard          // carried out, never answered
	Repeated         // carried out twice, the second answer is given
	Held             // not answered; carried out late, when the sender has gone
	Refused          // 503 at once
)

// HoldFor is how late a held message is carried out.
const HoldFor = 3 * time.Second

// troubled serves h, with trouble, unless nil, deciding the fate of each message.
func troubled(h http.Handler, trouble func(r *http.Request) Trouble) http.Handler {
	if trouble == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		again := func() *http.Request {
			c := r.Clone(r.Context())
			c.Body = io.NopCloser(bytes.NewReader(body))
			return c
		}
		switch trouble(r) {
		case Lost:
			<-r.Context().Done()
		case Unheard:
			h.ServeHTTP(httptest.NewRecorder(), again())
			<-r.Context().Done()
		case Repeated:
			h.ServeHTTP(httptest.NewRecorder(), again())
			h.ServeHTTP(w, again())
		case Held:
			go func() {
				time.Sleep(HoldFor)
				h.ServeHTTP(httptest.NewRecorder(), again())
			}()
			<-r.Context().Done()
		case Refused:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			h.ServeHTTP(w, again())
		}
	})
}

// actor runs one function after another on a goroutine of its own, which is the
// only one to touch its owner's state.
type actor struct {
	work chan func()
	stop <-chan struct{}
}

func newActor(stop <-chan struct{}) actor {
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
