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
	"leadproxy/internal/metrics"
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
	status, notFromLeader := s.statusFromLeader(ctx, request.JobID, request.LocalOnly)
	if notFromLeader == nil {
		s.recordAnswer(request, status, nil)
		return JSON(http.StatusOK, status.JobStatus)
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
	s.recordAnswer(request, status, notFromLeader)
	return JSON(http.StatusOK, status.JobStatus)
}

// statusFromLeader asks the leader, which may be this controller, for the status of a job. The
// answer of another controller is also accepted if that controller has read it from the job's
// record.
func (s *Service) statusFromLeader(ctx context.Context, jobID string, localOnly bool) (sourcedStatus, error) {
	status, err := s.statusFromDispatcher(ctx, jobID)
	if err == nil {
		return status, nil
	}
	leader := s.Elector.View().Leader
	if localOnly || leader == "" || leader == s.Platform.Name {
		return sourcedStatus{}, fmt.Errorf("%w: %w", errLeaderUnavailable, err)
	}
	response, err := s.askPeer(ctx, leaderStatusTimeout, leader, Request{Kind: Status, JobID: jobID})
	if err != nil {
		return sourcedStatus{}, err
	}
	if response.Status != http.StatusOK {
		return sourcedStatus{}, fmt.Errorf("status code %d from controller %s: %w", response.Status, leader, errLeaderUnavailable)
	}
	answer := sourcedStatus{source: metrics.OtherController}
	if err := json.Unmarshal(response.Body, &answer.JobStatus); err != nil {
		return sourcedStatus{}, fmt.Errorf("malformed response from controller %s: %w", leader, err)
	}
	return answer, nil
}

// statusFromDispatcher asks the dispatcher of this controller, if it leads. It fails if the term
// has ended meanwhile, or while the job's terminal state is being written or one of its ancestors is
// not known: a leader that learns late what the store holds would report a job as queued that
// another controller has already read as ended.
func (s *Service) statusFromDispatcher(ctx context.Context, jobID string) (sourcedStatus, error) {
	view := s.Elector.View()
	if !view.IsLeader(time.Now()) {
		return sourcedStatus{}, dispatch.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, dispatcherTimeout)
	defer cancel()
	status, err := s.Dispatcher.Status(ctx, jobID)
	if err != nil {
		return sourcedStatus{}, err
	}
	if !s.Elector.IsLeader(view.Term) {
		return sourcedStatus{}, dispatch.ErrNotLeader
	}
	return sourcedStatus{JobStatus: status, source: metrics.LeaderMemory, term: view.Term}, nil
}

// statusFromRecords determines the status of a job only from its record and those of its ancestors.
// The error is ledger.ErrNoRecord if this cell has not accepted the job from a user.
func (s *Service) statusFromRecords(ctx context.Context, jobID string) (sourcedStatus, error) {
	stored, err := s.readRecord(ctx, jobID)
	if err != nil {
		return sourcedStatus{}, err
	}
	if stored.Record.Origin != "" {
		return sourcedStatus{}, ledger.ErrNoRecord // users query only the origin cell
	}
	state, err := s.recordedState(ctx, &stored.Record)
	if err != nil {
		return sourcedStatus{}, err
	}
	return sourcedStatus{JobStatus: wire.JobStatus{ID: jobID, Status: state, Done: stored.Record.Done}, source: metrics.Records}, nil
}
