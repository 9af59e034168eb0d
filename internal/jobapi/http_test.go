package jobapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/julienschmidt/httprouter"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestUsersAPI: each kind of request gets its status, with a time to come again where that helps.
func TestUsersAPI(t *testing.T) {
	body := func(change ...string) string {
		s := `{"ref":"job-1","lane":"c","owner":"t","shape":"batch","urgency":"high","pieces":2,"vcpus":2,"gpus":0,"mem_gb":4,
			"bundle":"i","size_gb":1,"flavors":null,"room":null,"together":false,"spread":false,"loaners":true,"guess_s":5,
			"snapshot_s":0,"flush_s":0,"due_s":null}`
		return strings.NewReplacer(change...).Replace(s)
	}
	elsewhere := Response{Status: http.StatusCreated, Body: []byte(`{"ref":"job-1","status":"queued"}`)}
	const old = `"job-1"`
	cases := []struct {
		name, method, path, body string
		down, busy               bool // the store
		untyped                  bool // the machine types are not known yet
		mixed                    bool // another version may be running
		peer                     *Response
		status                   int
		says                     string
		retry                    bool
	}{
		{name: "a new job", method: "POST", path: "/v2/runs", body: body(), status: 201, says: "queued"},
		{name: "a job that is done, again", method: "POST", path: "/v2/runs", body: body(old, `"job-7"`), status: 200, says: "done"},
		{name: "an accepted job whose team is gone", method: "POST", path: "/v2/runs", body: body(old, `"job-7"`, `"t"`, `"x"`), status: 200, says: "done"},
		{name: "an accepted job, broken since", method: "POST", path: "/v2/runs", body: body(old, `"job-7"`, `"high"`, `"soon"`), status: 200, says: "done"},
		// Under a storm an accepted job's repetitions found no room among the writes,
		// and its user never got the response that it was accepted.
		{name: "a job that waits for others", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7","job-8"]`), status: 201, says: "queued"},
		{name: "it waits for a cancelled one", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7","job-6"]`), status: 201, says: "aborted"},
		{name: "through another one", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-5"]`), status: 201, says: "aborted"},
		{name: "it waits for what nobody submitted", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7","job-99"]`), status: 422, says: "job-99"},
		{name: "it waits for itself", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-1"]`), status: 422, says: "itself"},
		{name: "a repetition that names what nobody submitted", method: "POST", path: "/v2/runs", body: body(old, `"job-7"`, `"due_s":null`, `"due_s":null,"waits_on":["job-99"]`), status: 200, says: "done"},
		{name: "it can't be told whom it waits for", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7"]`), down: true, status: 503, retry: true},
		{name: "it can be told elsewhere", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7"]`), down: true, peer: &elsewhere, status: 201, says: "queued"},
		{name: "not all nodes would have it wait", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7"]`), mixed: true, peer: &elsewhere, status: 503, says: "upgraded", retry: true},
		{name: "a job whose ancestor is cancelled", method: "GET", path: "/v2/runs/job-5", status: 200, says: "aborted"},
		{name: "its repetition", method: "POST", path: "/v2/runs", body: body(old, `"job-5"`), status: 200, says: "aborted"},
		{name: "cancelling it", method: "POST", path: "/v2/runs/job-5/cancel", status: 200, says: "aborted"},
		{name: "a job whose ancestors are more than are read", method: "GET", path: "/v2/runs/job-4", status: 503, retry: true},
		{name: "a repetition while nothing can be written", method: "POST", path: "/v2/runs", body: body(old, `"job-8"`), busy: true, status: 200, says: "queued"},
		{name: "a new job while nothing can be written", method: "POST", path: "/v2/runs", body: body(), busy: true, status: 429, says: "more submissions", retry: true},
		{name: "not JSON", method: "POST", path: "/v2/runs", body: "{", status: 400, says: "object"},
		{name: "a field that is wrong", method: "POST", path: "/v2/runs", body: body(`"high"`, `"soon"`), status: 400, says: "urgency"},
		{name: "a body too long", method: "POST", path: "/v2/runs", body: body() + strings.Repeat(" ", 70000), status: 400, says: "64 KiB"},
		{name: "an unknown team", method: "POST", path: "/v2/runs", body: body(`"t"`, `"x"`), status: 422, says: "team"},
		{name: "a task over the team's limit", method: "POST", path: "/v2/runs", body: body(`"vcpus":2`, `"vcpus":7`), status: 422, says: "limit"},
		{name: "a task that fits no type", method: "POST", path: "/v2/runs", body: body(`"mem_gb":4`, `"mem_gb":400`), status: 422, says: "fits"},
		{name: "a type that is not there", method: "POST", path: "/v2/runs", body: body(`"flavors":null`, `"flavors":["z9"]`), status: 422, says: "fits"},
		{name: "a zone that no type has", method: "POST", path: "/v2/runs", body: body(`"room":null`, `"room":"z"`), status: 422, says: "fits"},
		{name: "more than a record may hold", method: "POST", path: "/v2/runs", body: body(`"flavors":null`, `"flavors":["m"`+strings.Repeat(`,"nnnnnnnnnnnnnnnnnnnnnnnnnnnnnn"`, 600)+`]`), status: 400, says: "longer"},
		{name: "types not known yet", method: "POST", path: "/v2/runs", body: body(), untyped: true, status: 503, says: "types", retry: true},
		{name: "no state service anywhere", method: "POST", path: "/v2/runs", body: body(), down: true, status: 503, says: "state service", retry: true},
		{name: "no state service here alone", method: "POST", path: "/v2/runs", body: body(), down: true, peer: &elsewhere, status: 201, says: "queued"},
		{name: "a job that is done", method: "GET", path: "/v2/runs/job-7", status: 200, says: `"done":2`},
		{name: "a job that nobody submitted", method: "GET", path: "/v2/runs/job-99", status: 404},
		{name: "an id of another form", method: "GET", path: "/v2/runs/seven", status: 404},
		{name: "a question without the state service", method: "GET", path: "/v2/runs/job-7", down: true, status: 503, retry: true},
		{name: "cancelling what is done", method: "POST", path: "/v2/runs/job-7/cancel", status: 200, says: "done"},
		{name: "cancelling what nobody submitted", method: "POST", path: "/v2/runs/job-99/cancel", status: 404},
		{name: "cancelling without a leader", method: "POST", path: "/v2/runs/job-8/cancel", status: 503, retry: true},
		{name: "a name that another cell's job has here", method: "POST", path: "/v2/runs", body: body(old, `"job-3"`), status: 422, says: "cell lima"},
		{name: "that while nothing can be written", method: "POST", path: "/v2/runs", body: body(old, `"job-3"`), busy: true, status: 422, says: "cell lima"},
		{name: "it waits for another cell's job", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-3"]`), status: 422, says: "job-3"},
		{name: "another cell's job", method: "GET", path: "/v2/runs/job-3", status: 404},
		{name: "cancelling another cell's job", method: "POST", path: "/v2/runs/job-3/cancel", status: 404},
		{name: "a wrong path", method: "GET", path: "/v2/walks", status: 404, says: "path"},
		{name: "a wrong method", method: "DELETE", path: "/v2/runs/job-7", status: 405, says: "DELETE"},
		{name: "health", method: "GET", path: "/healthz", status: 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &fakeStore{unavailable: c.down, overloaded: c.busy, records: map[string]ledger.JobRecord{
				"job/job-3": {Origin: "lima", TransferEpoch: 1, TerminalState: wire.JobDone, Tasks: 1, Done: 1},
				"job/job-7": {TerminalState: wire.JobDone, Tasks: 2, Done: 2}, "job/job-8": {Job: &wire.Job{ID: "job-8", Tasks: 1}},
				"job/job-6":  {TerminalState: wire.JobCancelled, Job: &wire.Job{ID: "job-6", Tasks: 1}},
				"job/job-5":  {Job: &wire.Job{ID: "job-5", Tasks: 1, DependsOn: []string{"job-7", "job-51"}}},
				"job/job-51": {Job: &wire.Job{ID: "job-51", Tasks: 1, DependsOn: []string{"job-6"}}},
				"job/job-4":  {Job: &wire.Job{ID: "job-4", Tasks: 1}}}}
			many := []string{}
			for i := range maxAncestors + 1 {
				jobID := fmt.Sprintf("job-4%d", i)
				many = append(many, jobID)
				store.records["job/"+jobID] = ledger.JobRecord{Job: &wire.Job{ID: jobID, Tasks: 1}}
			}
			store.records["job/job-4"].Job.DependsOn = many
			s := newTestService(t, store, &fakePeers{c.peer}, func(config *Config) {
				config.PipelinesSupported = func() bool { return !c.mixed }
				types, _ := config.MachineTypes()
				config.MachineTypes = func() ([]wire.MachineType, bool) { return types, !c.untyped }
			})
			router := httprouter.New()
			s.RegisterRoutes(router)
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			if w.Code != c.status || !strings.Contains(w.Body.String(), c.says) {
				t.Errorf("answered %d %s, want %d with %q", w.Code, w.Body, c.status, c.says)
			}
			if got := w.Header().Get("Retry-After") != ""; got != c.retry {
				t.Errorf("Retry-After given: %v, want %v", got, c.retry)
			}
			if c.status >= 400 && !json.Valid(w.Body.Bytes()) {
				t.Errorf("the error is not JSON: %s", w.Body)
			}
		})
	}
}

// TestAnnouncedBodiesAreNotPreallocated: a sender that announces a long body and is slow, or
// breaks off, must not hold room for all of it; two thousand of them would be more
// than the memory of a small controller.
func TestAnnouncedBodiesAreNotPreallocated(t *testing.T) {
	read := func(announced int64, body string) (room uint64, err error) {
		var before, after runtime.MemStats
		req := httptest.NewRequest("POST", "/v1/report", io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)))
		req.ContentLength = announced
		w := httptest.NewRecorder()
		runtime.ReadMemStats(&before)
		_, err = ReadBody(w, req)
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc, err
	}
	for _, announced := range []int64{1000, wire.MaxBodyBytes, wire.MaxBodyBytes + 1, -1} {
		if room, err := read(announced, "{"); err == nil || room > 16<<10 {
			t.Errorf("%d bytes announced, one sent: %d bytes taken, error %v", announced, room, err)
		}
	}
}
