package scheduler

import (
	"slices"

	"leadproxy/internal/wire"
)

// heartbeatTrust is whether the task list of a heartbeat is known to be up to date.
type heartbeatTrust int

const (
	untrustedHeartbeat heartbeatTrust = iota // it may be an old copy, of any age
	trustedHeartbeat                         // it is the agent's newest, and the agent has acknowledged the term's token
)

// requiredStops returns the stops that the response to a heartbeat must contain: those of the tasks
// in the heartbeat that must not run. Every response needs them, since each renews the agent's
// lease. They are not left out for a heartbeat that may be an old copy, since stopping an attempt
// that no longer exists has no effect.
func (c *commands) requiredStops(m *machine, heartbeat *wire.Heartbeat, trust heartbeatTrust) []wire.Command {
	stops := []wire.Command{}
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if task.Status == wire.TaskEnded || len(stops) >= maxCommandsPerResponse {
			continue // the remaining tasks are stopped in the responses to later heartbeats
		}
		if gracePeriodS, must := c.mustStop(m, task, trust); must {
			c.cancellations.countStop(m, task)
			stops = append(stops, stopCommand(task.Task, task.Attempt, gracePeriodS))
		}
	}
	return stops
}

// mustStop reports whether a task that an agent reports as alive must not run, and the grace period
// in seconds in which it may save a checkpoint.
func (c *commands) mustStop(m *machine, task *wire.TaskStatus, trust heartbeatTrust) (gracePeriodS float64, must bool) {
	found := c.jobs.findTask(m, task)
	switch {
	case found.job == nil:
		// All tasks that an earlier leader started have a job record in the ledger. If no job is
		// found, the record can't be read, and the job may have been cancelled: the task is
		// stopped.
		return 0, true
	case found.job.ended():
		return 0, true // a checkpoint is of no use to a job that has ended
	case found.allocation == nil:
		// A task without an allocation must not run. But an old copy of a heartbeat does not show
		// that it runs, so the decision waits for a trusted heartbeat.
		return 0, trust == trustedHeartbeat
	}
	return found.allocation.gracePeriodS, found.allocation.stopping
}

// stopCommand returns the command that stops an attempt.
func stopCommand(task string, attempt uint64, gracePeriodS float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: task, Attempt: attempt, GracePeriodS: &gracePeriodS}
}

// repeatStops resends stops that an agent may have ignored, once the result of a command is known.
// A start and a later stop of the same attempt in separate messages can arrive in any order, and an
// agent ignores the stop of an attempt that it does not know yet. Without the repetition such a
// start was executed after its stop, and the task ran until the response to the agent's next
// heartbeat.
func (c *commands) repeatStops(command *commandInFlight, heartbeat *wire.Heartbeat) {
	m := command.machine
	if heartbeat == nil || heartbeat.Machine != m.name || heartbeat.AgentEpoch != m.agent.Epoch() {
		return
	}
	for _, attempt := range command.startedAttempts {
		if alloc := m.allocation(attempt); alloc != nil && alloc.stopping && listsLiveAttempt(heartbeat, attempt) {
			c.queueStop(m, alloc)
		}
	}
	for _, attempt := range command.stoppedAttempts {
		alloc := m.allocation(attempt)
		if alloc != nil && alloc.stopping && alloc.state == allocationSent && !alloc.stopRepeated && !listsLiveAttempt(heartbeat, attempt) {
			alloc.stopRepeated = true
			c.queueStop(m, alloc)
		}
	}
}

// queueStop queues the stop of an allocated attempt, with the allocation's grace period.
func (c *commands) queueStop(m *machine, alloc *allocation) {
	c.queueCommand(m, stopCommand(c.jobs.taskName(alloc), alloc.attempt, alloc.gracePeriodS))
}

// listsLiveAttempt reports whether a heartbeat lists an attempt as not ended.
func listsLiveAttempt(heartbeat *wire.Heartbeat, attempt uint64) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(task wire.TaskStatus) bool {
		return task.Attempt == attempt && task.Status != wire.TaskEnded
	})
}
