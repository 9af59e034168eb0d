package autoscaler

import (
	"errors"
	"net/http"
	"testing"

	"leadproxy/internal/wire"
)

// TestCallQueue checks that calls leave the queue by priority, and those of one priority in the order
// of arrival.
func TestCallQueue(t *testing.T) {
	var queue callQueue
	for _, call := range []Call{{List: true}, {ScaleOut: &wire.ScaleOutRequest{RequestID: "first"}}, {Types: true}, {ScaleOut: &wire.ScaleOutRequest{RequestID: "second"}}, {Delete: []string{"vm-1"}}} {
		queue.push(call)
	}
	order := []struct {
		name    string
		isFirst func(c Call) bool
	}{
		{"deletion", func(c Call) bool { return c.Delete != nil }},
		{"first scale-out", func(c Call) bool { return c.ScaleOut != nil && c.ScaleOut.RequestID == "first" }},
		{"second scale-out", func(c Call) bool { return c.ScaleOut != nil && c.ScaleOut.RequestID == "second" }},
		{"list", func(c Call) bool { return c.List }},
		{"types", func(c Call) bool { return c.Types }},
	}
	for _, want := range order {
		if queue.isEmpty() {
			t.Fatalf("queue is empty, want %s", want.name)
		}
		if call := queue.pop(); !want.isFirst(call) {
			t.Errorf("popped %+v, want %s", call, want.name)
		}
	}
	if !queue.isEmpty() {
		t.Error("queue is not empty after all calls")
	}
}

// TestCallError checks that a CallError wraps its outcome and its cause, and that its message names
// the call.
func TestCallError(t *testing.T) {
	cause := errors.New("connection reset")
	cases := []struct {
		name string
		err  *CallError
		want string
	}{
		{"outcome and cause", &CallError{http.MethodGet, "/flavors", ErrUnknownOutcome, cause}, "GET /flavors: outcome of the cloud call is unknown: connection reset"},
		{"outcome only", &CallError{http.MethodPost, "/machines", ErrNoCapacity, nil}, "POST /machines: the cloud has no capacity for this"},
		{"request could not be built", &CallError{http.MethodPost, "/machines", nil, cause}, "POST /machines: connection reset"},
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
