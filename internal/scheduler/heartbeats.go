package scheduler

import (
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// maxCommandsPerResponse keeps a report's answer well below 64 KiB.
const maxCommandsPerResponse = 300

func (c *Core) heartbeatReceived(e HeartbeatEvent) {
	r := e.Heartbeat
	if r.FencingToken>>tokenBits > c.term {
		// A newer leader has spoken to this worker: we must not.
		c.log.Info("a worker has seen a newer term", "machine", r.Machine, "token", r.FencingToken)
		c.effects.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	m := c.machineNamed(r.Machine)
	if m.state == machineGone {
		c.effects.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	c.agents.heardFrom(m)
	a := heldAnswer{replyTo: e.ReplyTo, machine: m, heartbeat: r}
	if c.observe(m, r, true) {
		if m.commands.heldHeartbeat != nil {
			// Its worker has given up the answer to an earlier one.
			m.commands.heldHeartbeat = nil
			if len(m.commands.pending) > 0 {
				c.commands.machinesWithCommands = append(c.commands.machinesWithCommands, m)
			}
		}
		m.commands.openAnswer = len(c.commands.openAnswers) + 1
		c.agents.raiseFencingToken(m)
	} else {
		a.outdated = true
		c.agents.inspectStaleSender(m, r)
	}
	if r.AgentEpoch <= m.agent.expiredEpoch {
		// That session must have ended. An answer could keep it alive if it had
		// not, with tasks that are booked nowhere any more.
		c.effects.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	// The worker counts its lease from when it sent the report. That was
	// before we heard of anything newer from it, so counting from the last
	// word that we believed is late enough, also for a late copy.
	m.agent.lastAnswered = max(m.agent.lastAnswered, m.agent.lastHeartbeat)
	m.agent.leaseExpiry = max(m.agent.leaseExpiry, m.agent.lastHeartbeat+c.agents.lease)
	c.commands.openAnswers = append(c.commands.openAnswers, a)
}

// observe takes in what a worker tells, in a report or in the answer to a
// direct command. It returns false for something stale.
func (c *Core) observe(m *machine, r *wire.Heartbeat, reported bool) bool {
	if r.AgentEpoch <= m.agent.expiredEpoch || !(heartbeatPosition{m.agent.epoch, m.agent.sequence}).before(heartbeatPosition{r.AgentEpoch, r.Sequence}) {
		return false
	}
	if r.FencingToken < max(m.agent.minAcceptedToken, m.agent.acknowledgedToken) {
		// A worker never forgets a token while it lives. So this is from an earlier
		// life, whose counts may be higher than those of the present one, or its worker
		// has begun anew and not yet heard of us. The answer tells it our token.
		return false
	}
	// A machine that opens to work, at its first echo or after a silence, may
	// be what waiting tasks wait for.
	wasOpen := c.agents.accepts(m)
	if m.state == machineStarting {
		m.state, m.agent.epochSeenAt = machineUp, c.clock.now
		c.machineCameUp(m)
	}
	c.describe(m, r.Type, r.Zone, r.Spot, r.Address)
	m.agent.lastHeartbeat = c.clock.now
	c.agents.heardFrom(m)
	if r.AgentEpoch != m.agent.epoch {
		c.epochBegan(m, r.AgentEpoch)
	}
	m.agent.sequence = r.Sequence
	c.placement.indexChanged(m)
	m.agent.acknowledgedToken = max(m.agent.acknowledgedToken, r.FencingToken)
	for attempt, fence := range m.commands.unresolvedStarts {
		if m.agent.acknowledgedToken >= fence {
			delete(m.commands.unresolvedStarts, attempt)
		}
	}
	if r.TerminationNoticeS != nil && m.rental.terminationAt == 0 {
		m.rental.terminationAt = c.clock.now + settings.Seconds(*r.TerminationNoticeS)
		c.log.Info("machine will be taken back", "machine", m.name, "seconds", *r.TerminationNoticeS, "bookings", len(m.capacity.allocations))
	}
	if r.FencingToken >= m.agent.fencingToken {
		m.agent.lastAcknowledged, m.agent.unacknowledged = c.clock.now, false
	}
	if m.trusted(c.term) {
		// Without our token this may be a copy from before our term, as late as
		// can be: what it lists is not believed.
		c.reconcileTasks(m, r, reported)
	}
	if m.trusted(c.term) && len(m.recorded.inDoubtJobs) > 0 {
		// Only now is it certain that no earlier leader's start is on its way.
		c.resolveInDoubt(m, "it has echoed our token")
	}
	if m.rental.terminationAt > 0 {
		c.evictBeforeTermination(m)
	}
	if !wasOpen && c.agents.accepts(m) {
		c.placement.needed = true
	}
	return true
}

// epochBegan notes that a worker is in another session than before.
func (c *Core) epochBegan(m *machine, session uint64) {
	if m.agent.epoch != 0 {
		c.log.Info("worker began a new session", "machine", m.name, "session", session, "bookings", len(m.capacity.allocations))
		c.dropAllocations(m, "its session ended")
		// It has heard no answer for a whole lease.
		c.markUnacknowledged(m)
	}
	// A start sent to the earlier session can't be executed any more.
	clear(m.commands.unresolvedStarts)
	m.agent.epoch = session
	c.softState.changed(m)
	// A session begins with a lease of its own, though nobody has answered
	// it, and this one may have begun just now: what was known of the lease
	// was the session's before.
	m.agent.leaseExpiry = max(m.agent.leaseExpiry, c.clock.now+c.agents.lease)
}

// taskOf finds what a line of a report speaks of. The booking is nil when we
// have none for it.
func (t *jobTable) taskOf(m *machine, status *wire.TaskStatus) (j *job, n int32, b *allocation) {
	if b := m.allocation(status.Attempt); b != nil {
		return t.list[b.job], b.task, b
	}
	ref, k, ok := wire.ParseTaskName(status.Task)
	at, known := t.indexByID[ref]
	if !ok || !known || t.list[at].spec != nil && k >= t.list[at].progress.total {
		return nil, 0, nil
	}
	return t.list[at], int32(k), nil
}

// reconcileTasks brings the bookings of a machine in line with a fresh report, or
// with the answer to a direct command.
func (c *Core) reconcileTasks(m *machine, r *wire.Heartbeat, reported bool) {
	c.agents.heartbeatsProcessed++
	for i := range r.Tasks {
		t := &r.Tasks[i]
		j, n, b := c.jobs.taskOf(m, t)
		if j == nil {
			continue // its answer stops it, see mustStop
		}
		if t.Status == wire.TaskEnded {
			c.attemptEnded(m, j, n, b, t)
			continue
		}
		if b == nil {
			if b = c.adopt(m, j, n, t); b == nil {
				continue
			}
			if b.stopping && !reported {
				c.commands.sendStop(m, b) // no answer goes there that could have it
			}
		}
		b.state, b.lastHeartbeatSeen = allocationConfirmed, c.agents.heartbeatsProcessed
		if t.Status != b.status {
			c.statusChanged(m, j, b, t.Status)
		}
	}
	c.releaseMissing(m, r, reported)
}

// statusChanged notes another state of a task than was last reported.
func (c *Core) statusChanged(m *machine, j *job, b *allocation, status string) {
	b.status = status
	if status != wire.TaskRunning {
		return
	}
	since, known := c.softState.runningSince(b.attempt)
	b.runningSince, b.runStartUnknown = since, !known
	c.evictions.taskRuns(b)
	c.softState.changed(m)
	j.progress.startedOnce = true
	m.capacity.idleSince = c.clock.now
	if j.spec != nil && m.typ >= 0 {
		m.fetched(j.request.image, j.spec.ImageGB, c.types.list[m.typ].CacheGB)
	}
}

// releaseMissing frees the bookings that a machine no longer has, or never will.
func (c *Core) releaseMissing(m *machine, r *wire.Heartbeat, reported bool) {
	for k := len(m.capacity.allocations) - 1; k >= 0; k-- {
		b := m.capacity.allocations[k]
		if b.lastHeartbeatSeen == c.agents.heartbeatsProcessed {
			continue
		}
		_, unsettled := m.commands.unresolvedStarts[b.attempt]
		switch {
		case b.state <= allocationQueued, unsettled:
			// Not sent yet, or it may still be executed.
		case b.state == allocationSent && b.answeredSequence > 0 && (!reported || r.Sequence <= b.answeredSequence):
			// The answer that carries its start may still be on its way: the
			// worker's next report is sent only after it, or after it is given
			// up.
		default:
			// Either a start whose outcome was unknown and which a raised token
			// has ruled out, or an attempt that the worker no longer knows.
			if b.state == allocationSent && b.answeredSequence > 0 {
				c.markUnacknowledged(m)
			}
			c.log.Info("attempt is not on its machine", "machine", m.name, "task", c.jobs.taskName(b), "attempt", b.attempt, "confirmed", b.state == allocationConfirmed)
			c.release(m, b)
		}
	}
}

// adopt books a task that an earlier leader has started, or returns nil when it
// must not go on.
func (c *Core) adopt(m *machine, j *job, n int32, t *wire.TaskStatus) *allocation {
	if j.spec == nil || j.progress.tasks == nil {
		return nil // over, and forgotten here
	}
	ts := &j.progress.tasks[n]
	if j.over() {
		// It counts for its team until it is gone.
		return c.allocate(m, j, n, t.Attempt, false)
	}
	if ts.state != taskWaiting {
		c.log.Error("task reported where it should not be", "machine", m.name, "task", t.Task, "attempt", t.Attempt, "state", ts.state)
		return nil
	}
	j.dropWaiting(n)
	b := c.allocate(m, j, n, t.Attempt, true)
	if _, ok := j.record.hostAt[m.index]; !ok {
		c.jobs.addHost(j, m)
	}
	return b
}

// attemptEnded settles an attempt that its worker reports as ended.
func (c *Core) attemptEnded(m *machine, j *job, n int32, b *allocation, t *wire.TaskStatus) {
	if b == nil && (t.ExitReason != wire.ExitDone || j.progress.tasks == nil || j.over() || j.progress.tasks[n].state != taskWaiting) {
		return // settled before
	}
	if b != nil {
		if t.ExitReason != wire.ExitDone && !t.CheckpointSaved {
			c.autoscaling.lostWork(m, b)
		}
		if t.ExitReason == wire.ExitStopped {
			c.evictions.displaced(m, b, t.CheckpointSaved, "it was stopped")
		}
		c.deallocate(m, b)
	}
	switch t.ExitReason {
	case wire.ExitDone:
		if b != nil && b.runningSince > 0 && !b.runStartUnknown {
			c.estimates.learnRun(j, c.clock.now-b.runningSince)
		}
		clear(m.health.failedJobs)
		c.taskEnded(j, n)
	case wire.ExitError:
		c.placement.attemptFailed(m, j, n, t.Attempt)
		c.placement.requeue(j, n)
	case wire.ExitNoSuchTask:
		// The users' upload of the description is not there yet.
		c.placement.holdJob(j)
		c.placement.requeue(j, n)
	case wire.ExitNoRoom, wire.ExitInUse:
		c.log.Info("start refused", "machine", m.name, "task", t.Task, "attempt", t.Attempt, "why", t.ExitReason)
		c.placement.holdJob(j)
		c.placement.requeue(j, n)
	default:
		c.placement.requeue(j, n)
	}
}
