package scheduler

import (
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// maxOrders keeps a report's answer well below 64 KiB.
const maxOrders = 300

func (c *Core) reportIn(e ReportIn) {
	r := e.Report
	if r.Token>>tokenBits > c.term {
		// A newer leader has spoken to this worker: we must not.
		c.log.Info("a worker has seen a newer term", "machine", r.Machine, "token", r.Token)
		c.emit(AnswerReport{To: e.To})
		return
	}
	m := c.machineNamed(r.Machine)
	if m.state == machineGone {
		c.emit(AnswerReport{To: e.To})
		return
	}
	c.lives(m)
	a := openAnswer{to: e.To, machine: m, report: r}
	if c.observe(m, r, true) {
		if m.awaiting != nil {
			// Its worker has given up the answer to an earlier one.
			m.awaiting = nil
			if len(m.outbox) > 0 {
				c.outboxes = append(c.outboxes, m)
			}
		}
		m.asking = len(c.answers) + 1
		c.raiseToken(m)
	} else {
		a.outdated = true
		c.staleReport(m, r)
	}
	if r.Session <= m.over {
		// That session must have ended. An answer could keep it alive if it had
		// not, with tasks that are booked nowhere any more.
		c.emit(AnswerReport{To: e.To})
		return
	}
	// The worker counts its lease from when it sent the report. That was
	// before we heard of anything newer from it, so counting from the last
	// word that we believed is late enough, also for a late copy.
	m.answered = max(m.answered, m.heard)
	m.leaseOver = max(m.leaseOver, m.heard+c.leaseTime)
	c.answers = append(c.answers, a)
}

// observe takes in what a worker tells, in a report or in the answer to a
// direct command. It returns false for something stale.
func (c *Core) observe(m *machine, r *wire.Report, reported bool) bool {
	if r.Session <= m.over || !(stamp{m.session, m.seq}).before(stamp{r.Session, r.Seq}) {
		return false
	}
	if r.Token < max(m.floor, m.echo) {
		// A worker never forgets a token while it lives. So this is from an earlier
		// life, whose counts may be higher than those of the present one, or its worker
		// has begun anew and not yet heard of us. The answer tells it our token.
		return false
	}
	// A machine that opens to work, at its first echo or after a silence, may
	// be what waiting tasks wait for.
	wasOpen := c.open(m)
	if m.state == machineBooting {
		m.state, m.begun = machineUp, c.now
		c.machineCameUp(m)
	}
	c.describe(m, r.Type, r.Zone, r.Spot, r.Address)
	m.heard = c.now
	c.lives(m)
	if r.Session != m.session {
		c.sessionBegan(m, r.Session)
	}
	m.seq = r.Seq
	c.touch(m)
	m.echo = max(m.echo, r.Token)
	for attempt, fence := range m.pending {
		if m.echo >= fence {
			delete(m.pending, attempt)
		}
	}
	if r.NoticeS != nil && m.noticeAt == 0 {
		m.noticeAt = c.now + settings.Seconds(*r.NoticeS)
		c.log.Info("machine will be taken back", "machine", m.name, "seconds", *r.NoticeS, "bookings", len(m.bookings))
	}
	if r.Token >= m.token {
		m.echoed, m.doubted = c.now, false
	}
	if m.known(c.term) {
		// Without our token this may be a copy from before our term, as late as
		// can be: what it lists is not believed.
		c.matchTasks(m, r, reported)
	}
	if m.known(c.term) && len(m.unclear) > 0 {
		// Only now is it certain that no earlier leader's start is on its way.
		c.clearMachine(m, "it has echoed our token")
	}
	if m.noticeAt > 0 {
		c.drain(m)
	}
	if !wasOpen && c.open(m) {
		c.dirty = true
	}
	return true
}

// sessionBegan notes that a worker is in another session than before.
func (c *Core) sessionBegan(m *machine, session uint64) {
	if m.session != 0 {
		c.log.Info("worker began a new session", "machine", m.name, "session", session, "bookings", len(m.bookings))
		c.dropBookings(m, "its session ended")
		// It has heard no answer for a whole lease.
		c.unheard(m)
	}
	// A start sent to the earlier session can't be executed any more.
	clear(m.pending)
	m.session = session
	c.changed(m)
	// A session begins with a lease of its own, though nobody has answered
	// it, and this one may have begun just now: what was known of the lease
	// was the session's before.
	m.leaseOver = max(m.leaseOver, c.now+c.leaseTime)
}

// taskOf finds what a line of a report speaks of. The booking is nil when we
// have none for it.
func (c *Core) taskOf(m *machine, t *wire.TaskReport) (j *job, n int32, b *booking) {
	if b := m.booking(t.Attempt); b != nil {
		return c.jobs[b.job], b.task, b
	}
	ref, k, ok := wire.SplitTask(t.Task)
	at, known := c.jobIndex[ref]
	if !ok || !known || c.jobs[at].spec != nil && k >= c.jobs[at].total {
		return nil, 0, nil
	}
	return c.jobs[at], int32(k), nil
}

// matchTasks brings the bookings of a machine in line with a fresh report, or
// with the answer to a direct command.
func (c *Core) matchTasks(m *machine, r *wire.Report, reported bool) {
	c.looks++
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
				c.orderStop(m, b) // no answer goes there that could have it
			}
		}
		b.state, b.seen = bookConfirmed, c.looks
		if t.Status != b.status {
			c.statusChanged(m, j, b, t.Status)
		}
	}
	c.releaseMissing(m, r, reported)
}

