package soak

import (
	"hash/fnv"
	"strings"
	"time"

	"leadproxy/internal/wire"
)

const controllerCount = 3

// plan has the parameters of a run.
type plan struct {
	seed          uint64
	machines      int
	times         agentTimes
	faultDuration time.Duration // length of the whole schedule of faults
	standby       bool          // whether controllers that are not the leader follow the ledger
}

// agentTimes are the heartbeat interval, the lease and the cancellation deadline of agents.
type agentTimes struct{ heartbeatInterval, lease, cancelDeadline time.Duration }

// operatorTimes are times as an operator would set them. The delays that a busy test machine adds are
// small in comparison.
var operatorTimes = agentTimes{heartbeatInterval: 3 * time.Second, lease: 20 * time.Second, cancelDeadline: 40 * time.Second}

// The load keeps about baseMachines machines busy. With more machines, jobs have up to maxTaskFactor
// times as many tasks, and beyond that tasks run longer, so that all machines are needed.
const (
	jobsPerSecond = 2.4
	maxTasks      = 6
	baseMachines  = 24
	maxTaskFactor = 25
	checkInterval = 2 * time.Second
	// One job in tightTeamOneIn belongs to a team that is sometimes at its CPU limit,
	// tightTeamCPUs. With more jobs a backlog of that team would build up until the end of the
	// run.
	tightTeamOneIn = 6
	tightTeamCPUs  = 24
)

// taskFactor is the factor by which jobs have more tasks than with baseMachines.
func (p *plan) taskFactor() int { return min(max(p.machines/baseMachines, 1), maxTaskFactor) }

// runTimeFactor is the factor by which tasks run longer than with baseMachines.
func (p *plan) runTimeFactor() int { return max(p.machines/baseMachines/maxTaskFactor, 1) }

// cancelledLastDigits are the last digits of the IDs of jobs that run until they are cancelled.
const cancelledLastDigits = "0369"

// runsUntilCancelled reports whether a job's tasks run until the job is cancelled. Jobs of
// pipelines never do.
func runsUntilCancelled(jobID string) bool {
	return strings.HasPrefix(jobID, "job-0") && strings.Contains(cancelledLastDigits, jobID[len(jobID)-1:])
}

// runTime returns how long a task runs: 1 to 12 s, multiplied by runTimeFactor, as determined by its
// job's ID, or longer than the test if its job runs until it is cancelled.
func (p *plan) runTime(task string) time.Duration {
	jobID := wire.JobIDOfTask(task)
	if runsUntilCancelled(jobID) {
		return time.Hour
	}
	hash := fnv.New64a()
	hash.Write([]byte(jobID))
	return time.Duration(1+hash.Sum64()%12) * time.Second * time.Duration(p.runTimeFactor())
}
