package fake

import (
	"testing"
	"time"

	"leadproxy/internal/wire"
)

// TestCheckerDependencies checks that the checker detects tasks that start before their
// dependencies are done, and follows cancellations from a job to its direct and transitive
// dependents, not the other way.
func TestCheckerDependencies(t *testing.T) {
	zone := "b"
	testChecker(t, []checkerCase{
		{"a task starts before a dependency is done", "too_early", func(s *scenario) {
			s.submit("job-1", 2, nil)
			s.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			s.runTask("job-1/0", "m1")
			s.runTask("job-2/0", "m1")
		}},
		{"a task starts before a transitive dependency is done", "too_early", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.submit("job-2", 0, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			s.submit("job-3", 1, func(j *wire.Job) { j.DependsOn = []string{"job-2"} })
			s.runTask("job-3/0", "m1")
		}},
		{"a task starts after its dependency is done", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			s.runTask("job-1/0", "m1")
			s.runTask("job-2/0", "m1")
		}},
		{"a job is queued long after the cancellation of its transitive dependency", "orphaned", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			s.submit("job-3", 1, func(j *wire.Job) { j.DependsOn = []string{"job-2"} })
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			s.respond(RequestStatus, "job-3", 200, wire.JobQueued)
		}},
		{"a job becomes cancelled after its dependency", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			s.respond(RequestCancel, "job-1", 200, wire.JobCancelled)
			s.respond(RequestStatus, "job-2", 200, wire.JobQueued)
			s.respond(RequestStatus, "job-2", 200, wire.JobCancelled)
		}},
		{"a job becomes cancelled after a job that depends on it", "went_back", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			s.respond(RequestCancel, "job-2", 200, wire.JobCancelled)
			s.respond(RequestStatus, "job-1", 200, wire.JobCancelled)
		}},
		{"a job waits for its dependency despite free capacity", "", func(s *scenario) {
			s.submit("job-1", 1, func(j *wire.Job) { j.Zone = &zone })
			s.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			faultFreeSince := time.Now()
			for range 30 {
				s.CheckInvariants(faultFreeSince, []FreeCapacity{{Type: "m", Zone: "a", CPUs: 2, MemGB: 2}})
				time.Sleep(10 * time.Second)
			}
		}},
	})
}
