package metrics

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// scrape returns the status code and the body of a request to the server of the metrics.
func scrape(t *testing.T, method, address, path string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// TestServe checks the names and values of all metrics, and that nothing else is served.
func TestServe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := New()
	m.CountAnswer(StatusQuery, LeaderMemory)
	m.CountAnswer(StatusQuery, LeaderMemory)
	m.CountAnswer(Cancellation, Records)
	m.CountRecordRead(ReadFound)
	m.CountWatchFailure()
	m.RegisterSources(Sources{
		Leading: func() bool { return true }, LeaderTerm: func() uint64 { return 221 },
		LeaseRemaining: func() time.Duration { return 1500 * time.Millisecond },
		StoreServing:   func() bool { return false }, StoreRevision: func() uint64 { return 479 },
		WatchRevision: func() uint64 { return 238 }, WatchAge: func() time.Duration { return 22 * time.Second },
		Unknown: func() int { return 3 }, OldestUnknownTime: func() time.Duration { return 250 * time.Millisecond },
	})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- m.Serve(ctx, listener) }()
	address := listener.Addr().String()
	code, body := scrape(t, http.MethodGet, address, Path)
	if code != http.StatusOK {
		t.Errorf("scrape: %d, want 200", code)
	}
	for _, want := range []string{
		`leadproxy_answers_total{request="status",source="leader_memory"} 2`,
		`leadproxy_answers_total{request="cancellation",source="records"} 1`,
		`leadproxy_answers_total{request="submission",source="none"} 0`,
		`leadproxy_predecessor_reads_total{outcome="found"} 1`,
		`leadproxy_predecessor_reads_total{outcome="unreadable"} 0`,
		"leadproxy_job_watch_failures_total 1", "leadproxy_leader 1", "leadproxy_leader_term 221",
		"leadproxy_leader_lease_remaining_seconds 1.5", "leadproxy_store_available 0", "leadproxy_store_revision 479",
		"leadproxy_job_watch_revision 238", "leadproxy_job_watch_age_seconds 22",
		"leadproxy_unknown_predecessors 3", "leadproxy_unknown_predecessor_oldest_seconds 0.25",
	} {
		if !strings.Contains(body, want+"\n") {
			t.Errorf("no line %q in\n%s", want, body)
		}
	}
	for path, want := range map[string]int{"/": http.StatusNotFound, "/debug/pprof/": http.StatusNotFound, "/v2/runs": http.StatusNotFound} {
		if code, _ := scrape(t, http.MethodGet, address, path); code != want {
			t.Errorf("GET %s: %d, want %d", path, code, want)
		}
	}
	if code, _ := scrape(t, http.MethodPost, address, Path); code != http.StatusMethodNotAllowed {
		t.Errorf("POST %s: %d, want 405", Path, code)
	}
	cancel()
	if err := <-served; err != nil {
		t.Errorf("Serve returned %v after its context ended, want nil", err)
	}
}
