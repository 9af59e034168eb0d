package jobapi

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// recordingDispatcher is the dispatcher of a follower that records which jobs it was notified of.
type recordingDispatcher struct {
	fakeDispatcher
	notified *[]string
}

func (d recordingDispatcher) NotifyJobRecord(record scheduler.JobRecordEvent) {
	*d.notified = append(*d.notified, record.JobID)
}

// TestStatusFromRecords checks the status that follows from records alone, and that the records which
// were read for it are passed to the dispatcher.
func TestStatusFromRecords(t *testing.T) {
	unfinished := func(jobID string, dependsOn ...string) ledger.JobRecord {
		return ledger.JobRecord{Job: &wire.Job{ID: jobID, Tasks: 1, DependsOn: dependsOn}, AcceptedMS: 1}
	}
	malformed := ledger.JobRecord{AcceptedMS: 1}
	records := map[string]ledger.JobRecord{
		"job/job-000001": {TerminalState: wire.JobCancelled, Tasks: 1},
		"job/job-000002": unfinished("job-000002", "job-000001"),
		"job/job-000003": unfinished("job-000003", "job-000002"),
		"job/job-000004": malformed,
		"job/job-000005": unfinished("job-000005", "job-000004"),
		"job/job-000006": unfinished("job-000006", "job-000004", "job-000002"),
		"job/job-000007": {Job: &wire.Job{ID: "job-000007", Tasks: 1}, Origin: "other"},
	}
	cases := []struct {
		name, jobID string
		wantCode    int
		wantStatus  string
		notified    []string // in any order
	}{
		{"cancelled with an ancestor", "job-000003", http.StatusOK, wire.JobCancelled, []string{"job-000001", "job-000002", "job-000003"}},
		{"a malformed predecessor counts as unfinished", "job-000005", http.StatusOK, wire.JobQueued, []string{"job-000005"}},
		{"cancelled beside a malformed predecessor", "job-000006", http.StatusOK, wire.JobCancelled, []string{"job-000001", "job-000002", "job-000006"}},
		{"a malformed record", "job-000004", http.StatusServiceUnavailable, "", nil},
		{"a job of another cell", "job-000007", http.StatusNotFound, "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var notified []string
			service := newTestService(t, &fakeStore{records: records}, &fakePeers{}, func(config *Config) {
				config.Dispatcher = recordingDispatcher{notified: &notified}
			})
			response := service.Handle(t.Context(), Request{Kind: Status, JobID: c.jobID})
			if response.Status != c.wantCode || !strings.Contains(string(response.Body), c.wantStatus) {
				t.Errorf("response %d %s, want %d %s", response.Status, response.Body, c.wantCode, c.wantStatus)
			}
			slices.Sort(notified)
			if !slices.Equal(notified, c.notified) {
				t.Errorf("the dispatcher was notified of %v, want %v", notified, c.notified)
			}
		})
	}
}
