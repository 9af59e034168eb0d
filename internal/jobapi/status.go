package jobapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/wire"
)

// How long to wait for the leader's answer about a job, from this controller and from
// another one.
const (
	dispatcherTimeout   = time.Second
	leaderStatusTimeout = 700 * time.Millisecond
)

// errLeaderUnavailable: the leader can't be asked, or has not answered.
var errLeaderUnavailable = errors.New("the leader can't be asked")

// status responds with the state of a job.
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
	case errors.Is(err, errNoRecord):
		return jobNotFound
	case err != nil:
		return s.forwardOrFallBack(ctx, request, storeUnavailable)
	}
	return JSON(http.StatusOK, status)
}

// statusFromLeader asks the leader about a job, be it this controller or another one.
// Another controller's answer counts also if it has read the job's record itself.
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
		return wire.JobStatus{}, fmt.Errorf("status %d of controller %s: %w", response.Status, leader, errLeaderUnavailable)
	}
	var status wire.JobStatus
	if err := json.Unmarshal(response.Body, &status); err != nil {
		return wire.JobStatus{}, fmt.Errorf("response of controller %s: %w", leader, err)
	}
	return status, nil
}

// statusFromDispatcher asks this controller's dispatcher, if it leads. The answer counts
// only while the term does, and not while the job's terminal state is being written: a
// leader that is slow to learn of its own write would say "queued" of a job that another
// controller has read as done.
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

// statusFromRecords finds a job's state by its record and those of its ancestors alone. The
// error is errNoRecord if this cell has accepted no such job.
func (s *Service) statusFromRecords(ctx context.Context, jobID string) (wire.JobStatus, error) {
	stored, err := s.readRecord(ctx, jobID)
	if err != nil {
		return wire.JobStatus{}, err
	}
	if stored.record.Origin != "" {
		return wire.JobStatus{}, errNoRecord // users ask the job's origin cell alone
	}
	state, err := s.recordedState(ctx, &stored.record)
	if err != nil {
		return wire.JobStatus{}, err
	}
	return wire.JobStatus{ID: jobID, Status: state, Done: stored.record.Done}, nil
}
