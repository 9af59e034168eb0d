package fake

import (
	"testing"
	"time"

	"leadproxy/internal/wire"
)

func TestCheckerCancellation(t *testing.T) {
	testChecker(t, []checkerCase{
		{"a task runs on long after the cancellation", "ran_cancelled", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.startTask("job-1/0", "m1", "a")
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			s.CheckInvariants(time.Time{}, nil)
		}},
		{"a lease renewed without the stop of a cancelled task", "renewed_without_stop", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			s.RecordLeaseRenewal("m1", time.Now(), []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, Status: wire.TaskRunning}}, nil)
		}},
		{"a lease renewed with the stops of cancelled tasks, and by earlier heartbeats", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			before := time.Now()
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			tasks := []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, Status: wire.TaskRunning}, {Task: "job-1/0", Attempt: 2, Status: wire.TaskEnded}}
			s.RecordLeaseRenewal("m1", before, tasks, nil)
			s.RecordLeaseRenewal("m1", time.Now(), tasks, []wire.Command{{Verb: wire.VerbStop, Task: "job-1/0", Attempt: 1}})
		}},
		{"a task ends late after the cancellation", "ran_cancelled", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.startTask("job-1/0", "m1", "a")
			s.respond(RequestStatus, "job-1", 200, wire.JobQueued)
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			s.RecordTaskEnd("job-1/0", "m1", false)
		}},
		{"a task ends in time after the cancellation", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.startTask("job-1/0", "m1", "a")
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(39 * time.Second)
			s.RecordTaskEnd("job-1/0", "m1", false)
		}},
		{"a task starts long after the cancellation", "ran_cancelled", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			s.startTask("job-1/0", "m1", "a")
		}},
	})
}
