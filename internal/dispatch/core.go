package dispatch

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"leadproxy/internal/fleet"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// Core is the leader's state for one term. Step is its only way in.
type Core struct {
	cfg Config
	log *slog.Logger
	// debug spares the cost of lines for each task that nobody reads.
	debug bool
	term  uint64
	now   time.Duration
	wall  int64 // time of day in ms at now

	began     time.Duration
	ticked    time.Duration   // last tick
	cutAt     []time.Duration // by zone: when it last seemed to be cut off
	awake     time.Duration   // since when ticks have come without a break
	leaseTime time.Duration   // a worker's lease, stretched by drift and margin
	report    time.Duration

	jobs      []*job
	jobIndex  map[string]int32
	machines  []*machine
	machineAt map[string]int32
	live      []*machine // all that are not gone
	zones     names
	images    names
	classes   names
	aims      []classAims // by class
	types     []machineType
	typeAt    map[string]int32
	teams     []team
	teamAt    map[string]int32
	spareTeam int32 // for jobs of teams that the settings no longer name

	active    []*job             // jobs that are not settled
	unseen    map[string][]int32 // jobs that wait for one that this leader has not seen
	aborting  map[int32]bool     // jobs whose cancellation is being written
	goal      slowfit.Goal
	calmSince time.Duration
	index     slowfit.Index
	pools     []poolKey // by the index's numbers
	poolAt    map[poolKey]int32
	stale     []*machine // to be brought up to date in the index
	unwritten []*job     // with something new for the ledger
	reporting int        // machines that should be
	openCores float64    // of the machines in the index
	classUse  []float64  // booked cores, by class
	notes     []*note
	freeNotes []string // keys that hold no note any more
	noteCount int
	nextNotes time.Duration
	// How many tags of writes are not durable yet, and since when none has
	// become so.
	wantDurable  int
	durableAt    time.Duration
	held         []openAnswer // to machines that are noted as silent
	holders      []*job       // jobs for which a machine is kept free
	toProbe      []*machine
	probing      int
	probesAtOnce int
	inspects     int // workers that are being asked what they are
	attempts     uint64
	looks        uint64       // reports looked at
	answers      []openAnswer // of this step
	awaiting     []openAnswer // that wait for starts to be written down
	outboxes     []*machine   // with orders of this step
	calls        map[uint64]*directCall
	callID       uint64
	dirty        bool
	fleet        fleetState

	// What the machines have cost since it was last logged, and until when that is
	// reckoned.
	spent          spending
	spentUntil     time.Duration
	spendingLogged time.Duration

	out []Effect
}

type machineType struct {
	wire.MachineType
	total slowfit.Size
	zones []int32
	boot  time.Duration // learned
}

// price is what a machine of the type costs per hour at present.
func (t *machineType) price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

type directCall struct {
	machine  *machine
	session  uint64
	token    uint64
	attempts []uint64
	probe    bool
	sent     time.Duration // of a probe
}

// NewCore starts a term from what the ledger holds. now is the node's steady
// time, wall the time of day in ms.
func NewCore(cfg Config, s ledger.Snapshot, now time.Duration, wall int64, log *slog.Logger) *Core {
	w := cfg.Platform.Facts.Workers
	c := &Core{
		cfg: cfg, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug), term: cfg.Term, now: now, wall: wall, began: now, ticked: now, awake: now, spentUntil: now, spendingLogged: now,
		leaseTime: settings.Stretch(settings.Seconds(w.LeaseS)) + 250*time.Millisecond,
		report:    settings.Seconds(w.ReportS),
		unseen:    map[string][]int32{}, aborting: map[int32]bool{},
		jobIndex: map[string]int32{}, machineAt: map[string]int32{},
		typeAt: map[string]int32{}, teamAt: map[string]int32{},
		goal:         slowfit.Goal{C: cfg.Operator.SlowFitC},
		probesAtOnce: fewProbes, calls: map[uint64]*directCall{}, poolAt: map[poolKey]int32{},
	}
	for _, t := range cfg.Platform.Facts.Teams {
		c.teamAt[t.Name] = int32(len(c.teams))
		c.teams = append(c.teams, team{guarantee: limitUnits(t.CPUs, t.GPUs), limit: limitUnits(t.CPUsMax, t.GPUsMax)})
	}
	c.spareTeam = int32(len(c.teams))
	c.teams = append(c.teams, team{})
	c.fleet.begin()
	c.fleet.limited = make([]fleet.Stream, len(c.teams))
	for _, name := range s.Gone {
		m := c.machineNamed(name)
		m.state, m.goneNoted = machineGone, true
	}
	for i := range s.Jobs {
		c.restore(&s.Jobs[i])
	}
	c.restoreLinks()
	for _, h := range s.Hires {
		c.restoreHire(h)
	}
	c.restoreNotes(s.Silent)
	c.flush()
	return c
}

