package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// maxOrders keeps a report's answer well below 64 KiB.
const maxOrders = 300

// machineNamed returns the machine of a name, making a place for one that we
// hear of for the first time.
func (c *Core) machineNamed(name string) *machine {
	if i, ok := c.machineAt[name]; ok {
		return c.machines[i]
	}
	name = strings.Clone(name) // mostly a part of a report's body
	m := &machine{index: int32(len(c.machines)), name: name, typ: -1, zone: -1, hired: c.now,
		token: c.term << tokenBits, leaseOver: c.began + c.leaseTime, pool: -1,
		pending: map[uint64]uint64{}, idleSince: c.now}
	c.machineAt[name] = m.index
	c.machines = append(c.machines, m)
	c.live = append(c.live, m)
	return m
}

// describe fills in what a report or the list tells of a machine.
func (c *Core) describe(m *machine, typ, zone string, spot bool, address string) {
	if address != "" && address != m.address {
		m.address = strings.Clone(address)
	}
	m.spot = spot
	m.zone = c.zones.of(zone)
	if typ != m.typeName {
		m.typeName = strings.Clone(typ)
	}
	if t, ok := c.typeAt[typ]; ok && m.typ != t {
		m.typ = t
		used := m.total.Minus(m.free)
		m.total = c.types[t].total
		m.free = m.total.Minus(used)
	}
	c.touch(m)
}

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
	a := openAnswer{to: e.To, machine: m}
	if c.observe(m, r, true) {
		a.report = r
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
			continue // ordersFor stops what it can't place
		}
		if t.Status == wire.TaskEnded {
			c.attemptEnded(m, j, n, b, t)
			continue
		}
		if b == nil {
			if b = c.adopt(m, j, n, t); b == nil {
				continue
			}
		}
		b.state, b.seen = bookConfirmed, c.looks
		if t.Status != b.status {
			b.status = t.Status
			if t.Status == wire.TaskRunning {
				b.ranSince = c.now
				j.begun = true
				m.idleSince = c.now
				if j.spec != nil && m.typ >= 0 {
					m.fetched(j.image, j.spec.ImageGB, c.types[m.typ].CacheGB)
				}
			}
		}
	}
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

func (c *Core) taskName(b *booking) string { return wire.TaskName(c.jobs[b.job].ref, int(b.task)) }

