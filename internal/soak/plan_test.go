package soak

import (
	"hash/fnv"
	"strings"
	"time"

	"leadproxy/internal/wire"
)

const controllerCount = 3

// plan describes a run.
type plan struct {
	seed          uint64
	machines      int
	times         agentTimes
	faultDuration time.Duration // of the whole schedule of faults
	standby       bool
}

// agentTimes are the times that workers keep to.
type agentTimes struct{ heartbeatInterval, lease, cancelDeadline time.Duration }

// operatorTimes are an operator's times: the delays that a busy machine adds are small beside them.
var operatorTimes = agentTimes{heartbeatInterval: 3 * time.Second, lease: 20 * time.Second, cancelDeadline: 40 * time.Second}

// The load: as much work as about two dozen machines do. For more machines jobs have more tasks, and
// beyond a limit tasks run longer, so that all machines are needed.
const (
	jobsPerSecond = 2.4
	maxTasks      = 6
	baseMachines  = 24
	maxTaskFactor = 25
	checkInterval = 2 * time.Second
	// One job in so many belongs to a team that is at its limit now and then. More would pile up
	// until the end: with one in four and half the limit, 300 machines' jobs were not over five
	// minutes after the faults, all of them of that team.
	tightTeamOneIn = 6
	tightTeamCPUs  = 24
)

// taskFactor multiplies the number of tasks of jobs.
func (p *plan) taskFactor() int { return min(max(p.machines/baseMachines, 1), maxTaskFactor) }

// runTimeFactor multiplies the time that tasks run.
func (p *plan) runTimeFactor() int { return max(p.machines/baseMachines/maxTaskFactor, 1) }

// cancelledLastDigits are the last digits of the IDs of jobs that run until they are cancelled.
const cancelledLastDigits = "0369"

// runsUntilCancelled reports whether a job runs until it is cancelled. Jobs of pipelines do not.
func runsUntilCancelled(jobID string) bool {
	return strings.HasPrefix(jobID, "job-0") && strings.Contains(cancelledLastDigits, jobID[len(jobID)-1:])
}

// runTime is how long a task runs: some seconds that follow from its job's ID, or beyond the test.
func (p *plan) runTime(task string) time.Duration {
	jobID := wire.JobIDOfTask(task)
	if runsUntilCancelled(jobID) {
		return time.Hour
	}
	hash := fnv.New64a()
	hash.Write([]byte(jobID))
	return time.Duration(1+hash.Sum64()%12) * time.Second * time.Duration(p.runTimeFactor())
}
