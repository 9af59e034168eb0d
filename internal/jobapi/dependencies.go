package jobapi

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// maxAncestors bounds how many records are read to find the state of a job that depends on
// others, where the leader can't be asked.
const maxAncestors = 64

// errTooManyAncestors: whether a job is cancelled with one that it depends on can't be found.
var errTooManyAncestors = errors.New("the job depends on more jobs than can be read")

// dependenciesUnsupported asks a user to repeat the submission once all controllers know jobs that
// depend on others: one that does not would start them at once.
var dependenciesUnsupported = retryLater(http.StatusServiceUnavailable, 3, "not all controllers are known to have been upgraded to jobs that wait for others")

// dependencyCheck is the outcome of the check of the jobs that a job depends on.
type dependencyCheck struct {
	rejection Response // zero: none
	// cancelled: one of them is, and the job with it as soon as it is accepted.
	cancelled bool
}

// checkDependencies rejects a job that depends on one that was never accepted, or of which
// that can't be read at the moment.
func (s *Service) checkDependencies(ctx context.Context, job *wire.Job, localOnly bool) dependencyCheck {
	switch {
	case len(job.DependsOn) == 0:
		return dependencyCheck{}
	case !s.PipelinesSupported():
		return dependencyCheck{rejection: dependenciesUnsupported}
	case slices.Contains(job.DependsOn, job.ID):
		return dependencyCheck{rejection: errorResponse(http.StatusUnprocessableEntity, "waits_on names the job itself")}
	}
	var check dependencyCheck
	lookups := s.lookUpDependencies(ctx, job.DependsOn, localOnly)
	for range job.DependsOn {
		lookup := <-lookups
		notAccepted := errors.Is(lookup.err, errNoRecord)
		switch {
		case lookup.err != nil && !notAccepted:
			// Another one may not exist for certain, but the user repeats the submission.
			check.rejection = storeUnavailable
		case notAccepted && check.rejection.IsZero():
			check.rejection = errorResponse(http.StatusUnprocessableEntity, "waits_on names %s, which was never accepted", lookup.jobID)
		}
		check.cancelled = check.cancelled || lookup.state == wire.JobCancelled
	}
	return check
}

// dependencyLookup is the state of a job that another one depends on.
type dependencyLookup struct {
	jobID string
	state string
	err   error // errNoRecord: it was never accepted
}

// lookUpDependencies finds the states of jobs at once. They come in any order.
func (s *Service) lookUpDependencies(ctx context.Context, jobs []string, localOnly bool) <-chan dependencyLookup {
	lookups := make(chan dependencyLookup, len(jobs))
	for _, jobID := range jobs {
		go func() {
			status, err := s.statusFromLeader(ctx, jobID, localOnly)
			if err != nil {
				status, err = s.statusFromRecords(ctx, jobID)
			}
			lookups <- dependencyLookup{jobID: jobID, state: status.Status, err: err}
		}()
	}
	return lookups
}

// recordedState is the state of a job by its record and those of its ancestors: an open job
// is cancelled when one that it depends on, directly or through others, is, and else
// called queued.
func (s *Service) recordedState(ctx context.Context, record *ledger.JobRecord) (string, error) {
	switch {
	case record.TerminalState != "":
		return record.TerminalState, nil
	case record.Job == nil:
		return wire.JobQueued, nil
	}
	cancelled, err := s.anyAncestorCancelled(ctx, record.Job.DependsOn)
	switch {
	case err != nil:
		return "", err
	case cancelled:
		return wire.JobCancelled, nil
	}
	return wire.JobQueued, nil
}

// anyAncestorCancelled reports whether one of the jobs, or one that these depend on, is
// cancelled. What comes before a job that is done does not count any more.
func (s *Service) anyAncestorCancelled(ctx context.Context, jobs []string) (bool, error) {
	visited := map[string]bool{}
	for pending := slices.Clone(jobs); len(pending) > 0; {
		jobID := pending[0]
		pending = pending[1:]
		if visited[jobID] {
			continue
		}
		if len(visited) >= maxAncestors {
			return false, errTooManyAncestors
		}
		visited[jobID] = true
		stored, err := s.readRecord(ctx, jobID)
		switch {
		case errors.Is(err, errNoRecord):
		case err != nil:
			return false, err
		case stored.record.TerminalState == wire.JobDone:
		case stored.record.TerminalState == wire.JobCancelled:
			return true, nil
		case stored.record.Job != nil:
			pending = append(pending, stored.record.Job.DependsOn...)
		}
	}
	return false, nil
}