func (m *machine) booking(attempt uint64) *booking {
	for _, b := range m.bookings {
		if b.attempt == attempt {
			return b
		}
	}
	return nil
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
		c.free(m, b)
	}
	switch t.Why {
	case wire.WhyDone:
		if b != nil && b.ranSince > 0 {
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

// holdJob lets a job wait a little before its next start, longer each time.
func (c *Core) holdJob(j *job) {
	if c.now < j.notBefore {
		return
	}
	j.backoff = min(max(j.backoff*2, 500*time.Millisecond), 15*time.Second)
	j.notBefore = c.now + j.backoff
}

// blameLimit is how many different jobs must fail on a machine, with no success
// between, before it counts as faulty; suspectLimit on how many machines a job
// that never succeeded must fail before it is taken for the faulty one.
const (
	blameLimit   = 2
	suspectLimit = 3
)

// suspect tells that rather the job than its machines is at fault.
func (j *job) suspect() bool { return j.done == 0 && len(j.failedOn) >= suspectLimit }

// attemptFailed judges whether the machine or the job is to blame.
func (c *Core) attemptFailed(m *machine, j *job, n int32, attempt uint64) {
	if j.failedOn == nil {
		j.failedOn = map[int32]bool{}
	}
	j.failedOn[m.index] = true
	c.log.Info("task failed", "machine", m.name, "task", wire.TaskName(j.ref, int(n)), "attempt", attempt, "machines", len(j.failedOn))
	if j.suspect() {
		// It is tried again now and then until its user cancels it.
		c.holdJob(j)
		return
	}
	if m.blamedFor == nil {
		m.blamedFor = map[int32]bool{}
	}
	m.blamedFor[j.index] = true
	if len(m.blamedFor) >= blameLimit || j.done > 0 {
		c.quarantine(m)
	}
}

// clearOfBlame notes a success of a job: what failed before was the machines'
// fault.
func (c *Core) clearOfBlame(j *job) {
	for i := range j.failedOn {
		if m := c.machines[i]; m.blamedFor[j.index] {
			c.quarantine(m)
		}
	}
	j.backoff = 0
}

func (c *Core) quarantine(m *machine) {
	if m.quarantine || m.state == machineGone {
		return
	}
	m.quarantine = true
	c.touch(m)
	c.log.Info("machine quarantined: tasks fail on it", "machine", m.name, "jobs", len(m.blamedFor), "bookings", len(m.bookings))
}

// book takes room on a machine. charge is false for a task that is only waited
// for to be gone.
func (c *Core) book(m *machine, j *job, n int32, attempt uint64, charge bool) *booking {
	b := &booking{job: j.index, task: n, zone: m.zone, attempt: attempt, share: j.size.Share(m.total)}
	if charge {
		j.tasks[n].state = taskBooked
	} else {
		b.stopping = true
	}
	if math.IsInf(b.share, 1) {
		b.share = 0
	}
	j.booked++
	j.zoned(b.zone, 1)
	c.classUse[j.class] += j.size.CPUs
	c.teams[j.team].booked = c.teams[j.team].booked.plus(unitsOf(j.size))
	m.free = m.free.Minus(j.size)
	if m.phase != c.goal.Phase {
		m.phase, m.load = c.goal.Phase, 0
	}
	b.phase = m.phase
	m.load += b.share
	m.bookings = append(m.bookings, b)
	m.idleSince = c.now
	c.touch(m)
	return b
}

// free gives a booking's room back.
func (c *Core) free(m *machine, b *booking) {
	for k, o := range m.bookings {
		if o == b {
			m.bookings = append(m.bookings[:k], m.bookings[k+1:]...)
			break
		}
	}
	j := c.jobs[b.job]
	j.booked--
	j.zoned(b.zone, -1)
	c.classUse[j.class] -= j.size.CPUs
	c.teams[j.team].booked = c.teams[j.team].booked.minus(unitsOf(j.size))
	if len(m.bookings) == 0 {
		m.free, m.load = m.total, 0
	} else {
		m.free = m.free.Plus(j.size)
		if b.phase == m.phase {
			m.load = max(0, m.load-b.share)
		}
	}
	m.idleSince = c.now
	c.touch(m)
	c.dirty = true
	c.settleJob(j)
}

// release gives a booking's room back and has its task wait again.
func (c *Core) release(m *machine, b *booking) {
	c.lostWork(m, b)
	c.free(m, b)
	c.requeue(c.jobs[b.job], b.task)
}

// dropBookings frees all of a machine whose tasks are certainly gone.
func (c *Core) dropBookings(m *machine, why string) {
	for len(m.bookings) > 0 {
		b := m.bookings[len(m.bookings)-1]
		c.log.Debug("task lost with its machine", "machine", m.name, "task", c.taskName(b), "why", why)
		c.release(m, b)
	}
	m.outbox = nil
}

// stopBooking has an attempt stopped. What was never sent is simply freed.
func (c *Core) stopBooking(m *machine, b *booking, grace float64) {
	if b.state <= bookQueued {
		c.release(m, b)
		return
	}
	b.stopping, b.grace = true, grace
	c.order(m, stopOrder(c.taskName(b), b.attempt, grace))
}

// gone notes that a machine and all on it is no more.
func (c *Core) gone(m *machine, why string) {
	if m.state == machineGone {
		return
	}
	c.log.Info("machine is gone", "machine", m.name, "why", why, "bookings", len(m.bookings))
	m.state = machineGone
	c.dropBookings(m, why)
	clear(m.pending)
	c.clearMachine(m, why)
	c.index.Leave(m.index)
	c.hireSeen(m)
	if m.hostOf > 0 {
		m.goneNoted = true
		c.put(ledger.Write{Key: ledger.GoneKey(m.name), Value: true})
	}
	c.dirty = true
}

// silentAfter is when a machine that said nothing gets no more work.
func (c *Core) silentAfter() time.Duration { return c.report*2 + time.Second }

// checkMachine does what time alone does to a machine.
func (c *Core) checkMachine(m *machine) {
	if m.state == machineGone || c.now < m.leaseOver || m.answered > 0 && c.now < m.answered+c.leaseTime {
		return
	}
	// Its worker has had no answer for a whole lease: whatever it ran is over.
	if len(m.unclear) > 0 {
		c.clearMachine(m, "its lease is over")
	}
	// This holds as well while a deletion is asked for and not answered.
	if len(m.bookings) > 0 {
		c.log.Info("machine lost: its lease is over", "machine", m.name, "bookings", len(m.bookings))
		c.dropBookings(m, "its lease is over")
	}
	// Starts of that session are refused from now on, and whatever a late copy
	// of its reports says is over as well.
	clear(m.pending)
	m.over = m.session
}

// drain stops what can save its progress on a machine that is to be taken.
func (c *Core) drain(m *machine) {
	left := m.noticeAt - c.now
	for k := len(m.bookings) - 1; k >= 0; k-- {
		b := m.bookings[k]
		j := c.jobs[b.job]
		if b.stopping || j.spec == nil {
			continue
		}
		if b.state <= bookQueued {
			c.stopBooking(m, b, 0)
			continue
		}
		save := settings.Seconds(j.spec.SaveS)
		if j.spec.CheckpointS > 0 && save < left {
			c.stopBooking(m, b, max(left.Seconds(), j.spec.SaveS))
			continue
		}
		// It can't save. Let it go on only if it may well end in time.
		if ran := c.now - b.ranSince; b.status == wire.TaskRunning && c.expectedRun(j)-ran < left {
			continue
		}
		c.stopBooking(m, b, 0)
	}
}

// machineCameUp learns from a machine's first word.
func (c *Core) machineCameUp(m *machine) {
	c.log.Info("machine is up", "machine", m.name, "seconds", (c.now - m.hired).Seconds())
	if m.typ >= 0 && m.hireName != "" {
		t := &c.types[m.typ]
		t.boot += (c.now - m.hired - t.boot) / 4
	}
	c.hireSeen(m)
	c.dirty = true
}

// addHost notes that a job's tasks may be on a machine. That is written at the end
// of the step, and durable before the first start there.
func (c *Core) addHost(j *job, m *machine) {
	j.hostAt[m.index] = len(j.hosts)
	j.hosts = append(j.hosts, host{machine: m.index})
	m.hostOf++
	c.unwrittenJob(j)
}

// unwrittenJob has what is new about a job written at the end of the step: a
// burst brings dozens of machines and ended tasks of one job in a step, and each
// by itself would be written with all that came before it.
func (c *Core) unwrittenJob(j *job) {
	if !j.unwritten {
		j.unwritten = true
		c.unwritten = append(c.unwritten, j)
	}
}

// writeJobs writes what is new about jobs.
func (c *Core) writeJobs() {
	for _, j := range c.unwritten {
		j.unwritten = false
		if j.tasks != nil {
			c.writeHosts(j)
			c.writeDone(j)
		}
	}
	clear(c.unwritten)
	c.unwritten = c.unwritten[:0]
}

// writeHosts writes the chunks in which a job has new hosts.
func (c *Core) writeHosts(j *job) {
	for from := j.hostsPut; from < len(j.hosts); {
		first, names := 0, []string(nil)
		if n := len(j.hostChunks); n > 0 {
			first = j.hostChunks[n-1]
			names = c.chunkFrom(j, first)
		}
		if first+len(names) <= from {
			// There is none, or the last one is full.
			j.hostChunks = append(j.hostChunks, from)
			first, names = from, c.chunkFrom(j, from)
		}
		to := first + len(names)
		c.put(ledger.Write{Key: ledger.HostKey(j.ref, len(j.hostChunks)-1), Value: names, Urgent: true, Tag: hostTag{j.index, from, to}})
		from = to
	}
	j.hostsPut = len(j.hosts)
}

// chunkFrom names the hosts of a job, from one of them on, that go into one key.
func (c *Core) chunkFrom(j *job, first int) []string {
	hosts := j.hosts[first:min(first+ledger.ChunkHosts, len(j.hosts))]
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = c.machines[h.machine].name
	}
	return names[:ledger.NamesFit(names, c.cfg.ValueBytes)]
}

// writeDone writes the chunks in which a job has tasks that have ended since they
// were last written. Of a job that is over, its record tells all.
func (c *Core) writeDone(j *job) {
	ended := j.ended
	j.ended = nil
	if j.over() {
		return
	}
	slices.Sort(ended)
	for len(ended) > 0 {
		chunk := int(ended[0]) / ledger.ChunkTasks
		n, _ := slices.BinarySearch(ended, int32((chunk+1)*ledger.ChunkTasks))
		c.writeChunk(j, chunk, ended[:n])
		ended = ended[n:]
	}
}

// writeChunk writes the finished tasks of one chunk, some of which are new.
func (c *Core) writeChunk(j *job, chunk int, ended []int32) {
	first := chunk * ledger.ChunkTasks
	size := min(ledger.ChunkTasks, j.total-first)
	done := func(i int) bool { return j.tasks[first+i].state >= taskDone }
	ranges := ledger.EncodeRanges(done, size)
	if ranges.Size() <= c.cfg.ValueBytes {
		key := ledger.FinKey(j.ref, chunk)
		j.fin(key)
		c.put(ledger.Write{Key: key, Value: ranges, Tag: finTag{j.index, ended}})
		return
	}
	// It has to be written in parts; all of them the first time, since the chunk's
	// own key may not hold what has ended since it was last written.
	all := !j.inParts[chunk]
	if j.inParts == nil {
		j.inParts = map[int]bool{}
	}
	j.inParts[chunk] = true
	part := ledger.PartTasks(c.cfg.ValueBytes)
	for from := 0; from < size; from += part {
		to := min(from+part, size)
		n, _ := slices.BinarySearch(ended, int32(first+to))
		ranges := ledger.EncodeRanges(func(i int) bool { return i >= from && done(i) }, to)
		if len(ranges) > 0 && (all || n > 0) {
			key := ledger.FinPartKey(j.ref, chunk, from)
			j.fin(key)
			w := ledger.Write{Key: key, Value: ranges}
			if n > 0 {
				w.Tag = finTag{j.index, ended[:n]}
			}
			c.put(w)
		}
		ended = ended[n:]
	}
}