// Step takes one event. What follows from it, and from others that came with
// it, is told by Settle.
func (c *Core) Step(event Event, now time.Duration, wall int64) {
	c.now, c.wall = now, wall
	switch e := event.(type) {
	case JobSeen:
		c.jobSeen(e)
	case ReportIn:
		c.reportIn(e)
	case DirectBack:
		c.directBack(e)
	case InspectBack:
		c.inspectBack(e)
	case CancelAsked:
		c.cancelAsked(e)
	case StatusAsked:
		c.statusAsked(e)
	case NowDurable:
		c.wantDurable, c.durableAt = c.wantDurable-len(e.Tags), c.now
		for _, tag := range e.Tags {
			c.durable(tag)
		}
	case CloudBack:
		c.cloudBack(e.Result)
	case Formats:
		c.cfg.ValueBytes = e.ValueBytes
	case Rejected:
		c.wantDurable -= len(e.Tags)
		for _, tag := range e.Tags {
			c.rejected(tag)
		}
	case Tick:
		c.tick()
	}
}

// Unplaced tells whether Settle would place tasks.
func (c *Core) Unplaced() bool { return c.dirty }

// Settle places what can be placed after one or more steps and returns all that
// must be done. Under load many events share one placement.
func (c *Core) Settle() []Effect {
	if c.dirty {
		c.dirty = false
		c.place()
	}
	c.flush()
	out := c.out
	c.out = nil
	return out
}

// TakeStart returns the effects of NewCore.
func (c *Core) TakeStart() []Effect {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) emit(effect Effect) { c.out = append(c.out, effect) }

func (c *Core) put(w ledger.Write) {
	if w.Tag != nil {
		if c.wantDurable == 0 {
			c.durableAt = c.now
		}
		c.wantDurable++
	}
	c.emit(Put{Writes: []ledger.Write{w}})
}

// longestTick is how far apart two ticks can be while we are well.
const longestTick = 2 * time.Second

// tick does what time alone brings.
func (c *Core) tick() {
	if c.now-c.ticked > longestTick {
		// We were suspended, or starved. Nobody was heard through no fault of
		// theirs.
		c.awake = c.now
	}
	c.ticked = c.now
	c.spend()
	for _, m := range c.live {
		c.checkMachine(m)
		if m.isOpen != c.open(m) {
			// It has fallen silent, or is no longer shunned.
			c.touch(m)
			c.dirty = true
		}
	}
	for _, j := range c.active {
		if j.notBefore > 0 && c.now >= j.notBefore {
			j.notBefore = 0
			c.dirty = true
		}
	}
	c.sweep()
	c.noteSilence()
	c.dropNotes()
	c.fleetTick()
	c.lowerGoal()
}

// anyWaiting tells whether some task could be placed if there were room.
func (c *Core) anyWaiting() bool {
	return slices.ContainsFunc(c.active, func(j *job) bool { return j.placeable(c.now) })
}

// calmFor is how long nothing must have waited before the goal falls.
const calmFor = 5 * time.Second

// lowerGoal lets the goal fall after a burst, since in the paper it never
// does and would stop limiting anything. The mean load of the machines stands
// for the optimum: no placement brings the busiest one below that.
func (c *Core) lowerGoal() {
	if c.anyWaiting() {
		c.calmSince = c.now
		return
	}
	if c.now-c.calmSince < calmFor {
		return
	}
	c.calmSince = c.now
	load, n := 0.0, 0
	for _, m := range c.live {
		if c.open(m) {
			n++
			for _, b := range m.bookings {
				load += b.share
			}
		}
	}
	if n > 0 {
		before := c.goal.L
		c.goal.Fall(load / float64(n))
		if c.goal.L != before {
			c.index.ClearLoads()
			c.log.Debug("goal lowered", "from", before, "to", c.goal.L, "mean_load", load/float64(n))
		}
	}
}

