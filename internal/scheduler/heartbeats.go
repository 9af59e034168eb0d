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
		c.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	m := c.machineNamed(r.Machine)
	if m.state == machineGone {
		c.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	c.heardFrom(m)
	a := heldAnswer{replyTo: e.ReplyTo, machine: m, heartbeat: r}
	if c.observe(m, r, true) {
		if m.heldHeartbeat != nil {
			// Its worker has given up the answer to an earlier one.
			m.heldHeartbeat = nil
			if len(m.pendingCommands) > 0 {
				c.machinesWithCommands = append(c.machinesWithCommands, m)
			}
		}
		m.openAnswer = len(c.openAnswers) + 1
		c.raiseFencingToken(m)
	} else {
		a.outdated = true
		c.inspectStaleSender(m, r)
	}
	if r.AgentEpoch <= m.expiredEpoch {
		// That session must have ended. An answer could keep it alive if it had
		// not, with tasks that are booked nowhere any more.
		c.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	// The worker counts its lease from when it sent the report. That was
	// before we heard of anything newer from it, so counting from the last
	// word that we believed is late enough, also for a late copy.
	m.lastAnswered = max(m.lastAnswered, m.lastHeartbeat)
	m.leaseExpiry = max(m.leaseExpiry, m.lastHeartbeat+c.agentLease)
	c.openAnswers = append(c.openAnswers, a)
}

// observe takes in what a worker tells, in a report or in the answer to a
// direct command. It returns false for something stale.
func (c *Core) observe(m *machine, r *wire.Heartbeat, reported bool) bool {
	if r.AgentEpoch <= m.expiredEpoch || !(heartbeatPosition{m.agentEpoch, m.heartbeatSequence}).before(heartbeatPosition{r.AgentEpoch, r.Sequence}) {
		return false
	}
	if r.FencingToken < max(m.minAcceptedToken, m.acknowledgedToken) {
		// A worker never forgets a token while it lives. So this is from an earlier
		// life, whose counts may be higher than those of the present one, or its worker
		// has begun anew and not yet heard of us. The answer tells it our token.
		return false
	}
	// A machine that opens to work, at its first echo or after a silence, may
	// be what waiting tasks wait for.
	wasOpen := c.accepts(m)
	if m.state == machineStarting {
		m.state, m.epochSeenAt = machineUp, c.now
		c.machineCameUp(m)
	}
	c.describe(m, r.Type, r.Zone, r.Spot, r.Address)
	m.lastHeartbeat = c.now
	c.heardFrom(m)
	if r.AgentEpoch != m.agentEpoch {
		c.epochBegan(m, r.AgentEpoch)
	}
	m.heartbeatSequence = r.Sequence
	c.indexChanged(m)
	m.acknowledgedToken = max(m.acknowledgedToken, r.FencingToken)
	for attempt, fence := range m.unresolvedStarts {
		if m.acknowledgedToken >= fence {
			delete(m.unresolvedStarts, attempt)
		}
	}
	if r.TerminationNoticeS != nil && m.terminationAt == 0 {
		m.terminationAt = c.now + settings.Seconds(*r.TerminationNoticeS)
		c.log.Info("machine will be taken back", "machine", m.name, "seconds", *r.TerminationNoticeS, "bookings", len(m.allocations))
	}
	if r.FencingToken >= m.fencingToken {
		m.lastAcknowledged, m.unacknowledged = c.now, false
	}
	if m.trusted(c.term) {
		// Without our token this may be a copy from before our term, as late as
		// can be: what it lists is not believed.
		c.reconcileTasks(m, r, reported)
	}
	if m.trusted(c.term) && len(m.inDoubtJobs) > 0 {
		// Only now is it certain that no earlier leader's start is on its way.
		c.resolveInDoubt(m, "it has echoed our token")
	}
	if m.terminationAt > 0 {
		c.evictBeforeTermination(m)
	}
	if !wasOpen && c.accepts(m) {
		c.needsPlacement = true
	}
	return true
}

// epochBegan notes that a worker is in another session than before.
func (c *Core) epochBegan(m *machine, session uint64) {
	if m.agentEpoch != 0 {
		c.log.Info("worker began a new session", "machine", m.name, "session", session, "bookings", len(m.allocations))
		c.dropAllocations(m, "its session ended")
		// It has heard no answer for a whole lease.
		c.markUnacknowledged(m)
	}
	// A start sent to the earlier session can't be executed any more.
	clear(m.unresolvedStarts)
	m.agentEpoch = session
	c.changed(m)
	// A session begins with a lease of its own, though nobody has answered
	// it, and this one may have begun just now: what was known of the lease
	// was the session's before.
	m.leaseExpiry = max(m.leaseExpiry, c.now+c.agentLease)
}

// taskOf finds what a line of a report speaks of. The booking is nil when we
// have none for it.
func (c *Core) taskOf(m *machine, t *wire.TaskStatus) (j *job, n int32, b *allocation) {
	if b := m.allocation(t.Attempt); b != nil {
		return c.jobs[b.job], b.task, b
	}
	name, err := wire.ParseTaskName(t.Task)
	at, known := c.jobIndexByID[name.JobID]
	if err != nil || !known || c.jobs[at].spec != nil && name.Index >= c.jobs[at].total {
		return nil, 0, nil
	}
	return c.jobs[at], int32(name.Index), nil
}

// reconcileTasks brings the bookings of a machine in line with a fresh report, or
// with the answer to a direct command.
func (c *Core) reconcileTasks(m *machine, r *wire.Heartbeat, reported bool) {
	c.heartbeatsProcessed++
	for i := range r.Tasks {
		t := &r.Tasks[i]
		j, n, b := c.taskOf(m, t)
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
				c.sendStop(m, b) // no answer goes there that could have it
			}
		}
		b.state, b.lastHeartbeatSeen = allocationConfirmed, c.heartbeatsProcessed
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
	since, known := c.runningSince(b.attempt)
	b.runningSince, b.runStartUnknown = since, !known
	c.taskRuns(b)
	c.changed(m)
	j.startedOnce = true
	m.idleSince = c.now
	if j.spec != nil && m.typ >= 0 {
		m.fetched(j.image, j.spec.ImageGB, c.types[m.typ].CacheGB)
	}
}

