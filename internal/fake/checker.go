package fake

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"leadproxy/internal/wire"
)

// Limits are the bounds that the checker holds the service to.
type Limits struct {
	CancelDeadline time.Duration      // no task of a cancelled job may run later than this after the confirmation
	TeamCPULimits  map[string]float64 // CPU limit of each team; no entry: unlimited
	// MaxWaiting is how long a job may wait without faults while there is free capacity for it, and
	// Silent how long all requests about a job may stay unanswered.
	MaxWaiting, MaxUnanswered time.Duration
	// RetryAllowed reports whether jobs of a class may run again after a run of unknown outcome;
	// nil: none may.
	RetryAllowed func(class string) bool
}

// Checker compares the responses that users got and the tasks that machines ran with the
// invariants of the protocol. It knows the true state of everything, which the service can't.
type Checker struct {
	actor
	limits     Limits
	jobs       map[string]*checkedJob
	running    map[string]Location // by task
	violations []string
	// lateStarts counts task starts after the cancellation was confirmed. The start command may have
	// been in flight then, so that they are a violation only after the limit for cancellations.
	lateStarts  int
	runs        []TaskRun
	checkpoints map[string]time.Duration // saved progress of stopped tasks
}

// checkedJob is what the checker knows of one job.
type checkedJob struct {
	job               *wire.Job
	runnable          bool
	acceptedAt        time.Time // when the first response that accepts it arrived
	cancelRequestedAt time.Time // when a user first requested its cancellation
	terminalStatus    string    // as a user was told; empty: not yet
	terminalAt        time.Time // when a user was first told
	unansweredSince   time.Time // when the first request since the last response was sent
	lastRequestAt     time.Time
	completed         map[string]bool // its tasks that have completed
	schedulableSince  time.Time       // since when it has waited although there was free capacity
}

// Location is the machine that a task runs on.
type Location struct {
	Machine     string
	MachineType string
	Zone        string
	Spot        bool
}

// NewChecker starts a checker that lives as long as the test.
func NewChecker(t testing.TB, l Limits) *Checker {
	return &Checker{
		actor: newActor(t), limits: l,
		jobs: map[string]*checkedJob{}, running: map[string]Location{}, checkpoints: map[string]time.Duration{},
	}
}

// Violations lists the violations so far in order, each with the name of its invariant first.
func (c *Checker) Violations() (violations []string) {
	c.do(func() { violations = slices.Clone(c.violations) })
	return violations
}

// recordViolation records the violation of an invariant.
func (c *Checker) recordViolation(invariant, format string, args ...any) {
	c.violations = append(c.violations, invariant+": "+fmt.Sprintf(format, args...))
}

// Job returns the submitted job of an ID; nil: there is none. Workers look up here what a task
// needs.
func (c *Checker) Job(jobID string) (job *wire.Job) {
	c.do(func() {
		if j := c.jobs[jobID]; j != nil {
			job = j.job
		}
	})
	return job
}

// OpenJobs lists the accepted jobs of which no user has been told a terminal status.
func (c *Checker) OpenJobs() (jobIDs []string) {
	c.do(func() {
		for jobID, j := range c.jobs {
			if !j.acceptedAt.IsZero() && j.terminalStatus == "" {
				jobIDs = append(jobIDs, jobID)
			}
		}
	})
	slices.Sort(jobIDs)
	return jobIDs
}

// TaskCounts counts the tasks of a job, or of all jobs with "", that are running and that have completed.
func (c *Checker) TaskCounts(jobID string) (running, completed int) {
	c.do(func() {
		for task := range c.running {
			if jobID == "" || wire.JobIDOfTask(task) == jobID {
				running++
			}
		}
		for id, j := range c.jobs {
			if jobID == "" || id == jobID {
				completed += len(j.completed)
			}
		}
	})
	return running, completed
}