// sweep forgets jobs and machines that need no more attention.
func (c *Core) sweep() {
	keep := c.active[:0]
	for _, j := range c.active {
		if !j.settled {
			keep = append(keep, j)
		}
	}
	clear(c.active[len(keep):])
	c.active = keep
	live := c.live[:0]
	for _, m := range c.live {
		if m.state != machineGone || m.goneNoted && m.hostOf > 0 {
			live = append(live, m)
		} else if m.goneNoted {
			m.goneNoted = false
			c.put(ledger.Write{Key: ledger.GoneKey(m.name)})
		}
	}
	clear(c.live[len(live):])
	c.live = live
}

// --- jobs ---

func (c *Core) newJob(ref string, rec ledger.JobRecord, version uint64) *job {
	j := &job{index: int32(len(c.jobs)), ref: ref, spec: rec.Job, version: version, accept: rec.AcceptedMS,
		terminal: rec.Terminal, terminalDurable: rec.Terminal != "", total: rec.Tasks, done: rec.Done, due: never, zone: -1}
	if rec.EndedMS > 0 {
		j.doneAt = c.ago(rec.EndedMS)
	}
	c.jobIndex[ref] = j.index
	c.jobs = append(c.jobs, j)
	s := rec.Job
	if s == nil {
		j.settled = true
		return j
	}
	j.arrived = c.ago(rec.AcceptedMS)
	if s.DeadlineS != nil {
		j.due = j.arrived + settings.Seconds(*s.DeadlineS)
	}
	j.rank = s.Rank()
	j.size = slowfit.Size{CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.MemGB}
	j.class = c.classOf(s.Class)
	j.image = c.images.of(s.Image)
	if s.Zone != nil {
		j.zone = c.zones.of(*s.Zone)
	}
	j.team = c.teamOf(s.Team)
	j.total = s.Tasks
	j.hostAt = map[int32]int{}
	j.tasks = make([]task, s.Tasks)
	c.active = append(c.active, j)
	return j
}

// ago is the steady time of a moment in the past, given by the time of day in ms.
func (c *Core) ago(ms int64) time.Duration {
	return c.now - max(0, time.Duration(c.wall-ms)*time.Millisecond)
}

// classAims is what the settings ask for a class.
type classAims struct {
	wait time.Duration // its tasks should have started by then; 0: no aim
}

// classOf returns a class's index and makes room for what is kept by class.
func (c *Core) classOf(name string) int32 {
	i := c.classes.of(name)
	for int(i) >= len(c.aims) {
		c.aims = append(c.aims, classAims{})
		c.classUse = append(c.classUse, 0)
		c.fleet.streams = append(c.fleet.streams, fleet.Stream{})
		c.fleet.ratios = append(c.fleet.ratios, 0)
		for _, o := range c.cfg.Platform.Facts.Objectives {
			if o.Kind == "wait" && o.Class == name {
				c.aims[i] = classAims{wait: settings.Seconds(o.WithinS)}
			}
		}
	}
	return i
}

// teamOf returns a team's index.
func (c *Core) teamOf(name string) int32 {
	if i, ok := c.teamAt[name]; ok {
		return i
	}
	return c.spareTeam
}

// fillWaiting lists the waiting tasks, the lowest number to go first.
func (j *job) fillWaiting() {
	j.waiting = make([]int32, 0, max(0, len(j.tasks)-j.done))
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if j.tasks[i].state == taskWaiting {
			j.waiting = append(j.waiting, int32(i))
		}
	}
}

func (c *Core) jobSeen(e JobSeen) *job {
	if i, ok := c.jobIndex[e.Ref]; ok {
		return c.jobs[i]
	}
	j := c.newJob(e.Ref, e.Record, e.Version)
	j.fillWaiting()
	c.link(j)
	if j.terminalDurable {
		// Its end was written while this leader had not seen it yet.
		c.releaseDependents(j)
	}
	switch {
	case j.settled:
		return j
	case j.over():
		c.settleJob(j)
		return j
	}
	c.log.Debug("job accepted", "job", j.ref, "tasks", j.total, "cpus", j.size.CPUs, "class", j.spec.Class)
	c.settleLinks(j)
	if !j.over() && !j.blocked() {
		c.arrived(j)
	}
	c.raiseBy(j)
	c.dirty = true
	return j
}

