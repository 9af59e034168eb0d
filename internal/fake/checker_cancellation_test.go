package fake

import (
	"testing"
	"time"

	"leadproxy/internal/wire"
)

// TestCheckerCancellation checks that the checker detects tasks that run after their job's
// cancellation was confirmed, and does not report tasks that end within the cancel deadline.
func TestCheckerCancellation(t *testing.T) {
	testChecker(t, []checkerCase{
		{"a task still runs after the cancel deadline", "ran_cancelled", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.startTask("job-1/0", "m1", "a")
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			s.CheckInvariants(time.Time{}, nil)
		}},
		{"a response renews the lease and does not stop a cancelled task", "renewed_without_stop", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			s.RecordLeaseRenewal("m1", time.Now(), []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, Status: wire.TaskRunning}}, nil)
		}},
		{"a response stops the cancelled task, an earlier heartbeat's response does not", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			before := time.Now()
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			tasks := []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, Status: wire.TaskRunning}, {Task: "job-1/0", Attempt: 2, Status: wire.TaskEnded}}
			s.RecordLeaseRenewal("m1", before, tasks, nil)
			s.RecordLeaseRenewal("m1", time.Now(), tasks, []wire.Command{{Verb: wire.VerbStop, Task: "job-1/0", Attempt: 1}})
		}},
		{"a task ends after the cancel deadline", "ran_cancelled", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.startTask("job-1/0", "m1", "a")
			s.respond(RequestStatus, "job-1", 200, wire.JobQueued)
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			s.RecordTaskEnd("job-1/0", "m1", false)
		}},
		{"a task ends within the cancel deadline", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.startTask("job-1/0", "m1", "a")
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(39 * time.Second)
			s.RecordTaskEnd("job-1/0", "m1", false)
		}},
		{"a task starts after the cancel deadline", "ran_cancelled", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			s.startTask("job-1/0", "m1", "a")
		}},
	})
}
