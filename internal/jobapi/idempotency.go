package jobapi

import (
	"context"
	"net/http"

	"leadproxy/internal/ledger"
	"leadproxy/internal/metrics"
	"leadproxy/internal/wire"
)

// Submissions are idempotent, because a user repeats one whose response was lost. The job ID
// identifies the submission: a repeated one returns the status of the accepted job and changes
// nothing.

// idempotentResponse responds to a submission whose job is already recorded. It returns the zero
// response if the job has no record, or if the record can't be read.
func (s *Service) idempotentResponse(ctx context.Context, request Request) Response {
	// The record is read instead of asking the dispatcher, which does not know new jobs, as
	// most are, and may be busy.
	stored, err := s.readRecord(ctx, request.JobID)
	if err != nil {
		return Response{}
	}
	return s.duplicateSubmissionResponse(ctx, request, stored.Record)
}

// duplicateSubmissionResponse responds to a repeated submission of an accepted job. The record must
// have been read after the request arrived.
func (s *Service) duplicateSubmissionResponse(ctx context.Context, request Request, record ledger.JobRecord) Response {
	if record.Origin != "" {
		return errorResponse(http.StatusUnprocessableEntity, "a job of this name runs here for cell %s", record.Origin)
	}
	var notFromLeader error
	if record.TerminalState == "" {
		var status sourcedStatus
		if status, notFromLeader = s.statusFromLeader(ctx, request.JobID, request.LocalOnly); notFromLeader == nil {
			s.recordAnswer(request, status, nil)
			return JSON(http.StatusOK, wire.JobResponse{ID: request.JobID, Status: status.Status})
		}
	}
	state, err := s.recordedState(ctx, &record)
	if err != nil {
		s.recordNoAnswer(request)
		return storeUnavailable
	}
	s.recordAnswer(request, sourcedStatus{JobStatus: wire.JobStatus{Status: state}, source: metrics.Records}, notFromLeader)
	return JSON(http.StatusOK, wire.JobResponse{ID: request.JobID, Status: state})
}
