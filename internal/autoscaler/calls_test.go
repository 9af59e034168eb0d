package autoscaler

import (
	"errors"
	"net/http"
	"testing"

	"leadproxy/internal/wire"
)

// TestCallQueue: calls leave the queue by priority, those of one priority in the order of
// their arrival.
func TestCallQueue(t *testing.T) {
	var queue callQueue
	for _, call := range []Call{{List: true}, {ScaleOut: &wire.ScaleOutRequest{RequestID: "first"}}, {Types: true}, {ScaleOut: &wire.ScaleOutRequest{RequestID: "second"}}, {Delete: []string{"vm-1"}}} {
		queue.push(call)
	}
	order := []struct {
		name    string
		isFirst func(c Call) bool
	}{
		{"the deletion", func(c Call) bool { return c.Delete != nil }},
		{"the first scale-out", func(c Call) bool { return c.ScaleOut != nil && c.ScaleOut.RequestID == "first" }},
		{"the second scale-out", func(c Call) bool { return c.ScaleOut != nil && c.ScaleOut.RequestID == "second" }},
		{"the list", func(c Call) bool { return c.List }},
		{"the types", func(c Call) bool { return c.Types }},
	}
	for _, want := range order {
		if queue.isEmpty() {
			t.Fatalf("the queue is empty, want %s", want.name)
		}
		if call := queue.pop(); !want.isFirst(call) {
			t.Errorf("%+v leaves the queue, want %s", call, want.name)
		}
	}
	if !queue.isEmpty() {
		t.Error("the queue is not empty")
	}
}

// TestCallError: it wraps its outcome and its cause, and names the call.
func TestCallError(t *testing.T) {
	cause := errors.New("connection reset")
	cases := []struct {
		name string
		err  *CallError
		want string
	}{
		{"outcome and cause", &CallError{http.MethodGet, "/flavors", ErrUnknownOutcome, cause}, "GET /flavors: outcome of the cloud call is unknown: connection reset"},
		{"outcome alone", &CallError{http.MethodPost, "/machines", ErrNoCapacity, nil}, "POST /machines: the cloud has no capacity for this"},
		{"no call", &CallError{http.MethodPost, "/machines", nil, cause}, "POST /machines: connection reset"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.err.Error() != c.want {
				t.Errorf("%q, want %q", c.err, c.want)
			}
			if c.err.Outcome != nil && !errors.Is(c.err, c.err.Outcome) || c.err.Cause != nil && !errors.Is(c.err, c.err.Cause) {
				t.Errorf("%v does not wrap its outcome and cause", c.err)
			}
		})
	}
}