// restore takes a job from the ledger at the start of a term.
func (c *Core) restore(s *ledger.SavedJob) {
	if s.Record.Job == nil && s.Record.Terminal == "" {
		// Ranges or hosts whose job record is missing: records are never
		// deleted, so there is nothing that could run.
		c.log.Error("ledger has traces of a job without a record", "job", s.Ref)
		return
	}
	j := c.newJob(s.Ref, s.Record, s.Version)
	if s.Record.Class != "" {
		accepted := c.now - time.Duration(c.wall-s.Record.AcceptedMS)*time.Millisecond
		c.learnArrival(c.classOf(s.Record.Class), c.teamOf(s.Record.Team), accepted, s.Record.Cores, s.Record.RunS)
	}
	if j.spec == nil {
		// It is done; an earlier leader was stopped while it tidied up.
		for _, h := range s.Hosts {
			c.put(ledger.Write{Key: h.Key})
		}
		for _, f := range s.Finished {
			c.put(ledger.Write{Key: f.Key})
		}
		return
	}
	finished := 0
	for _, f := range s.Finished {
		j.fin(f.Key)
		f.Ranges.Each(func(i int) {
			if n := f.Chunk*ledger.ChunkTasks + i; n < len(j.tasks) && j.tasks[n].state != taskDurable {
				j.tasks[n].state = taskDurable
				finished++
			}
		})
	}
	// A cancelled job's record has the count as well, and the ranges may be
	// there still: counted twice they were more than its tasks, and no node
	// could begin a term.
	j.done = max(j.done, finished)
	j.fillWaiting()
	j.begun = j.done > 0 || len(s.Hosts) > 0
	c.restoreHosts(j, s.Hosts)
	if s.HostsUnknown {
		// Its tasks may be on machines that nobody can name. Those that live report
		// within a lease, and what the others ran is over by then.
		j.notBefore = c.now + c.leaseTime
	}
	if !waitsFor(&s.Record) {
		c.arrived(j)
	}
	switch {
	case j.over():
		c.settleJob(j)
	case j.done == j.total:
		c.finish(j, wire.Done)
	}
	c.dirty = true
}

// restoreHosts notes the machines that a job's tasks may be on. Until each has
// been heard of, or must have ended them, unseen tasks are neither placed
// again nor taken for free.
func (c *Core) restoreHosts(j *job, chunks []ledger.SavedHosts) {
	for _, chunk := range chunks {
		// A key that is missing, as its deletion was under way, keeps its number.
		for len(j.hostChunks) <= chunk.Chunk {
			j.hostChunks = append(j.hostChunks, len(j.hosts))
		}
		c.restoreChunk(j, chunk.Machines)
	}
}

func (c *Core) restoreChunk(j *job, hosts []string) {
	for _, name := range hosts {
		m := c.machineNamed(name)
		if _, ok := j.hostAt[m.index]; ok {
			continue
		}
		j.hostAt[m.index] = len(j.hosts)
		j.hosts = append(j.hosts, host{machine: m.index, durable: true})
		j.hostsPut = len(j.hosts)
		m.hostOf++
		if m.state == machineGone {
			continue
		}
		if j.unclear == nil {
			j.unclear = map[int32]bool{}
		}
		j.unclear[m.index] = true
		m.unclear = append(m.unclear, j.index)
	}
}

// clearMachine ends the doubt about what an earlier leader started on m.
func (c *Core) clearMachine(m *machine, why string) {
	if len(m.unclear) > 0 {
		c.log.Debug("earlier starts on a machine are settled", "machine", m.name, "why", why, "jobs", len(m.unclear), "after", (c.now - c.began).Seconds())
	}
	for _, i := range m.unclear {
		j := c.jobs[i]
		delete(j.unclear, m.index)
		if len(j.unclear) == 0 {
			c.dirty = true
			if j.over() {
				c.settleJob(j)
			}
		}
	}
	m.unclear = nil
}

