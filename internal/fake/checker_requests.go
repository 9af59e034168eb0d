package fake

import (
	"net/http"
	"time"

	"leadproxy/internal/wire"
)

// RequestKind is the operation that a user requests for a job.
type RequestKind int

// The kinds of requests.
const (
	RequestSubmit RequestKind = iota
	RequestStatus
	RequestCancel
)

// RecordSubmission records that a user submits a job. runnable reports whether the job can ever
// run, and so must be accepted.
func (c *Checker) RecordSubmission(j *wire.Job, runnable bool) {
	c.do(func() {
		if c.jobs[j.ID] == nil {
			c.jobs[j.ID] = &checkedJob{job: j, runnable: runnable, completed: map[string]bool{}}
		}
	})
}

// RecordCancellation records that a user requests the cancellation of a job.
func (c *Checker) RecordCancellation(jobID string) {
	c.do(func() {
		if j := c.jobs[jobID]; j != nil && j.cancelRequestedAt.IsZero() {
			j.cancelRequestedAt = time.Now()
		}
	})
}

// RecordRequest records that a user sends a request of any kind about a job.
func (c *Checker) RecordRequest(jobID string) {
	c.do(func() {
		if j := c.jobs[jobID]; j != nil {
			j.lastRequestAt = time.Now()
			if j.unansweredSince.IsZero() {
				j.unansweredSince = j.lastRequestAt
			}
		}
	})
}

// RecordResponse records the response to a user's request and checks it. sentAt is when the request
// was sent, code the HTTP status code, and status the job's status in the body.
func (c *Checker) RecordResponse(kind RequestKind, jobID string, sentAt time.Time, code int, status string) {
	c.do(func() {
		now := time.Now()
		j := c.jobs[jobID]
		if j == nil {
			if isAccepted(code) {
				c.recordViolation(invariantInvented, "%s: %d %s", jobID, code, status)
			}
			return
		}
		// A request takes time to arrive, so a response received at the very time at which
		// this request was sent preceded it.
		known := !j.acceptedAt.IsZero() && !j.acceptedAt.After(sentAt)
		switch {
		case isAccepted(code):
			if !j.runnable {
				c.recordViolation(invariantAcceptedUnfit, "%s can't run or is incomplete: %d", jobID, code)
			}
			if j.acceptedAt.IsZero() {
				j.acceptedAt = now
			}
			j.unansweredSince = time.Time{}
			c.checkStatus(jobID, j, sentAt, status)
		case code == http.StatusNotFound:
			j.unansweredSince = time.Time{}
			if known {
				c.recordViolation(invariantForgotten, "%s: 404", jobID)
			}
		case kind == RequestSubmit && (code == http.StatusBadRequest || code == http.StatusUnprocessableEntity):
			if known {
				c.recordViolation(invariantForgotten, "%s: repeated submission got %d", jobID, code)
			} else if j.runnable {
				c.recordViolation(invariantRefusedFit, "%s: %d", jobID, code)
			}
		}
	})
}

// checkStatus checks the status of a job in a response. sentAt is when the request was sent.
func (c *Checker) checkStatus(jobID string, j *checkedJob, sentAt time.Time, status string) {
	if j.terminalStatus != "" && !j.terminalAt.After(sentAt) && status != j.terminalStatus {
		c.recordViolation(invariantWentBack, "%s: %s after %s", jobID, status, j.terminalStatus)
	}
	if status != wire.JobDone && status != wire.JobCancelled {
		if dependency, since := c.cancelledDependency(j); dependency != "" && sentAt.Sub(since) > c.limits.CancelDeadline {
			c.recordViolation(invariantOrphaned, "%s is %s %s after the cancellation of its dependency %s was confirmed", jobID, status, sentAt.Sub(since), dependency)
		}
		return
	}
	if j.terminalStatus != "" && status != j.terminalStatus {
		c.recordViolation(invariantWentBack, "%s: two terminal statuses, %s and %s", jobID, j.terminalStatus, status)
	}
	if status == wire.JobDone && len(j.completed) < j.job.Tasks {
		c.recordViolation(invariantNotDone, "%s: %d of %d tasks completed", jobID, len(j.completed), j.job.Tasks)
	}
	if status == wire.JobCancelled && !c.cancelRequested(j) {
		c.recordViolation(invariantWentBack, "%s: cancelled without a cancellation request", jobID)
	}
	if j.terminalStatus == "" {
		j.terminalStatus, j.terminalAt = status, time.Now()
	}
}

// isAccepted reports whether an HTTP status code means that the service has the job.
func isAccepted(code int) bool { return code == http.StatusOK || code == http.StatusCreated }
