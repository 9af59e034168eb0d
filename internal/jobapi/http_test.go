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

// TestUsersAPI checks the status code and body of the response to each kind of request, and that it
// has a Retry-After header where a retry can succeed.
func TestUsersAPI(t *testing.T) {
	body := func(change ...string) string {
		submission := `{"ref":"job-1","lane":"c","owner":"t","shape":"batch","urgency":"high","pieces":2,"vcpus":2,"gpus":0,"mem_gb":4,
			"bundle":"i","size_gb":1,"flavors":null,"room":null,"together":false,"spread":false,"loaners":true,"guess_s":5,
			"snapshot_s":0,"flush_s":0,"due_s":null}`
		return strings.NewReplacer(change...).Replace(submission)
	}
	otherResponse := Response{Status: http.StatusCreated, Body: []byte(`{"ref":"job-1","status":"queued"}`)}
	const defaultID = `"job-1"`
	cases := []struct {
		name, method, path, body          string
		storeUnavailable, storeOverloaded bool
		typesUnknown                      bool      // the machine types are not known yet
		mixedVersions                     bool      // not all controllers support job dependencies
		peerResponse                      *Response // of the other controller; nil: it does not respond
		status                            int
		bodyContains                      string
		retryAfter                        bool // whether the response has a Retry-After header
	}{
		{name: "new job", method: "POST", path: "/v2/runs", body: body(), status: 201, bodyContains: "queued"},
		{name: "repeated submission of a job that is done", method: "POST", path: "/v2/runs", body: body(defaultID, `"job-7"`), status: 200, bodyContains: "done"},
		{name: "repeated submission whose team no longer exists", method: "POST", path: "/v2/runs", body: body(defaultID, `"job-7"`, `"t"`, `"x"`), status: 200, bodyContains: "done"},
		{name: "repeated submission that is invalid", method: "POST", path: "/v2/runs", body: body(defaultID, `"job-7"`, `"high"`, `"soon"`), status: 200, bodyContains: "done"},
		{name: "job with dependencies", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7","job-8"]`), status: 201, bodyContains: "queued"},
		{name: "job with a cancelled dependency", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7","job-6"]`), status: 201, bodyContains: "aborted"},
		{name: "job with a cancelled indirect dependency", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-5"]`), status: 201, bodyContains: "aborted"},
		{name: "job with an unknown dependency", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7","job-99"]`), status: 422, bodyContains: "job-99"},
		{name: "job that depends on itself", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-1"]`), status: 422, bodyContains: "itself"},
		{name: "repeated submission with an unknown dependency", method: "POST", path: "/v2/runs", body: body(defaultID, `"job-7"`, `"due_s":null`, `"due_s":null,"waits_on":["job-99"]`), status: 200, bodyContains: "done"},
		{name: "job whose dependencies can't be read", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7"]`), storeUnavailable: true, status: 503, retryAfter: true},
		{name: "job whose dependencies only another controller can read", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7"]`), storeUnavailable: true, peerResponse: &otherResponse, status: 201, bodyContains: "queued"},
		{name: "job with dependencies while not all controllers support them", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-7"]`), mixedVersions: true, peerResponse: &otherResponse, status: 503, bodyContains: "upgraded", retryAfter: true},
		{name: "status of a job whose ancestor is cancelled", method: "GET", path: "/v2/runs/job-5", status: 200, bodyContains: "aborted"},
		{name: "repeated submission of a job whose ancestor is cancelled", method: "POST", path: "/v2/runs", body: body(defaultID, `"job-5"`), status: 200, bodyContains: "aborted"},
		{name: "cancellation of a job whose ancestor is cancelled", method: "POST", path: "/v2/runs/job-5/cancel", status: 200, bodyContains: "aborted"},
		{name: "status of a job with too many ancestors", method: "GET", path: "/v2/runs/job-4", status: 503, retryAfter: true},
		// Under heavy load, repeated submissions of an accepted job were rejected because
		// the write rate was used up, and the user was never told that the job was
		// accepted.
		{name: "repeated submission while the store is overloaded", method: "POST", path: "/v2/runs", body: body(defaultID, `"job-8"`), storeOverloaded: true, status: 200, bodyContains: "queued"},
		{name: "new job while the store is overloaded", method: "POST", path: "/v2/runs", body: body(), storeOverloaded: true, status: 429, bodyContains: "more submissions", retryAfter: true},
		{name: "malformed JSON", method: "POST", path: "/v2/runs", body: "{", status: 400, bodyContains: "object"},
		{name: "invalid field value", method: "POST", path: "/v2/runs", body: body(`"high"`, `"soon"`), status: 400, bodyContains: "urgency"},
		{name: "body too long", method: "POST", path: "/v2/runs", body: body() + strings.Repeat(" ", 70000), status: 400, bodyContains: "64 KiB"},
		{name: "unknown team", method: "POST", path: "/v2/runs", body: body(`"t"`, `"x"`), status: 422, bodyContains: "team"},
		{name: "task over the team's limit", method: "POST", path: "/v2/runs", body: body(`"vcpus":2`, `"vcpus":7`), status: 422, bodyContains: "limit"},
		{name: "task that fits no machine type", method: "POST", path: "/v2/runs", body: body(`"mem_gb":4`, `"mem_gb":400`), status: 422, bodyContains: "fits"},
		{name: "unknown machine type", method: "POST", path: "/v2/runs", body: body(`"flavors":null`, `"flavors":["z9"]`), status: 422, bodyContains: "fits"},
		{name: "unknown zone", method: "POST", path: "/v2/runs", body: body(`"room":null`, `"room":"z"`), status: 422, bodyContains: "fits"},
		{name: "record too long", method: "POST", path: "/v2/runs", body: body(`"flavors":null`, `"flavors":["m"`+strings.Repeat(`,"nnnnnnnnnnnnnnnnnnnnnnnnnnnnnn"`, 600)+`]`), status: 400, bodyContains: "longer"},
		{name: "machine types not known yet", method: "POST", path: "/v2/runs", body: body(), typesUnknown: true, status: 503, bodyContains: "types", retryAfter: true},
		{name: "store unavailable to all controllers", method: "POST", path: "/v2/runs", body: body(), storeUnavailable: true, status: 503, bodyContains: "state service", retryAfter: true},
		{name: "store unavailable to this controller only", method: "POST", path: "/v2/runs", body: body(), storeUnavailable: true, peerResponse: &otherResponse, status: 201, bodyContains: "queued"},
		{name: "status of a job that is done", method: "GET", path: "/v2/runs/job-7", status: 200, bodyContains: `"done":2`},
		{name: "status of an unknown job", method: "GET", path: "/v2/runs/job-99", status: 404},
		{name: "status with a malformed job ID", method: "GET", path: "/v2/runs/seven", status: 404},
		{name: "status while the store is unavailable", method: "GET", path: "/v2/runs/job-7", storeUnavailable: true, status: 503, retryAfter: true},
		{name: "cancellation of a job that is done", method: "POST", path: "/v2/runs/job-7/cancel", status: 200, bodyContains: "done"},
		{name: "cancellation of an unknown job", method: "POST", path: "/v2/runs/job-99/cancel", status: 404},
		{name: "cancellation without a leader", method: "POST", path: "/v2/runs/job-8/cancel", status: 503, retryAfter: true},
		{name: "job ID of a foreign job", method: "POST", path: "/v2/runs", body: body(defaultID, `"job-3"`), status: 422, bodyContains: "cell lima"},
		{name: "job ID of a foreign job while the store is overloaded", method: "POST", path: "/v2/runs", body: body(defaultID, `"job-3"`), storeOverloaded: true, status: 422, bodyContains: "cell lima"},
		{name: "job that depends on a foreign job", method: "POST", path: "/v2/runs", body: body(`"due_s":null`, `"due_s":null,"waits_on":["job-3"]`), status: 422, bodyContains: "job-3"},
		{name: "status of a foreign job", method: "GET", path: "/v2/runs/job-3", status: 404},
		{name: "cancellation of a foreign job", method: "POST", path: "/v2/runs/job-3/cancel", status: 404},
		{name: "unknown path", method: "GET", path: "/v2/walks", status: 404, bodyContains: "path"},
		{name: "method not allowed", method: "DELETE", path: "/v2/runs/job-7", status: 405, bodyContains: "DELETE"},
		{name: "health check", method: "GET", path: "/healthz", status: 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &fakeStore{unavailable: c.storeUnavailable, overloaded: c.storeOverloaded, records: map[string]ledger.JobRecord{
				"job/job-3": {Origin: "lima", TransferEpoch: 1, TerminalState: wire.JobDone, Tasks: 1, Done: 1},
				"job/job-7": {TerminalState: wire.JobDone, Tasks: 2, Done: 2}, "job/job-8": {Job: &wire.Job{ID: "job-8", Tasks: 1}},
				"job/job-6":  {TerminalState: wire.JobCancelled, Job: &wire.Job{ID: "job-6", Tasks: 1}},
				"job/job-5":  {Job: &wire.Job{ID: "job-5", Tasks: 1, DependsOn: []string{"job-7", "job-51"}}},
				"job/job-51": {Job: &wire.Job{ID: "job-51", Tasks: 1, DependsOn: []string{"job-6"}}},
				"job/job-4":  {Job: &wire.Job{ID: "job-4", Tasks: 1}}}}
			ancestors := []string{}
			for i := range maxAncestors + 1 {
				jobID := fmt.Sprintf("job-4%d", i)
				ancestors = append(ancestors, jobID)
				store.records["job/"+jobID] = ledger.JobRecord{Job: &wire.Job{ID: jobID, Tasks: 1}}
			}
			store.records["job/job-4"].Job.DependsOn = ancestors
			service := newTestService(t, store, &fakePeers{c.peerResponse}, func(config *Config) {
				config.PipelinesSupported = func() bool { return !c.mixedVersions }
				types, _ := config.MachineTypes()
				config.MachineTypes = func() ([]wire.MachineType, bool) { return types, !c.typesUnknown }
			})
			router := httprouter.New()
			service.RegisterRoutes(router)
			recorder := httptest.NewRecorder()
			router.ServeHTTP(recorder, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			if recorder.Code != c.status || !strings.Contains(recorder.Body.String(), c.bodyContains) {
				t.Errorf("status %d, body %s, want status %d and a body with %q", recorder.Code, recorder.Body, c.status, c.bodyContains)
			}
			if got := recorder.Header().Get("Retry-After") != ""; got != c.retryAfter {
				t.Errorf("Retry-After header present: %v, want %v", got, c.retryAfter)
			}
			if c.status >= 400 && !json.Valid(recorder.Body.Bytes()) {
				t.Errorf("error response is not valid JSON: %s", recorder.Body)
			}
		})
	}
}

// TestAnnouncedBodiesAreNotPreallocated guards against allocating a buffer for the whole announced
// body of a sender that is slow or disconnects: two thousand such buffers would exceed the memory
// of a small controller.
func TestAnnouncedBodiesAreNotPreallocated(t *testing.T) {
	read := func(announced int64, body string) (allocated uint64, err error) {
		var before, after runtime.MemStats
		request := httptest.NewRequest("POST", "/v1/report", io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)))
		request.ContentLength = announced
		recorder := httptest.NewRecorder()
		runtime.ReadMemStats(&before)
		_, err = ReadBody(recorder, request)
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc, err
	}
	// The runtime's own allocations, as of threads that it starts, are counted too. They add to some
	// of the reads only.
	const attempts = 5
	for _, announced := range []int64{1000, wire.MaxBodyBytes, wire.MaxBodyBytes + 1, -1} {
		allocated, err := read(announced, "{")
		for range attempts - 1 {
			again, _ := read(announced, "{")
			allocated = min(allocated, again)
		}
		if err == nil || allocated > 16<<10 {
			t.Errorf("%d bytes announced, one sent: %d bytes allocated, error %v, want an error and at most 16 KiB", announced, allocated, err)
		}
	}
}
