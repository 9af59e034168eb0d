package fake

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/wire"
)

// scenario records the behaviour of a simulated service with a checker.
type scenario struct{ *Checker }

// submit records the submission of a job with tasks of 2 CPUs, which is accepted. modify, unless
// nil, changes the job.
func (s *scenario) submit(jobID string, tasks int, modify func(j *wire.Job)) {
	j := &wire.Job{ID: jobID, Team: "t", Tasks: tasks, CPUs: 2, MemGB: 1, Spot: true}
	if modify != nil {
		modify(j)
	}
	s.RecordSubmission(j, true)
	s.respond(RequestSubmit, jobID, 201, wire.JobQueued)
}

// respond records a request of a user and, one second later, the response to it.
func (s *scenario) respond(kind RequestKind, jobID string, code int, status string) {
	s.RecordRequest(jobID)
	if kind == RequestCancel {
		s.RecordCancellation(jobID)
	}
	sentAt := time.Now()
	time.Sleep(time.Second)
	s.RecordResponse(kind, jobID, sentAt, code, status)
}

// startTask records that a task starts on a spot machine in a zone.
func (s *scenario) startTask(task, machine, zone string) {
	s.RecordTaskStart(task, Location{Machine: machine, MachineType: "m", Zone: zone, Spot: true})
}

// runTask records that a task starts on a machine in zone a and completes after one second.
func (s *scenario) runTask(task, machine string) {
	s.startTask(task, machine, "a")
	time.Sleep(time.Second)
	s.RecordTaskEnd(task, machine, true)
}

// checkerCase is a scenario that violates one invariant, or none if wantViolation is empty.
type checkerCase struct {
	name, wantViolation string
	steps               func(s *scenario)
}

// testChecker requires that the checker reports the violation of each scenario and no other.
func testChecker(t *testing.T, cases []checkerCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := Limits{CancelDeadline: 40 * time.Second, TeamCPULimits: map[string]float64{"t": 5}, MaxWaiting: 90 * time.Second, MaxUnanswered: 75 * time.Second}
				s := &scenario{NewChecker(t, limits)}
				c.steps(s)
				violations := s.Violations()
				switch {
				case c.wantViolation == "" && len(violations) > 0:
					t.Errorf("reported violations %v, want none", violations)
				case c.wantViolation != "" && len(violations) == 0:
					t.Errorf("reported no violation, want %s", c.wantViolation)
				}
				for _, violation := range violations {
					if !strings.HasPrefix(violation, c.wantViolation+":") {
						t.Errorf("reported violation %s, want only %s", violation, c.wantViolation)
					}
				}
			})
		})
	}
}
