package scheduler

import "leadproxy/internal/wire"

// reconcileTasks brings the allocations of a machine in line with a fresh heartbeat, or with the
// result of a direct command.
func (c *Core) reconcileTasks(m *machine, r *wire.Heartbeat, source statusSource) {
	c.agents.countHeartbeat()
	for i := range r.Tasks {
		t := &r.Tasks[i]
		found := c.jobs.findTask(m, t)
		j, n, b := found.job, found.index, found.allocation
		if j == nil {
			continue // the response stops it, see mustStop
		}
		if t.Status == wire.TaskEnded {
			c.handleAttemptEnd(m, j, n, b, t)
			continue
		}
		if b == nil {
			if b = c.adoptTask(m, j, n, t); b == nil {
				continue
			}
			if b.stopping && source == fromCommandResult {
				c.commands.queueStop(m, b) // no response that could carry it is sent there
			}
		}
		b.state, b.lastHeartbeatSeen = allocationConfirmed, c.agents.heartbeatsProcessed
		if t.Status != b.status {
			c.updateTaskStatus(m, j, b, t.Status)
		}
	}
	c.releaseMissing(m, r, source)
}

// updateTaskStatus notes that a task's status differs from that in the last heartbeat.
func (c *Core) updateTaskStatus(m *machine, j *job, b *allocation, status string) {
	b.status = status
	if status != wire.TaskRunning {
		return
	}
	since, known := c.inherited.runningSince(b.attempt)
	b.runningSince, b.runStartUnknown = since, !known
	c.disruptions.recordRunning(b)
	c.softState.machineChanged(m)
	j.progress.markStarted()
	m.capacity.markUsed(c.clock.now)
	if j.spec != nil && m.typeIndex >= 0 {
		m.capacity.addImage(j.request.image, j.spec.ImageGB, c.types.list[m.typeIndex].CacheGB)
	}
}

// releaseMissing frees the allocations whose attempts a machine no longer has, or never will.
func (c *Core) releaseMissing(m *machine, r *wire.Heartbeat, source statusSource) {
	for k := len(m.capacity.allocations) - 1; k >= 0; k-- {
		b := m.capacity.allocations[k]
		if b.lastHeartbeatSeen == c.agents.heartbeatsProcessed {
			continue
		}
		_, unresolved := m.commands.unresolvedStarts[b.attempt]
		switch {
		case b.state <= allocationQueued, unresolved:
			// Not sent yet, or it may still be executed.
		case b.state == allocationSent && b.responseSequence > 0 && (source == fromCommandResult || r.Sequence <= b.responseSequence):
			// The response that carries its start may still be on its way: the agent's next
			// heartbeat is sent only after it, or after it is given up.
		default:
			// Either a start whose outcome was unknown and which a raised token has ruled out,
			// or an attempt that the agent no longer knows.
			if b.state == allocationSent && b.responseSequence > 0 {
				c.markUnacknowledged(m)
			}
			c.log.Info("attempt is missing on its machine", "machine", m.name, "task", c.jobs.taskName(b), "attempt", b.attempt, "confirmed", b.state == allocationConfirmed)
			c.releaseAndRequeue(m, b)
		}
	}
}

// adoptTask allocates room for a task that an earlier leader has started, or returns nil when it
// must not run.
func (c *Core) adoptTask(m *machine, j *job, n int32, t *wire.TaskStatus) *allocation {
	if j.spec == nil || j.progress.tasks == nil {
		return nil // ended, and cleaned up here
	}
	ts := &j.progress.tasks[n]
	if j.ended() {
		// It counts for its team until it is gone.
		return c.allocate(m, j, n, t.Attempt, purposeUntilEnded)
	}
	if ts.state != taskWaiting {
		c.log.Error("task running where it is not allocated", "machine", m.name, "task", t.Task, "attempt", t.Attempt, "state", ts.state)
		return nil
	}
	j.progress.removeWaiting(n)
	b := c.allocate(m, j, n, t.Attempt, purposeRun)
	if _, ok := j.record.hostIndexByMachine[m.index]; !ok {
		c.jobs.addHost(j, m)
	}
	return b
}

// handleAttemptEnd resolves an attempt that its agent reports as ended.
func (c *Core) handleAttemptEnd(m *machine, j *job, n int32, b *allocation, t *wire.TaskStatus) {
	if b == nil && (t.ExitReason != wire.ExitDone || j.progress.tasks == nil || j.ended() || j.progress.tasks[n].state != taskWaiting) {
		return // resolved before
	}
	if b != nil {
		if t.ExitReason != wire.ExitDone && !t.CheckpointSaved {
			c.spending.addLostWork(m, b)
		}
		if t.ExitReason == wire.ExitStopped {
			c.disruptions.recordDisruption(m, b, t.CheckpointSaved, "it was stopped")
		}
		c.deallocate(m, b)
	}
	switch t.ExitReason {
	case wire.ExitDone:
		if b != nil && b.runningSince > 0 && !b.runStartUnknown {
			c.estimates.addRun(j, c.clock.now-b.runningSince)
		}
		m.health.clearFailures()
		c.completeTask(j, n)
	case wire.ExitError:
		c.placement.recordFailure(m, j, n, t.Attempt)
		c.placement.requeueTask(j, n)
	case wire.ExitNoSuchTask:
		// The users' upload of the description is not there yet.
		c.placement.extendBackoff(j)
		c.placement.requeueTask(j, n)
	case wire.ExitNoCapacity, wire.ExitInUse:
		c.log.Info("start refused", "machine", m.name, "task", t.Task, "attempt", t.Attempt, "reason", t.ExitReason)
		c.placement.extendBackoff(j)
		c.placement.requeueTask(j, n)
	default:
		c.placement.requeueTask(j, n)
	}
}