func (c *Core) statusAsked(e StatusAsked) {
	i, ok := c.jobIndex[e.Ref]
	if !ok {
		c.emit(AnswerUser{To: e.To})
		return
	}
	j := c.jobs[i]
	c.emit(AnswerUser{To: e.To, Known: true, Status: c.status(j), Deciding: c.deciding(j)})
}

// status is what may be told about a job: a terminal state only once it is
// durable.
func (c *Core) status(j *job) wire.JobStatus {
	s := wire.JobStatus{Ref: j.ref, Status: wire.Queued, Done: j.done}
	switch {
	case j.terminalDurable:
		s.Status = j.terminal
		if j.terminal == wire.Done {
			s.Done = j.total
		}
	default:
		if j.tasks != nil {
			s.Running = c.runningTasks(j)
		}
		if s.Running > 0 {
			s.Status = wire.Running
		}
	}
	return s
}

func (c *Core) runningTasks(j *job) int {
	n := 0
	if j.booked == 0 {
		return 0
	}
	for _, h := range j.hosts {
		for _, b := range c.machines[h.machine].bookings {
			if b.job == j.index && b.status == wire.TaskRunning {
				n++
			}
		}
	}
	return n
}

func (c *Core) cancelAsked(e CancelAsked) {
	i, ok := c.jobIndex[e.Ref]
	if !ok {
		c.emit(AnswerUser{To: e.To})
		return
	}
	j := c.jobs[i]
	if j.terminalDurable {
		c.emit(AnswerUser{To: e.To, Known: true, Status: c.status(j)})
		return
	}
	j.waiters = append(j.waiters, e.To)
	if !j.over() {
		c.log.Debug("job is being cancelled", "job", j.ref)
		c.finish(j, wire.Aborted)
		// Its tasks are stopped now, not when that is durable: the write may be
		// carried out and its answer lost, other nodes read it and tell the user,
		// and we learn of it only after an outage. What its tasks do from here on
		// is of no use to anybody.
		c.stopTasks(j)
	}
}

// stopTasks has all tasks of a job stopped.
func (c *Core) stopTasks(j *job) {
	if j.booked == 0 {
		return
	}
	for _, m := range c.live {
		for k := len(m.bookings) - 1; k >= 0; k-- {
			if b := m.bookings[k]; b.job == j.index && !b.stopping {
				c.stopBooking(m, b, 0)
			}
		}
	}
}

// finish decides a job's terminal state and writes it. It is told when it
// is durable.
func (c *Core) finish(j *job, terminal string) {
	j.terminal = terminal
	if terminal == wire.Aborted {
		c.aborting[j.index] = true
	}
	c.writeTerminal(j, true)
}

// writeTerminal writes a job's terminal state.
func (c *Core) writeTerminal(j *job, urgent bool) {
	rec := ledger.JobRecord{AcceptedMS: j.accept, Terminal: j.terminal, Tasks: j.total, Done: j.done, EndedMS: c.wall}
	if j.terminal == wire.Aborted {
		// What a new leader needs stays: it charges the team for tasks that it has
		// not yet seen gone. The whole description may be more than fits by now.
		rec.Job = j.spec.Essence()
	} else {
		rec.Class, rec.Team, rec.Cores, rec.RunS = j.spec.Class, j.spec.Team, j.size.CPUs*float64(j.total), c.expectedRun(j).Seconds()
	}
	c.put(ledger.Write{Key: ledger.JobKey(j.ref), Value: rec, Urgent: urgent, Version: j.version, Tag: terminalTag{j.index}})
}

func (c *Core) terminalIsDurable(j *job) {
	if j.terminalDurable {
		return // it followed from another job's end before its own record was written
	}
	j.terminalDurable = true
	delete(c.aborting, j.index)
	j.waiting = nil
	c.log.Debug("job is over", "job", j.ref, "state", j.terminal, "seconds", (c.now - j.arrived).Seconds(), "late", c.now > j.due)
	for _, to := range j.waiters {
		c.emit(AnswerUser{To: to, Known: true, Status: c.status(j)})
	}
	j.waiters = nil
	c.stopTasks(j)
	c.dirty = true
	c.releaseDependents(j)
	c.settleJob(j)
}

