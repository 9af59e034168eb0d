package jobapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/ledger"
	"leadproxy/internal/metrics"
	"leadproxy/internal/wire"
)

// cancelTimeout bounds a cancellation, including one that is forwarded to another controller.
const cancelTimeout = 4 * time.Second

// cancel has the leader cancel a job and responds when the cancellation is durable.
func (s *Service) cancel(ctx context.Context, request Request) Response {
	if !wire.ValidJobID(request.JobID) {
		return jobNotFound
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	view := s.Elector.View()
	if !view.IsLeader(time.Now()) {
		return s.cancelAtLeader(ctx, view.Leader, request)
	}
	status, err := s.Dispatcher.Cancel(ctx, request.JobID)
	if errors.Is(err, dispatch.ErrJobUnknown) {
		if rejection := s.announceRecord(ctx, request.JobID); !rejection.IsZero() {
			return rejection
		}
		status, err = s.Dispatcher.Cancel(ctx, request.JobID)
	}
	if err != nil {
		s.recordNoAnswer(request)
	}
	switch {
	case errors.Is(err, dispatch.ErrCellUnreachable):
		return retryLater(http.StatusServiceUnavailable, 1, err.Error())
	case errors.Is(err, dispatch.ErrJobUnknown):
		return retryLater(http.StatusServiceUnavailable, 1, "the job is not yet known to the leader")
	case err != nil:
		return retryLater(http.StatusServiceUnavailable, 1, "the cancellation could not be recorded")
	}
	// The status that the dispatcher returns is durable.
	s.recordAnswer(request, sourcedStatus{JobStatus: status, source: metrics.LeaderMemory, term: view.Term}, nil)
	return JSON(http.StatusOK, wire.JobResponse{ID: request.JobID, Status: status.Status})
}

// cancelAtLeader forwards a cancellation to the leader. If the leader is unknown or does not
// respond, a job that has already ended is answered from its record.
func (s *Service) cancelAtLeader(ctx context.Context, leader string, request Request) Response {
	if !request.LocalOnly && leader != "" && leader != s.Platform.Name {
		if response, err := s.askPeer(ctx, cancelTimeout, leader, request); err == nil {
			s.recordAnswer(request, sourcedStatus{source: metrics.OtherController}, nil)
			return response
		}
	}
	status, err := s.statusFromRecords(ctx, request.JobID)
	switch {
	case errors.Is(err, ledger.ErrNoRecord):
		return jobNotFound
	case err == nil && status.Status != wire.JobQueued:
		s.recordAnswer(request, status, nil)
		return JSON(http.StatusOK, wire.JobResponse{ID: request.JobID, Status: status.Status})
	}
	s.recordNoAnswer(request)
	return retryLater(http.StatusServiceUnavailable, 1, "no controller leads at the moment")
}

// announceRecord reads the record of a job that this controller's dispatcher does not know yet, which
// also passes it to the dispatcher. It returns the zero response on success, and an error response
// if the job does not exist or its record can't be read.
func (s *Service) announceRecord(ctx context.Context, jobID string) Response {
	stored, err := s.readRecord(ctx, jobID)
	switch {
	case errors.Is(err, ledger.ErrNoRecord):
		return jobNotFound
	case errors.Is(err, ledger.ErrMalformedRecord):
		return errorResponse(http.StatusInternalServerError, "the job's record can't be read")
	case err != nil:
		return storeUnavailable
	case stored.Record.Origin != "":
		return errorResponse(http.StatusNotFound, "there is no such job of this cell")
	}
	return Response{}
}
