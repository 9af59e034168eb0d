package fake

import (
	"testing"

	"leadproxy/internal/wire"
)

// TestCheckerTaskRuns checks that the checker detects tasks that run twice at a time, on a machine
// that does not meet the job's constraints, beyond the team's limit, or without a submitted job.
func TestCheckerTaskRuns(t *testing.T) {
	zone := "b"
	testChecker(t, []checkerCase{
		{"a task ends on one machine and starts on another", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.startTask("job-1/0", "m1", "a")
			s.RecordTaskEnd("job-1/0", "m1", false)
			s.runTask("job-1/0", "m2")
		}},
		{"a task runs on two machines at a time", "ran_twice", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.startTask("job-1/0", "m1", "a")
			s.startTask("job-1/0", "m2", "a")
		}},
		{"a task starts whose job was never submitted", "invented", func(s *scenario) { s.startTask("job-1/0", "m1", "a") }},
		{"running tasks exceed the team's CPU limit", "quota", func(s *scenario) {
			s.submit("job-1", 3, nil)
			for _, task := range []string{"job-1/0", "job-1/1", "job-1/2"} {
				s.startTask(task, "m1", "a")
			}
		}},
		{"a machine in a zone that the job excludes", "wrong_place", func(s *scenario) {
			s.submit("job-1", 1, func(j *wire.Job) { j.Zone = &zone })
			s.runTask("job-1/0", "m1")
		}},
		{"a machine of a type that the job excludes", "wrong_place", func(s *scenario) {
			s.submit("job-1", 1, func(j *wire.Job) { j.Types = []string{"other"} })
			s.runTask("job-1/0", "m1")
		}},
		{"a spot machine for a job that excludes spot machines", "wrong_place", func(s *scenario) {
			s.submit("job-1", 1, func(j *wire.Job) { j.Spot = false })
			s.runTask("job-1/0", "m1")
		}},
		{"a gang runs in two zones", "wrong_place", func(s *scenario) {
			s.submit("job-1", 2, func(j *wire.Job) { j.Gang = true })
			s.startTask("job-1/0", "m1", "a")
			s.startTask("job-1/1", "m2", "b")
		}},
		{"tasks of a gang run in two zones, one after the other", "", func(s *scenario) {
			s.submit("job-1", 2, func(j *wire.Job) { j.Gang = true })
			s.runTask("job-1/0", "m1")
			s.startTask("job-1/1", "m2", "b")
		}},
		{"all tasks of a spread job run in one zone", "wrong_place", func(s *scenario) {
			s.submit("job-1", 2, func(j *wire.Job) { j.Spread = true })
			s.startTask("job-1/0", "m1", "a")
			s.startTask("job-1/1", "m2", "a")
		}},
	})
}
