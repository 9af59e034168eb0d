package scheduler

import "leadproxy/internal/wire"

// reconcileTasks updates the allocations of a machine from the task list of a trusted heartbeat or
// command result.
func (c *Core) reconcileTasks(m *machine, heartbeat *wire.Heartbeat, source statusSource) {
	c.agents.countHeartbeat()
	ended := 0
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if task.Status == wire.TaskEnded {
			ended++
		}
		found := c.jobs.findTask(m, task)
		j, index, alloc := found.job, found.index, found.allocation
		if j == nil {
			continue // the response stops the task, see mustStop
		}
		if task.Status == wire.TaskEnded {
			c.handleAttemptEnd(m, j, index, alloc, task)
			continue
		}
		if alloc == nil {
			if alloc = c.adoptTask(m, j, index, task); alloc == nil {
				continue
			}
			if alloc.stopping && source == fromCommandResult {
				c.commands.queueStop(m, alloc) // a command result gets no response that could carry the stop
			}
		}
		alloc.state, alloc.lastHeartbeatSeen = allocationConfirmed, c.agents.heartbeatsProcessed
		if task.Status != alloc.status {
			c.updateTaskStatus(m, j, alloc, task.Status)
		}
	}
	if m.capacity.setEndedAttempts(ended) {
		c.placement.markNeeded()
	}
	c.releaseMissing(m, heartbeat, source)
}

// updateTaskStatus records a task's status when it differs from that in the last heartbeat.
func (c *Core) updateTaskStatus(m *machine, j *job, alloc *allocation, status string) {
	alloc.status = status
	if status != wire.TaskRunning {
		return
	}
	since, known := c.inherited.runningSince(alloc.attempt)
	alloc.runningSince, alloc.runStartUnknown = since, !known
	c.disruptions.recordRunning(alloc)
	c.softState.machineChanged(m)
	j.progress.markStarted()
	m.capacity.markUsed(c.clock.now)
	if j.spec != nil && m.typeIndex >= 0 {
		m.capacity.addImage(j.request.image, j.spec.ImageGB, c.types.list[m.typeIndex].CacheGB)
	}
}

// releaseMissing releases the allocations whose attempts are missing from the heartbeat being
// reconciled, if they can't be executed any more.
func (c *Core) releaseMissing(m *machine, heartbeat *wire.Heartbeat, source statusSource) {
	for i := len(m.capacity.allocations) - 1; i >= 0; i-- {
		alloc := m.capacity.allocations[i]
		if alloc.lastHeartbeatSeen == c.agents.heartbeatsProcessed {
			continue
		}
		_, unresolved := m.commands.unresolvedStarts[alloc.attempt]
		switch {
		case alloc.state <= allocationQueued, unresolved:
			// The start was not sent yet, or may still be executed.
		case alloc.state == allocationSent && alloc.responseSequence > 0 && (source == fromCommandResult || heartbeat.Sequence <= alloc.responseSequence):
			// The response that carries the start may still be in flight. The agent sends its next
			// heartbeat only after receiving the response or ceasing to wait for it.
		default:
			// Either the outcome of the start was unknown and a raised token has ruled it out, or
			// the agent no longer knows the attempt.
			if alloc.state == allocationSent && alloc.responseSequence > 0 {
				c.markUnacknowledged(m)
			}
			c.log.Info("attempt is missing on its machine", "machine", m.name, "task", c.jobs.taskName(alloc), "attempt", alloc.attempt, "confirmed", alloc.state == allocationConfirmed)
			c.releaseAndRequeue(m, alloc)
		}
	}
}

// adoptTask allocates resources for a task that an earlier leader has started. It returns nil if
// the task must not run.
func (c *Core) adoptTask(m *machine, j *job, index int32, task *wire.TaskStatus) *allocation {
	if j.spec == nil || j.progress.tasks == nil {
		return nil // the job has ended and is cleaned up
	}
	jobTask := &j.progress.tasks[index]
	if j.ended() {
		// The task counts towards its team's quota until it has ended.
		return c.allocate(m, j, index, task.Attempt, purposeUntilEnded)
	}
	if jobTask.state != taskWaiting {
		c.log.Error("task running without an allocation on its machine", "machine", m.name, "task", task.Task, "attempt", task.Attempt, "state", jobTask.state)
		return nil
	}
	j.progress.removeWaiting(index)
	alloc := c.allocate(m, j, index, task.Attempt, purposeRun)
	if _, ok := j.record.hostIndexByMachine[m.index]; !ok {
		c.jobs.addHost(j, m)
	}
	return alloc
}

// handleAttemptEnd processes the end of an attempt that its agent reports: it frees the allocation,
// and the task either has ended or is requeued. alloc is nil if there is no allocation.
func (c *Core) handleAttemptEnd(m *machine, j *job, index int32, alloc *allocation, task *wire.TaskStatus) {
	if alloc == nil {
		c.handleEndWithoutAllocation(m, j, index, task)
		return
	}
	if task.ExitReason != wire.ExitDone && !task.CheckpointSaved {
		c.spending.addLostWork(m, alloc)
	}
	if task.ExitReason == wire.ExitStopped {
		c.disruptions.recordDisruption(m, alloc, task.CheckpointSaved, "it was stopped")
	}
	c.deallocate(m, alloc)
	switch task.ExitReason {
	case wire.ExitDone:
		if alloc.runningSince > 0 && !alloc.runStartUnknown {
			c.estimates.addRun(j, c.clock.now-alloc.runningSince)
		}
		c.handleSuccess(m, j, index)
		return
	case wire.ExitError:
		c.placement.recordFailure(m, j, index, task.Attempt)
	case wire.ExitNoSuchTask:
		// The user has not uploaded the task's description yet.
		c.placement.extendBackoff(j)
	case wire.ExitNoCapacity, wire.ExitInUse:
		c.log.Info("agent rejected a start", "machine", m.name, "task", task.Task, "attempt", task.Attempt, "reason", task.ExitReason)
		c.placement.extendBackoff(j)
	}
	c.placement.requeueTask(j, index)
}

// handleEndWithoutAllocation processes the end of an attempt that was processed before, or that an earlier
// leader started.
func (c *Core) handleEndWithoutAllocation(m *machine, j *job, index int32, task *wire.TaskStatus) {
	if j.progress.tasks == nil || j.ended() {
		return
	}
	switch {
	case task.ExitReason == wire.ExitError:
		c.placement.recordEarlierFailure(m, j, index, task.Attempt)
	case task.ExitReason == wire.ExitDone && j.progress.tasks[index].state == taskWaiting:
		c.handleSuccess(m, j, index)
	}
}

// handleSuccess records that a task has completed on a machine.
func (c *Core) handleSuccess(m *machine, j *job, index int32) {
	m.health.clearFailures()
	c.completeTask(j, index)
}