// settleJob drops what is kept for a job that is over, once nothing of it is on
// any machine any more.
func (c *Core) settleJob(j *job) {
	if !j.terminalDurable || j.settled || j.booked > 0 || len(j.unclear) > 0 {
		return
	}
	j.settled = true
	c.dropKeys(j)
	for _, h := range j.hosts {
		c.machines[h.machine].hostOf--
	}
	j.tasks, j.hosts, j.hostAt, j.failedOn, j.hostChunks, j.finKeys = nil, nil, nil, nil, nil, nil
}

// fin notes a key of finished tasks.
func (j *job) fin(key string) {
	if j.finKeys == nil {
		j.finKeys = map[string]bool{}
	}
	j.finKeys[key] = true
}

// dropKeys deletes what the ledger holds of a finished job besides its record.
func (c *Core) dropKeys(j *job) {
	var writes []ledger.Write
	for chunk := range j.hostChunks {
		writes = append(writes, ledger.Write{Key: ledger.HostKey(j.ref, chunk)})
	}
	for _, key := range slices.Sorted(maps.Keys(j.finKeys)) {
		writes = append(writes, ledger.Write{Key: key})
	}
	if len(writes) > 0 {
		c.emit(Put{Writes: writes})
	}
}

// taskEnded notes that a task has completed.
func (c *Core) taskEnded(j *job, n int32) {
	if j.over() || j.tasks[n].state >= taskDone {
		return
	}
	if j.tasks[n].state == taskWaiting {
		j.dropWaiting(n)
	}
	j.tasks[n].state = taskDone
	j.done++
	j.begun = true
	c.clearOfBlame(j)
	if j.done == j.total {
		c.finish(j, wire.Done)
		return
	}
	j.ended = append(j.ended, n)
	c.unwrittenJob(j)
}

func (j *job) dropWaiting(n int32) {
	for k, w := range j.waiting {
		if w == n {
			j.waiting = append(j.waiting[:k], j.waiting[k+1:]...)
			return
		}
	}
}

// requeue makes a task wait again.
func (c *Core) requeue(j *job, n int32) {
	if j.over() || j.tasks[n].state != taskBooked {
		return
	}
	j.tasks[n].state = taskWaiting
	j.waiting = append(j.waiting, n)
	c.dirty = true
}

// rejected has what was too large for a value written in smaller pieces.
func (c *Core) rejected(tag ledger.Tag) {
	switch t := tag.(type) {
	case hostTag:
		j := c.jobs[t.job]
		if j.hosts == nil {
			return
		}
		// What is durable stays where it is; what comes after it begins a new key.
		first := slices.IndexFunc(j.hosts, func(h host) bool { return !h.durable })
		if first < 0 {
			return
		}
		j.hostChunks = slices.DeleteFunc(j.hostChunks, func(from int) bool { return from >= first })
		j.hostChunks = append(j.hostChunks, first)
		j.hostsPut = first
		c.unwrittenJob(j)
	case finTag:
		j := c.jobs[t.job]
		if j.tasks != nil {
			j.ended = append(j.ended, t.tasks...)
			c.unwrittenJob(j)
		}
	case terminalTag:
		j := c.jobs[t.job]
		c.log.Error("the end of a job takes more than a value may hold", "job", j.ref)
		c.writeTerminal(j, true)
	case hireTag:
		c.log.Error("a hire takes more than a value may hold", "hire", t.name)
	}
}

func (c *Core) durable(tag ledger.Tag) {
	switch t := tag.(type) {
	case hostTag:
		j := c.jobs[t.job]
		if j.hosts == nil {
			return
		}
		for i := t.from; i < t.to; i++ {
			if j.hosts[i].durable {
				continue
			}
			j.hosts[i].durable = true
			c.sendPlanned(j, c.machines[j.hosts[i].machine])
		}
	case finTag:
		j := c.jobs[t.job]
		for _, n := range t.tasks {
			if j.tasks != nil && j.tasks[n].state == taskDone {
				j.tasks[n].state = taskDurable
			}
		}
	case terminalTag:
		c.terminalIsDurable(c.jobs[t.job])
	case hireTag:
		c.hireDurable(t.name)
	case noteTag:
		c.noteGone(t.key)
	}
}
