package dispatch

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/transport"
)

// fakeLeadership implements Leadership. It leads in every term while leads is true.
type fakeLeadership struct{ leads atomic.Bool }

func (l *fakeLeadership) IsLeader(uint64) bool { return l.leads.Load() }

// TestCloudCallNotSentAfterTermEnds guards against a deletion that was decided during the term,
// waited for the rate limit of the cloud's API and was sent after the term had ended. The machine
// may belong to the next leader by then.
func TestCloudCallNotSentAfterTermEnds(t *testing.T) {
	const interval = 300 * time.Millisecond // between two calls to the cloud
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	leadership := &fakeLeadership{}
	leadership.leads.Store(true)
	term := newTestTerm(t)
	term.guard = NewSendGuard(leadership, term.log)
	term.cloud = autoscaler.NewClient(transport.TCP{}, server.Listener.Addr().String(), float64(time.Second/interval))
	go term.cloud.Run(t.Context())

	for _, machine := range []string{"vm-1", "vm-2"} {
		term.callCloud(t.Context(), autoscaler.Call{Delete: []string{machine}})
	}
	if first := <-term.cloud.Results; first.Err != nil {
		t.Errorf("call during the term failed: %v", first.Err)
	}
	leadership.leads.Store(false)
	if second := <-term.cloud.Results; !errors.Is(second.Err, autoscaler.ErrNotExecuted) {
		t.Errorf("call that waited until the term had ended: error %v, want %v", second.Err, autoscaler.ErrNotExecuted)
	}
	if n := received.Load(); n != 1 {
		t.Errorf("cloud received %d calls, want 1", n)
	}
}
