package fake

import (
	"testing"
	"time"

	"leadproxy/internal/wire"
)

// TestCheckerJobStatus checks that the checker detects statuses that contradict earlier responses
// or the tasks that have completed, and does not report a response to a request that was sent
// before the status changed.
func TestCheckerJobStatus(t *testing.T) {
	testChecker(t, []checkerCase{
		{"done after all tasks have completed", "", func(s *scenario) {
			s.submit("job-1", 2, nil)
			s.runTask("job-1/0", "m1")
			s.runTask("job-1/1", "m2")
			s.respond(RequestStatus, "job-1", 200, wire.JobDone)
			s.respond(RequestSubmit, "job-1", 200, wire.JobDone)
			s.respond(RequestStatus, "job-9", 404, "")
		}},
		{"done before all tasks have completed", "not_done", func(s *scenario) {
			s.submit("job-1", 2, nil)
			s.runTask("job-1/0", "m1")
			s.respond(RequestStatus, "job-1", 200, wire.JobDone)
		}},
		{"queued after done", "went_back", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.runTask("job-1/0", "m1")
			s.respond(RequestStatus, "job-1", 200, wire.JobDone)
			s.respond(RequestSubmit, "job-1", 200, wire.JobQueued)
		}},
		{"cancelled after done", "went_back", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.runTask("job-1/0", "m1")
			s.RecordCancellation("job-1")
			s.respond(RequestStatus, "job-1", 200, wire.JobDone)
			sentAt := time.Now().Add(-time.Hour)
			s.RecordResponse(RequestStatus, "job-1", sentAt, 200, wire.JobCancelled)
		}},
		{"cancelled without a request", "went_back", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.respond(RequestStatus, "job-1", 200, wire.JobCancelled)
		}},
		{"running after done, in response to an earlier request", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			sentAt := time.Now()
			s.runTask("job-1/0", "m1")
			s.respond(RequestStatus, "job-1", 200, wire.JobDone)
			s.RecordResponse(RequestStatus, "job-1", sentAt, 200, wire.JobRunning)
		}},
	})
}

// TestCheckerRequests checks that the checker detects accepted jobs that are unknown later or about
// which no request is answered, and submissions with the wrong result.
func TestCheckerRequests(t *testing.T) {
	testChecker(t, []checkerCase{
		{"an accepted job gets 404", "forgotten", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.respond(RequestStatus, "job-1", 404, "")
		}},
		{"a repeated submission gets 422", "forgotten", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.respond(RequestSubmit, "job-1", 422, "")
		}},
		{"no request is answered", "forgotten", func(s *scenario) {
			s.submit("job-1", 1, nil)
			faultFreeSince := time.Now()
			for range 17 {
				s.RecordRequest("job-1")
				time.Sleep(5 * time.Second)
				s.CheckInvariants(faultFreeSince, nil)
			}
		}},
		{"some requests are answered", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			faultFreeSince := time.Now()
			for i := range 30 {
				s.RecordRequest("job-1")
				if i%14 == 13 {
					s.respond(RequestStatus, "job-1", 200, wire.JobQueued)
				}
				time.Sleep(5 * time.Second)
				s.CheckInvariants(faultFreeSince, nil)
			}
		}},
		{"status of a job that was never submitted", "invented", func(s *scenario) { s.respond(RequestStatus, "job-1", 200, wire.JobQueued) }},
		{"a job that can't run is accepted", "accepted_unfit", func(s *scenario) {
			s.RecordSubmission(&wire.Job{ID: "job-1", Tasks: 1}, false)
			s.respond(RequestSubmit, "job-1", 201, wire.JobQueued)
		}},
		{"a job that can run is refused", "refused_fit", func(s *scenario) {
			s.RecordSubmission(&wire.Job{ID: "job-1", Tasks: 1}, true)
			s.respond(RequestSubmit, "job-1", 422, "")
		}},
	})
}
