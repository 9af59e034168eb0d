package jobapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// Timeouts of status queries to the leader: to the dispatcher of this controller, and to another
// controller.
const (
	dispatcherTimeout   = time.Second
	leaderStatusTimeout = 700 * time.Millisecond
)

// errLeaderUnavailable means that the leader can't be asked, or has not returned a status.
var errLeaderUnavailable = errors.New("leader is not available")

// status responds with the status of a job.
func (s *Service) status(ctx context.Context, request Request) Response {
	if !wire.ValidJobID(request.JobID) {
		return jobNotFound
	}
	if status, err := s.statusFromLeader(ctx, request.JobID, request.LocalOnly); err == nil {
		return JSON(http.StatusOK, status)
	}
	if response := s.forwardUnlessServing(ctx, &request); !response.IsZero() {
		return response
	}
	status, err := s.statusFromRecords(ctx, request.JobID)
	switch {
	case errors.Is(err, ledger.ErrNoRecord):
		return jobNotFound
	case err != nil:
		return s.forwardOrFallBack(ctx, request, storeUnavailable)
	}
	return JSON(http.StatusOK, status)
}

// statusFromLeader asks the leader, which may be this controller, for the status of a job. The
// answer of another controller is also accepted if that controller has read it from the job's
// record.
func (s *Service) statusFromLeader(ctx context.Context, jobID string, localOnly bool) (wire.JobStatus, error) {
	if status, err := s.statusFromDispatcher(ctx, jobID); err == nil {
		return status, nil
	}
	leader := s.Elector.View().Leader
	if localOnly || leader == "" || leader == s.Platform.Name {
		return wire.JobStatus{}, errLeaderUnavailable
	}
	response, err := s.askPeer(ctx, leaderStatusTimeout, leader, Request{Kind: Status, JobID: jobID})
	if err != nil {
		return wire.JobStatus{}, err
	}
	if response.Status != http.StatusOK {
		return wire.JobStatus{}, fmt.Errorf("status code %d from controller %s: %w", response.Status, leader, errLeaderUnavailable)
	}
	var status wire.JobStatus
	if err := json.Unmarshal(response.Body, &status); err != nil {
		return wire.JobStatus{}, fmt.Errorf("malformed response from controller %s: %w", leader, err)
	}
	return status, nil
}

// statusFromDispatcher asks the dispatcher of this controller, if it leads. It fails if the term
// has ended meanwhile, or while the job's terminal state is being written: a leader that learns
// late that its write succeeded would report a job as queued that another controller has already
// read as done.
func (s *Service) statusFromDispatcher(ctx context.Context, jobID string) (wire.JobStatus, error) {
	view := s.Elector.View()
	if !view.IsLeader(time.Now()) {
		return wire.JobStatus{}, dispatch.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, dispatcherTimeout)
	defer cancel()
	status, err := s.Dispatcher.Status(ctx, jobID)
	if err != nil {
		return wire.JobStatus{}, err
	}
	if !s.Elector.IsLeader(view.Term) {
		return wire.JobStatus{}, dispatch.ErrNotLeader
	}
	return status, nil
}

// statusFromRecords determines the status of a job only from its record and those of its ancestors.
// The error is ledger.ErrNoRecord if this cell has not accepted the job from a user.
func (s *Service) statusFromRecords(ctx context.Context, jobID string) (wire.JobStatus, error) {
	stored, err := s.readRecord(ctx, jobID)
	if err != nil {
		return wire.JobStatus{}, err
	}
	if stored.Record.Origin != "" {
		return wire.JobStatus{}, ledger.ErrNoRecord // users query only the origin cell
	}
	state, err := s.recordedState(ctx, &stored.Record)
	if err != nil {
		return wire.JobStatus{}, err
	}
	return wire.JobStatus{ID: jobID, Status: state, Done: stored.Record.Done}, nil
}
