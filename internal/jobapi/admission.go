package jobapi

import (
	"context"
	"net/http"
	"slices"

	"leadproxy/internal/wire"
)

// admission is the result of checking a submission before its job is recorded.
type admission struct {
	rejection Response // zero if the job can be accepted
	// undecided means that this controller could not read the jobs on which this one depends,
	// and that another controller may be able to.
	undecided bool
	// initialStatus is the job's status as soon as it is recorded: cancelled if one of its
	// dependencies is cancelled, and queued otherwise. It follows from durable records.
	initialStatus string
}

// checkAdmission checks whether a job can be accepted: whether it can ever run, and whether all of
// its dependencies were accepted.
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

// checkFeasibility rejects a job that can never run, or whose feasibility can't be decided yet
// because the machine types are unknown. It returns the zero response if the job is feasible.
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

// taskFits reports whether a task of the job fits on a machine of the given type, and whether the
// job allows that type and one of its zones.
func taskFits(job *wire.Job, machine *wire.MachineType) bool {
	switch {
	case job.CPUs > machine.CPUs || job.GPUs > machine.GPUs || job.MemGB > machine.MemGB:
		return false
	case job.Types != nil && !slices.Contains(job.Types, machine.Name):
		return false
	}
	return job.Zone == nil || slices.Contains(machine.Zones, *job.Zone)
}
