package jobapi

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// maxAncestors bounds how many records are read to determine the state of a job with dependencies
// when the leader can't be asked.
const maxAncestors = 64

// errTooManyAncestors means that a job has more than maxAncestors ancestors, so that it can't be
// determined whether one of them is cancelled.
var errTooManyAncestors = errors.New("job has too many ancestors to read")

// dependenciesUnsupported is the response to a submission with dependencies while not all
// controllers are known to support them. A controller without that support would start the job
// immediately.
var dependenciesUnsupported = retryLater(http.StatusServiceUnavailable, 3, "not all controllers are known to have been upgraded to jobs that wait for others")

// dependencyCheck is the result of checking a job's dependencies.
type dependencyCheck struct {
	rejection Response // zero if there is none
	// cancelled means that a dependency is cancelled, so that the job is cancelled as soon as
	// it is accepted.
	cancelled bool
}

// checkDependencies rejects a job with a dependency that was never accepted, or whose status can't
// be read at the moment.
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
		notAccepted := errors.Is(lookup.err, ledger.ErrNoRecord)
		switch {
		case lookup.err != nil && !notAccepted:
			// This takes precedence over a dependency that certainly does not exist:
			// the user repeats the submission and learns of that one then.
			check.rejection = storeUnavailable
		case notAccepted && check.rejection.IsZero():
			check.rejection = errorResponse(http.StatusUnprocessableEntity, "waits_on names %s, which was never accepted", lookup.jobID)
		}
		check.cancelled = check.cancelled || lookup.state == wire.JobCancelled
	}
	return check
}

// dependencyLookup is the result of reading the state of one dependency.
type dependencyLookup struct {
	jobID string
	state string
	err   error // ledger.ErrNoRecord if the job was never accepted
}

// lookUpDependencies reads the states of jobs concurrently. It sends one result per job, in any
// order.
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

// recordedState returns the state of a job according to its record and those of its ancestors. A
// job without a terminal state is cancelled if one of its direct or indirect dependencies is
// cancelled, and is reported as queued otherwise.
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

// anyAncestorCancelled reports whether one of the jobs or one of their ancestors is cancelled. The
// ancestors of a job that is done do not count. A job whose record can't be decoded counts as
// unfinished without ancestors, as it does for the leader: repeating the request would not help.
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
		case errors.Is(err, ledger.ErrNoRecord), errors.Is(err, ledger.ErrMalformedRecord):
		case err != nil:
			return false, err
		case stored.Record.TerminalState == wire.JobDone:
		case stored.Record.TerminalState == wire.JobCancelled:
			return true, nil
		case stored.Record.Job != nil:
			pending = append(pending, stored.Record.Job.DependsOn...)
		}
	}
	return false, nil
}
