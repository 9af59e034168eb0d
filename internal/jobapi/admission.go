package jobapi

import (
	"context"
	"net/http"
	"slices"

	"leadproxy/internal/wire"
)

// admission is the outcome of the checks of a submission before its job is recorded.
type admission struct {
	rejection Response // zero: the job can be accepted
	// undecided: another controller may be able to read the jobs that this one depends on.
	undecided bool
	// initialStatus is the state of the job from its first moment on: cancelled if a job
	// that it depends on is. That follows from what is durable.
	initialStatus string
}

// checkAdmission checks whether a job can be accepted.
func (s *Service) checkAdmission(ctx context.Context, job *wire.Job, localOnly bool) admission {
	if rejection := s.checkFeasibility(job); !rejection.IsZero() {
		return admission{rejection: rejection}
	}
	dependencies := s.checkDependencies(ctx, job, localOnly)
	result := admission{
		rejection:     dependencies.rejection,
		undecided:     dependencies.rejection.Status == http.StatusServiceUnavailable && s.PipelinesSupported(),
		initialStatus: wire.JobQueued,
	}
	if dependencies.cancelled {
		result.initialStatus = wire.JobCancelled
	}
	return result
}

// checkFeasibility rejects a job that can never run, or of which that can't be decided yet.
// The zero response is no rejection.
func (s *Service) checkFeasibility(job *wire.Job) Response {
	team, ok := s.teams[job.Team]
	if !ok {
		return errorResponse(http.StatusUnprocessableEntity, "team %q is not known", job.Team)
	}
	if team.CPUsMax > 0 && job.CPUs > team.CPUsMax || team.GPUsMax > 0 && job.GPUs > team.GPUsMax {
		return errorResponse(http.StatusUnprocessableEntity, "one task needs more than the limit of team %q", job.Team)
	}
	types, ok := s.MachineTypes()
	if !ok {
		return retryLater(http.StatusServiceUnavailable, 1, "the machine types are not known yet")
	}
	if !slices.ContainsFunc(types, func(machine wire.MachineType) bool { return taskFits(job, &machine) }) {
		return errorResponse(http.StatusUnprocessableEntity, "a task fits no machine type that the job allows")
	}
	return Response{}
}

// taskFits reports whether a task of a job fits a machine of a type that the job allows.
func taskFits(job *wire.Job, machine *wire.MachineType) bool {
	switch {
	case job.CPUs > machine.CPUs || job.GPUs > machine.GPUs || job.MemGB > machine.MemGB:
		return false
	case job.Types != nil && !slices.Contains(job.Types, machine.Name):
		return false
	}
	return job.Zone == nil || slices.Contains(machine.Zones, *job.Zone)
}
