package jobapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
	"leadproxy/internal/metrics"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// submit accepts a job, or responds why it is rejected.
func (s *Service) submit(ctx context.Context, request Request) Response {
	job, err := wire.ParseJob(request.Body)
	var invalid *wire.InvalidJobError
	if errors.As(err, &invalid) && invalid.JobID != "" {
		request.JobID = invalid.JobID
		return s.reject(ctx, request, admission{rejection: errorResponse(http.StatusBadRequest, "%s", err)})
	}
	if err != nil {
		return errorResponse(http.StatusBadRequest, "%s", err)
	}
	request.JobID = job.ID
	if response := s.forwardUnlessServing(ctx, &request); !response.IsZero() {
		return response
	}
	decision := s.checkAdmission(ctx, job, request.LocalOnly)
	if !decision.rejection.IsZero() {
		return s.reject(ctx, request, decision)
	}
	if s.commits.contended() {
		// Users repeat submissions that were rejected under load, and their jobs may
		// already be recorded. Reading the record first saves writes, which are scarce now.
		if response := s.idempotentResponse(ctx, request); !response.IsZero() {
			return response
		}
	}
	return s.recordJob(ctx, request, job, decision.initialStatus)
}

// reject responds to a submission that can't be accepted. A job that was accepted earlier stays
// accepted, even if this submission of it is invalid.
func (s *Service) reject(ctx context.Context, request Request, decision admission) Response {
	stored, err := s.readRecord(ctx, request.JobID)
	switch {
	case err == nil:
		return s.duplicateSubmissionResponse(ctx, request, stored.Record)
	case decision.undecided:
		return s.forwardOrFallBack(ctx, request, storeUnavailable)
	case !errors.Is(err, ledger.ErrNoRecord) && decision.rejection.Status != http.StatusServiceUnavailable:
		return s.forwardOrFallBack(ctx, request, storeUnavailable)
	}
	return decision.rejection
}

// recordJob creates the record of a new job and responds to its submission.
func (s *Service) recordJob(ctx context.Context, request Request, job *wire.Job, status string) Response {
	record := ledger.JobRecord{Job: job, AcceptedMS: time.Now().UnixMilli()}
	version, err := s.commits.create(ctx, job.ID, record)
	if err != nil {
		return s.handleRecordFailure(ctx, request, err)
	}
	s.Log.Debug("submission recorded", "job", job.ID, "class", job.Class, "tasks", job.Tasks)
	s.Dispatcher.NotifyJobRecord(scheduler.JobRecordEvent{JobID: job.ID, Record: record, Version: version})
	s.recordAnswer(request, sourcedStatus{JobStatus: wire.JobStatus{Status: status}, source: metrics.Records}, nil)
	return JSON(http.StatusCreated, wire.JobResponse{ID: job.ID, Status: status})
}

// handleRecordFailure responds to a submission whose record was not created because of err.
func (s *Service) handleRecordFailure(ctx context.Context, request Request, err error) Response {
	if errors.Is(err, errQueueFull) || errors.Is(err, kvstore.ErrOverloaded) {
		if response := s.idempotentResponse(ctx, request); !response.IsZero() {
			return response
		}
	}
	switch {
	case errors.Is(err, errRecordTooLong):
		return errorResponse(http.StatusBadRequest, "%s", err)
	case errors.Is(err, errQueueFull):
		return tooManySubmissions
	case errors.Is(err, kvstore.ErrOverloaded):
		// Another controller may not have used up its share of the request rate.
		return s.forwardOrFallBack(ctx, request, tooManySubmissions)
	case errors.Is(err, errRecordExists):
		if response := s.idempotentResponse(ctx, request); !response.IsZero() {
			return response
		}
		return s.forwardOrFallBack(ctx, request, storeUnavailable)
	}
	s.Log.Debug("submission not recorded", "job", request.JobID, "error", err)
	return s.forwardOrFallBack(ctx, request, storeUnavailable)
}
