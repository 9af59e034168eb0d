package scheduler

import (
	"slices"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/scheduler/quota"
)

// anyZone is the zone of a request without a zone constraint.
const anyZone int32 = -1

// startRefusal is the reason why a task must not start on a machine now.
type startRefusal string

const (
	startAllowed        startRefusal = ""
	refusedJobState     startRefusal = "the job has ended or waits for other jobs"
	refusedMachineState startRefusal = "the machine accepts no new tasks"
	refusedPool         startRefusal = "the job does not allow the machine's type, zone or kind"
	refusedZone         startRefusal = "the job's other tasks rule out the zone"
	refusedAvoided      startRefusal = "a task of the job has recently failed on the machine"
	refusedTeamLimit    startRefusal = "the team is at its limit"
)

// proposedStart is a task that is to start on a machine.
type proposedStart struct {
	job     *job
	machine *machine
	// allocated is set if the task has its resources already. It then is one of the job's tasks and
	// counts towards the team's use.
	allocated bool
}

// refusal decides whether a task may start on a machine now, and returns the reason if it may not.
// Every start asks it, just before its resources are reserved and again before it is queued: what held
// when the machine was chosen, or reserved for the job, need not hold any more. uncertain is, by team,
// what tasks may use unseen (see placeQueuedTasks).
func (p *placement) refusal(start proposedStart, uncertain []quota.Units) startRefusal {
	j, m := start.job, start.machine
	own, another := 0, 1
	if start.allocated {
		own, another = 1, 0
	}
	switch {
	case j.ended() || j.blocked():
		return refusedJobState
	case !p.agents.schedulable(m):
		return refusedMachineState
	case !p.types.allowsPool(j, m.pool()):
		return refusedPool
	case !j.allowsZoneBesideOthers(m.zone, m.zone, own):
		return refusedZone
	case j.avoids(m.index, p.clock.now):
		return refusedAvoided
	case !p.teams.Team(j.request.team).AllowsMore(j.request.size, another, uncertain[j.request.team]):
		return refusedTeamLimit
	}
	return startAllowed
}

// allowsPool reports whether a job's description allows its tasks on the machines of a pool. A machine
// whose type is not known suits only jobs that allow any type.
func (t *machineTypes) allowsPool(j *job, pool autoscaler.CapacityPool) bool {
	if j.spec.Types != nil && (pool.Type < 0 || !slices.Contains(j.spec.Types, t.list[pool.Type].Name)) {
		return false
	}
	return (j.request.zone == anyZone || j.request.zone == pool.Zone) && (j.spec.Spot || !pool.Spot)
}

// allowsZoneBesideOthers reports whether a gang or spread job may have a task in a zone, given its other
// tasks. own is the number of tasks in the zone from that are not counted among the others, since they
// are the ones that are to start or to move.
func (j *job) allowsZoneBesideOthers(zone, from int32, own int) bool {
	if !j.spec.Gang && !j.spec.Spread {
		return true
	}
	inZone, elsewhere := 0, 0
	for i, tasks := range j.placement.tasksByZone {
		if int32(i) == from {
			tasks -= own
		}
		if int32(i) == zone {
			inZone = tasks
		} else {
			elsewhere += tasks
		}
	}
	return !(j.spec.Gang && elsewhere > 0) && !(j.spec.Spread && inZone >= (j.progress.total+1)/2)
}

// allowsNextIn reports whether the job's description and its present tasks allow its next task on the
// machines of a pool.
func (t *machineTypes) allowsNextIn(j *job, pool autoscaler.CapacityPool) bool {
	return t.allowsPool(j, pool) && j.allowsZoneBesideOthers(pool.Zone, pool.Zone, 0)
}
