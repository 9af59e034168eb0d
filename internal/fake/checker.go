package fake

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"leadproxy/internal/wire"
)

// Limits are the bounds that a Checker enforces.
type Limits struct {
	// CancelDeadline is how long tasks of a job may still run after its cancellation was
	// confirmed to a user.
	CancelDeadline time.Duration
	TeamCPULimits  map[string]float64 // CPU limit of each team; no entry: unlimited
	// MaxWaiting is how long a job may wait while there is free capacity for it, and
	// MaxUnanswered how long all requests about a job may remain unanswered. Both apply to
	// periods without faults.
	MaxWaiting, MaxUnanswered time.Duration
	// RetryAllowed reports whether tasks of a job class may run again while the outcome of an
	// earlier run is unknown, so that two runs can overlap; nil: no class may.
	RetryAllowed func(class string) bool
}

// Checker checks the responses that users received and the tasks that machines ran against the
// invariants of the service. Unlike the service it knows the true state of every task.
type Checker struct {
	actor
	limits     Limits
	jobs       map[string]*checkedJob // by job ID
	running    map[string]Location    // by task
	violations []string
	// lateStarts counts task starts after the cancellation of the job was confirmed. The start
	// command may have been in flight at that time, so such a start is a violation only after
	// CancelDeadline.
	lateStarts  int
	runs        []TaskRun
	checkpoints map[string]time.Duration // saved progress of stopped tasks, by task
}

// checkedJob is the state that the checker keeps for one submitted job. Times are zero if the event
// has not happened.
type checkedJob struct {
	job               *wire.Job
	runnable          bool      // the service must accept it
	acceptedAt        time.Time // first response that accepted it
	cancelRequestedAt time.Time // first cancellation request of a user
	terminalStatus    string    // first terminal status in a response; empty: none yet
	terminalAt        time.Time // response with that status
	unansweredSince   time.Time // first request since the last response
	lastRequestAt     time.Time
	completed         map[string]bool // tasks that have completed
	schedulableSince  time.Time       // start of the current wait despite free capacity
}

// Location is the machine that a task runs on.
type Location struct {
	Machine     string
	MachineType string
	Zone        string
	Spot        bool
}

// NewChecker starts a checker that runs until the test ends.
func NewChecker(t testing.TB, limits Limits) *Checker {
	return &Checker{
		actor: newActor(t), limits: limits,
		jobs: map[string]*checkedJob{}, running: map[string]Location{}, checkpoints: map[string]time.Duration{},
	}
}

// Violations lists the violations so far in order of detection, each as the name of the invariant,
// a colon and the details.
func (c *Checker) Violations() (violations []string) {
	c.do(func() { violations = slices.Clone(c.violations) })
	return violations
}

// recordViolation records the violation of an invariant.
func (c *Checker) recordViolation(invariant, format string, args ...any) {
	c.violations = append(c.violations, invariant+": "+fmt.Sprintf(format, args...))
}

// Job returns the submitted job with an ID, or nil if there is none. Agents look up the resources
// of a task here.
func (c *Checker) Job(jobID string) (job *wire.Job) {
	c.do(func() {
		if j := c.jobs[jobID]; j != nil {
			job = j.job
		}
	})
	return job
}

// OpenJobs lists the accepted jobs for which no response has had a terminal status, sorted by ID.
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

// TaskCounts returns how many tasks of a job are running and how many have completed; with an empty
// ID, of all jobs.
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
