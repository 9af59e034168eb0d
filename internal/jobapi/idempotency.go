package jobapi

import (
	"context"
	"net/http"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// A submission may be repeated, as when its response was lost. The job's name identifies it:
// a repetition gets the state of the job that was accepted and changes nothing.

// idempotentResponse responds to a submission if its job is recorded already. The zero
// response means that it is not, or that this can't be read.
func (s *Service) idempotentResponse(ctx context.Context, request Request) Response {
	// The record and not the dispatcher: it does not know jobs that are new, as most are,
	// and it may be busy.
	stored, err := s.readRecord(ctx, request.JobID)
	if err != nil {
		return Response{}
	}
	return s.duplicateSubmissionResponse(ctx, request, stored.record)
}

// duplicateSubmissionResponse responds to a repeated submission of an accepted job, whose record was
// read since the request came.
func (s *Service) duplicateSubmissionResponse(ctx context.Context, request Request, record ledger.JobRecord) Response {
	if record.Origin != "" {
		return errorResponse(http.StatusUnprocessableEntity, "a job of this name runs here for cell %s", record.Origin)
	}
	if record.TerminalState == "" {
		if status, err := s.statusFromLeader(ctx, request.JobID, request.LocalOnly); err == nil {
			return JSON(http.StatusOK, wire.JobResponse{ID: request.JobID, Status: status.Status})
		}
	}
	state, err := s.recordedState(ctx, &record)
	if err != nil {
		return storeUnavailable
	}
	return JSON(http.StatusOK, wire.JobResponse{ID: request.JobID, Status: state})
}
