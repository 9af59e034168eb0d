package jobapi

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// maxAncestors bounds how many records are read to tell the state of a job that
// waits for others, where the leader can't be asked.
const maxAncestors = 64

// errAncestors: whether a job is cancelled with one that it needs can't be told.
var errAncestors = errors.New("too many jobs to look at")

// notUpgraded tells a user to come again when all nodes know jobs that wait for
// others: one that does not would start them at once.
var notUpgraded = later(http.StatusServiceUnavailable, 3, "not all controllers are known to have been upgraded to jobs that wait for others")

// judgeAncestors refuses a job that names one that was never accepted, or of which
// that can't be told at the moment; a zero answer is no refusal. It also tells whether
// one that it needs is cancelled, and the job with it as soon as it is accepted.
func (s *Service) judgeAncestors(ctx context.Context, j *wire.Job, local bool) (refusal Answer, cancelled bool) {
	if len(j.DependsOn) == 0 {
		return Answer{}, false
	}
	if !s.Upgraded() {
		return notUpgraded, false
	}
	if slices.Contains(j.DependsOn, j.ID) {
		return problem(http.StatusUnprocessableEntity, "waits_on names the job itself"), false
	}
	type look struct {
		ref    string
		found  bool
		status string
		err    error
	}
	looks := make(chan look, len(j.DependsOn))
	for _, ref := range j.DependsOn {
		go func() {
			if st, ok := s.fromLeader(ctx, ref, local); ok {
				looks <- look{ref, true, st.Status, nil}
				return
			}
			st, found, err := s.fromRecords(ctx, ref)
			looks <- look{ref, found, st.Status, err}
		}()
	}
	for range j.DependsOn {
		l := <-looks
		switch {
		case l.err != nil:
			// Another one may be unknown for certain, but the user comes again.
			refusal = noState
		case !l.found && refusal.Status == 0:
			refusal = problem(http.StatusUnprocessableEntity, "waits_on names %s, which was never accepted", l.ref)
		}
		cancelled = cancelled || l.status == wire.JobCancelled
	}
	return refusal, cancelled
}

// fromRecords tells a job's state by its record and those of its ancestors alone.
func (s *Service) fromRecords(ctx context.Context, ref string) (st wire.JobStatus, found bool, err error) {
	rec, found, err := s.record(ctx, ref)
	if err != nil || !found || rec.Origin != "" {
		return st, false, err // users speak to a job's home alone
	}
	status, err := s.recorded(ctx, &rec)
	return wire.JobStatus{ID: ref, Status: status, Done: rec.Done}, true, err
}

// recorded is the state of a job as its record and those of its ancestors tell it: an
// open job is cancelled when one that it needs, directly or through others, is, and
// else called queued.
func (s *Service) recorded(ctx context.Context, rec *ledger.JobRecord) (string, error) {
	if rec.Terminal != "" {
		return rec.Terminal, nil
	}
	if rec.Job == nil {
		return wire.JobQueued, nil
	}
	seen := map[string]bool{}
	todo := slices.Clone(rec.Job.DependsOn)
	for len(todo) > 0 {
		ref := todo[0]
		todo = todo[1:]
		if seen[ref] {
			continue
		}
		if len(seen) >= maxAncestors {
			return "", errAncestors
		}
		seen[ref] = true
		p, found, err := s.record(ctx, ref)
		switch {
		case err != nil:
			return "", err
		case !found || p.Terminal == wire.JobDone:
		case p.Terminal == wire.JobCancelled:
			return wire.JobCancelled, nil
		case p.Job != nil:
			todo = append(todo, p.Job.DependsOn...)
		}
	}
	return wire.JobQueued, nil
}
