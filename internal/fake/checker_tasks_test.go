package fake

import (
	"testing"

	"leadproxy/internal/wire"
)

func TestCheckerTaskRuns(t *testing.T) {
	zone := "b"
	testChecker(t, []checkerCase{
		{"a task ends on one machine and starts on another", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.startTask("job-1/0", "m1", "a")
			s.RecordTaskEnd("job-1/0", "m1", false)
			s.runTask("job-1/0", "m2")
		}},
		{"a task on two machines", "ran_twice", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.startTask("job-1/0", "m1", "a")
			s.startTask("job-1/0", "m2", "a")
		}},
		{"a task of a job that was never submitted", "invented", func(s *scenario) { s.startTask("job-1/0", "m1", "a") }},
		{"more CPUs than the team's limit", "quota", func(s *scenario) {
			s.submit("job-1", 3, nil)
			for _, task := range []string{"job-1/0", "job-1/1", "job-1/2"} {
				s.startTask(task, "m1", "a")
			}
		}},
		{"a wrong zone", "wrong_place", func(s *scenario) {
			s.submit("job-1", 1, func(j *wire.Job) { j.Zone = &zone })
			s.runTask("job-1/0", "m1")
		}},
		{"a wrong machine type", "wrong_place", func(s *scenario) {
			s.submit("job-1", 1, func(j *wire.Job) { j.Types = []string{"other"} })
			s.runTask("job-1/0", "m1")
		}},
		{"a spot machine for a job that excludes them", "wrong_place", func(s *scenario) {
			s.submit("job-1", 1, func(j *wire.Job) { j.Spot = false })
			s.runTask("job-1/0", "m1")
		}},
		{"a gang in two zones", "wrong_place", func(s *scenario) {
			s.submit("job-1", 2, func(j *wire.Job) { j.Gang = true })
			s.startTask("job-1/0", "m1", "a")
			s.startTask("job-1/1", "m2", "b")
		}},
		{"a gang in two zones, one after the other", "", func(s *scenario) {
			s.submit("job-1", 2, func(j *wire.Job) { j.Gang = true })
			s.runTask("job-1/0", "m1")
			s.startTask("job-1/1", "m2", "b")
		}},
		{"a spread job in one zone", "wrong_place", func(s *scenario) {
			s.submit("job-1", 2, func(j *wire.Job) { j.Spread = true })
			s.startTask("job-1/0", "m1", "a")
			s.startTask("job-1/1", "m2", "a")
		}},
	})
}