// statusChanged notes another state of a task than was last reported.
func (c *Core) statusChanged(m *machine, j *job, b *booking, status string) {
	b.status = status
	if status != wire.TaskRunning {
		return
	}
	since, known := c.runningSince(b.attempt)
	b.ranSince, b.late = since, !known
	c.taskRuns(b)
	c.changed(m)
	j.begun = true
	m.idleSince = c.now
	if j.spec != nil && m.typ >= 0 {
		m.fetched(j.image, j.spec.ImageGB, c.types[m.typ].CacheGB)
	}
}

// releaseMissing frees the bookings that a machine no longer has, or never will.
func (c *Core) releaseMissing(m *machine, r *wire.Report, reported bool) {
	for k := len(m.bookings) - 1; k >= 0; k-- {
		b := m.bookings[k]
		if b.seen == c.looks {
			continue
		}
		_, unsettled := m.pending[b.attempt]
		switch {
		case b.state <= bookQueued, unsettled:
			// Not sent yet, or it may still be executed.
		case b.state == bookSent && b.answered > 0 && (!reported || r.Seq <= b.answered):
			// The answer that carries its start may still be on its way: the
			// worker's next report is sent only after it, or after it is given
			// up.
		default:
			// Either a start whose outcome was unknown and which a raised token
			// has ruled out, or an attempt that the worker no longer knows.
			if b.state == bookSent && b.answered > 0 {
				c.unheard(m)
			}
			c.log.Info("attempt is not on its machine", "machine", m.name, "task", c.taskName(b), "attempt", b.attempt, "confirmed", b.state == bookConfirmed)
			c.release(m, b)
		}
	}
}

// adopt books a task that an earlier leader has started, or returns nil when it
// must not go on.
func (c *Core) adopt(m *machine, j *job, n int32, t *wire.TaskReport) *booking {
	if j.spec == nil || j.tasks == nil {
		return nil // over, and forgotten here
	}
	ts := &j.tasks[n]
	if j.over() {
		// It counts for its team until it is gone.
		return c.book(m, j, n, t.Attempt, false)
	}
	if ts.state != taskWaiting {
		c.log.Error("task reported where it should not be", "machine", m.name, "task", t.Task, "attempt", t.Attempt, "state", ts.state)
		return nil
	}
	j.dropWaiting(n)
	b := c.book(m, j, n, t.Attempt, true)
	if _, ok := j.hostAt[m.index]; !ok {
		c.addHost(j, m)
	}
	return b
}

// attemptEnded settles an attempt that its worker reports as ended.
func (c *Core) attemptEnded(m *machine, j *job, n int32, b *booking, t *wire.TaskReport) {
	if b == nil && (t.Why != wire.WhyDone || j.tasks == nil || j.over() || j.tasks[n].state != taskWaiting) {
		return // settled before
	}
	if b != nil {
		if t.Why != wire.WhyDone && !t.Saved {
			c.lostWork(m, b)
		}
		if t.Why == wire.WhyStopped {
			c.displaced(m, b, t.Saved, "it was stopped")
		}
		c.free(m, b)
	}
	switch t.Why {
	case wire.WhyDone:
		if b != nil && b.ranSince > 0 && !b.late {
			c.learnRun(j, c.now-b.ranSince)
		}
		clear(m.blamedFor)
		c.taskEnded(j, n)
	case wire.WhyError:
		c.attemptFailed(m, j, n, t.Attempt)
		c.requeue(j, n)
	case wire.WhyNoSuch:
		// The users' upload of the description is not there yet.
		c.holdJob(j)
		c.requeue(j, n)
	case wire.WhyNoRoom, wire.WhyInUse:
		c.log.Info("start refused", "machine", m.name, "task", t.Task, "attempt", t.Attempt, "why", t.Why)
		c.holdJob(j)
		c.requeue(j, n)
	default:
		c.requeue(j, n)
	}
}