// releaseMissing frees the bookings that a machine no longer has, or never will.
func (c *Core) releaseMissing(m *machine, r *wire.Heartbeat, reported bool) {
	for k := len(m.allocations) - 1; k >= 0; k-- {
		b := m.allocations[k]
		if b.lastHeartbeatSeen == c.heartbeatsProcessed {
			continue
		}
		_, unsettled := m.unresolvedStarts[b.attempt]
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
			c.log.Info("attempt is not on its machine", "machine", m.name, "task", c.taskName(b), "attempt", b.attempt, "confirmed", b.state == allocationConfirmed)
			c.release(m, b)
		}
	}
}

// adopt books a task that an earlier leader has started, or returns nil when it
// must not go on.
func (c *Core) adopt(m *machine, j *job, n int32, t *wire.TaskStatus) *allocation {
	if j.spec == nil || j.tasks == nil {
		return nil // over, and forgotten here
	}
	ts := &j.tasks[n]
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
	if _, ok := j.hostAt[m.index]; !ok {
		c.addHost(j, m)
	}
	return b
}

// attemptEnded settles an attempt that its worker reports as ended.
func (c *Core) attemptEnded(m *machine, j *job, n int32, b *allocation, t *wire.TaskStatus) {
	if b == nil && (t.ExitReason != wire.ExitDone || j.tasks == nil || j.over() || j.tasks[n].state != taskWaiting) {
		return // settled before
	}
	if b != nil {
		if t.ExitReason != wire.ExitDone && !t.CheckpointSaved {
			c.lostWork(m, b)
		}
		if t.ExitReason == wire.ExitStopped {
			c.displaced(m, b, t.CheckpointSaved, "it was stopped")
		}
		c.deallocate(m, b)
	}
	switch t.ExitReason {
	case wire.ExitDone:
		if b != nil && b.runningSince > 0 && !b.runStartUnknown {
			c.learnRun(j, c.now-b.runningSince)
		}
		clear(m.failedJobs)
		c.taskEnded(j, n)
	case wire.ExitError:
		c.attemptFailed(m, j, n, t.Attempt)
		c.requeue(j, n)
	case wire.ExitNoSuchTask:
		// The users' upload of the description is not there yet.
		c.holdJob(j)
		c.requeue(j, n)
	case wire.ExitNoRoom, wire.ExitInUse:
		c.log.Info("start refused", "machine", m.name, "task", t.Task, "attempt", t.Attempt, "why", t.ExitReason)
		c.holdJob(j)
		c.requeue(j, n)
	default:
		c.requeue(j, n)
	}
}
