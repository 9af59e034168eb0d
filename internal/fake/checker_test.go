package fake

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/wire"
)

// scenario has the checker record what a service does.
type scenario struct{ *Checker }

func (s *scenario) submit(jobID string, tasks int, change func(j *wire.Job)) {
	j := &wire.Job{ID: jobID, Team: "t", Tasks: tasks, CPUs: 2, MemGB: 1, Spot: true}
	if change != nil {
		change(j)
	}
	s.RecordSubmission(j, true)
	s.respond(RequestSubmit, jobID, 201, wire.JobQueued)
}

// respond records a request and, a second later, the response.
func (s *scenario) respond(kind RequestKind, jobID string, code int, status string) {
	s.RecordRequest(jobID)
	if kind == RequestCancel {
		s.RecordCancellation(jobID)
	}
	sentAt := time.Now()
	time.Sleep(time.Second)
	s.RecordResponse(kind, jobID, sentAt, code, status)
}

// startTask records that a task starts on a spot machine.
func (s *scenario) startTask(task, machine, zone string) {
	s.RecordTaskStart(task, Location{Machine: machine, MachineType: "m", Zone: zone, Spot: true})
}

// runTask records the run of a task that completes after a second.
func (s *scenario) runTask(task, machine string) {
	s.startTask(task, machine, "a")
	time.Sleep(time.Second)
	s.RecordTaskEnd(task, machine, true)
}

// checkerCase is a scenario that violates one invariant, or with "" none.
type checkerCase struct {
	name, wantViolation string
	steps               func(s *scenario)
}

// testChecker expects each scenario to violate its invariant and no other.
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
					t.Errorf("violates %v", violations)
				case c.wantViolation != "" && len(violations) == 0:
					t.Errorf("violates nothing, want %s", c.wantViolation)
				}
				for _, v := range violations {
					if !strings.HasPrefix(v, c.wantViolation+":") {
						t.Errorf("violates %s, want %s", v, c.wantViolation)
					}
				}
			})
		})
	}
}
