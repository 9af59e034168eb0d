package scheduler

import (
	"math"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// The states of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskBooked
	taskDone    // its end is known here
	taskDurable // its end is in the ledger
)

type task struct{ state taskState }

type host struct {
	machine int32
	durable bool
}

// job is a job in the leader's memory, kept in parts. Once it is over and settled, the tasks and
// hosts are nil.
type job struct {
	index int32
	id    string
	spec  *wire.Job // nil: done, and only its record is left

	request      request
	priority     priority
	dependencies dependencies
	progress     progress
	end          jobEnd
	placement    jobPlacement
	retry        retry
	record       jobRecord
	transfer     transfer
}

// request is what a job's description asks for, by the indices of the names in it.
type request struct {
	size  slowfit.Size // of one task
	team  int32
	class int32
	image int32
	zone  int32   // -1: any
	types []int32 // nil: not resolved yet, or any
}

// priority is what orders a job among others. Class and deadline are its own, or those of a job
// that depends on it where that is more urgent.
type priority struct {
	class    int
	deadline time.Duration // never without a deadline
	arrived  time.Duration
}

// progress is the state of a job's tasks.
type progress struct {
	tasks       []task
	waiting     []int32 // indices of waiting tasks, the last one is placed first
	total       int
	done        int
	allocated   int
	startedOnce bool // some task of it has been seen running, or is done
}

// jobEnd is the terminal state of a job, and what remains to be done about it.
type jobEnd struct {
	state   string // decided, being written or durable
	durable bool
	// at is when it became durable, or was decided if that was before this term.
	at            time.Duration
	settled       bool        // all that a terminal state requires is done
	overdueLogged bool        // its tasks may have run past the bound of a cancellation
	replyTo       []Recipient // who waits for it to be durable
}

// jobPlacement is what placement keeps of a job.
type jobPlacement struct {
	// For a job that must stay in one zone or be spread: its tasks by zone, and which zone
	// was last found best.
	tasksByZone      []int
	gangZoneChosenAt time.Duration
	gangZone         int32

	reservedMachine    *machine      // kept free for its first task
	reservationTriedAt time.Duration // when such a machine was last searched for

	imageOnly bool // at present it is offered only machines with its image
}

// retry is what delays the next start of a job, and where its tasks have failed.
type retry struct {
	notBefore time.Duration
	backoff   time.Duration
	failedOn  map[int32]bool
}

// jobRecord is what the ledger holds of a job, and what is still to be written.
type jobRecord struct {
	version    uint64
	acceptedMS int64

	hosts        []host
	hostAt       map[int32]int // by machine: its place in hosts
	hostsWritten int           // how many of them have been written, or are being
	hostChunks   []int         // the first hosts of the keys that hold them
	inDoubtHosts map[int32]bool

	finishedKeys   map[string]bool // the keys of finished tasks
	chunksInParts  map[int]bool    // the chunks of finished tasks that are written in parts
	unwrittenTasks []int32         // tasks that have ended and are not written yet
	queuedForWrite bool
}

// transfer is a job's place in the federation of cells.
type transfer struct {
	// origin is the cell that forwarded the job to this one, "" for a job of this cell, and
	// epoch the number of its transfer.
	origin    string
	epoch     uint64
	delegated bool // another cell may run this job of ours
}

func (j *job) over() bool { return j.end.state != "" }

// placeable tells whether waiting tasks may be started now.
func (j *job) placeable(now time.Duration) bool {
	return !j.over() && !j.blocked() && len(j.progress.waiting) > 0 && len(j.record.inDoubtHosts) == 0 && now >= j.retry.notBefore
}

// never is the deadline of a job without one.
const never = time.Duration(math.MaxInt64)

// slack is the time left until the deadline beyond the estimated run.
func (j *job) slack(now time.Duration) time.Duration {
	if j.priority.deadline == never {
		return never
	}
	return j.priority.deadline - now - settings.Seconds(j.spec.EstimatedRunS)
}

func (c *Core) newJob(ref string, rec ledger.JobRecord, version uint64) *job {
	j := &job{index: int32(len(c.jobs.list)), id: ref, spec: rec.Job,
		request:  request{zone: -1},
		priority: priority{deadline: never},
		progress: progress{total: rec.Tasks, done: rec.Done},
		end:      jobEnd{state: rec.Terminal, durable: rec.Terminal != ""},
		record:   jobRecord{version: version, acceptedMS: rec.AcceptedMS},
		transfer: transfer{origin: rec.Origin, epoch: rec.TransferEpoch}}
	if rec.EndedMS > 0 {
		j.end.at = c.clock.ago(rec.EndedMS)
	}
	c.jobs.indexByID[ref] = j.index
	c.jobs.list = append(c.jobs.list, j)
	s := rec.Job
	if s == nil {
		j.end.settled = true
		return j
	}
	j.priority.arrived = c.clock.ago(rec.AcceptedMS)
	if s.DeadlineS != nil {
		j.priority.deadline = j.priority.arrived + settings.Seconds(*s.DeadlineS)
	}
	j.priority.class = s.PriorityClass()
	j.request.size = sizeOf(s)
	j.request.class = c.classOf(s.Class)
	j.request.image = c.placement.images.of(s.Image)
	if s.Zone != nil {
		j.request.zone = c.machines.zones.of(*s.Zone)
	}
	j.request.team = c.quotas.teamOf(s.Team)
	j.progress.total = s.Tasks
	j.record.hostAt = map[int32]int{}
	j.progress.tasks = make([]task, s.Tasks)
	c.jobs.active = append(c.jobs.active, j)
	return j
}

// sizeOf is what one task of a job takes of its machine.
func sizeOf(s *wire.Job) slowfit.Size {
	return slowfit.Size{CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.MemGB}
}

// fillWaiting lists the waiting tasks, the lowest number to go first.
func (j *job) fillWaiting() {
	j.progress.waiting = make([]int32, 0, max(0, len(j.progress.tasks)-j.progress.done))
	for i := len(j.progress.tasks) - 1; i >= 0; i-- {
		if j.progress.tasks[i].state == taskWaiting {
			j.progress.waiting = append(j.progress.waiting, int32(i))
		}
	}
}

func (c *Core) jobRecorded(e JobRecordEvent) *job {
	if i, ok := c.jobs.indexByID[e.JobID]; ok {
		return c.jobs.list[i]
	}
	j := c.newJob(e.JobID, e.Record, e.Version)
	j.fillWaiting()
	c.linkDependencies(j)
	if j.end.durable {
		// Its end was written while this leader had not seen it yet.
		c.releaseDependents(j)
	}
	switch {
	case j.end.settled:
		return j
	case j.over():
		c.jobs.settleJob(j)
		return j
	}
	c.log.Debug("job accepted", "job", j.id, "tasks", j.progress.total, "cpus", j.request.size.CPUs, "class", j.spec.Class)
	c.settleDependencies(j)
	if !j.over() && !j.blocked() && j.transfer.origin == "" {
		c.autoscaling.arrived(j)
	}
	c.jobs.raisePriorityBy(j)
	c.placement.needed = true
	return j
}

// finish decides a job's terminal state and writes it. It is told when it
// is durable.
func (c *Core) finish(j *job, terminal string) {
	j.end.state = terminal
	if c.evictions.disruptions != nil {
		c.evictions.disruptions.Over(j.id, c.clock.now)
	}
	if terminal == wire.JobCancelled {
		c.jobs.cancelling[j.index] = true
	}
	c.jobs.writeTerminal(j, true)
}

// writeTerminal writes a job's terminal state.
func (t *jobTable) writeTerminal(j *job, urgent bool) {
	rec := ledger.JobRecord{AcceptedMS: j.record.acceptedMS, Terminal: j.end.state, Tasks: j.progress.total, Done: j.progress.done, EndedMS: t.clock.wallMS, Origin: j.transfer.origin, TransferEpoch: j.transfer.epoch}
	if j.end.state == wire.JobCancelled {
		// What a new leader needs stays: it charges the team for tasks that it has
		// not yet seen gone. The whole description may be more than fits by now.
		rec.Job = j.spec.CancelledSummary()
	} else if j.transfer.origin == "" {
		rec.Class, rec.Team, rec.Cores, rec.RunS = j.spec.Class, j.spec.Team, j.request.size.CPUs*float64(j.progress.total), t.estimates.expectedRun(j).Seconds()
	}
	t.writes.put(ledger.Write{Key: ledger.JobKey(j.id), Value: rec, Urgent: urgent, Version: j.record.version, Tag: terminalTag{j.index}})
}

func (c *Core) terminalIsDurable(j *job) {
	if j.end.durable {
		return // it followed from another job's end before its own record was written
	}
	j.end.durable, j.end.at = true, c.clock.now
	delete(c.jobs.cancelling, j.index)
	j.progress.waiting = nil
	c.log.Debug("job is over", "job", j.id, "state", j.end.state, "seconds", (c.clock.now - j.priority.arrived).Seconds(), "late", c.clock.now > j.priority.deadline)
	for _, to := range j.end.replyTo {
		c.effects.emit(UserReply{ReplyTo: to, Known: true, Status: c.status(j)})
	}
	j.end.replyTo = nil
	c.stopTasks(j)
	c.placement.needed = true
	c.releaseDependents(j)
	c.jobs.settleJob(j)
	c.federation.delegated.Over(j.id, c.clock.now)
	c.applyOriginEffects()
}

// settleJob drops what is kept for a job that is over, once nothing of it is on
// any machine any more.
func (t *jobTable) settleJob(j *job) {
	if !j.end.durable || j.end.settled || j.progress.allocated > 0 || len(j.record.inDoubtHosts) > 0 {
		return
	}
	j.end.settled = true
	t.dropKeys(j)
	for _, h := range j.record.hosts {
		t.machines.list[h.machine].recorded.namedByJobs--
	}
	j.progress.tasks, j.record.hosts, j.record.hostAt, j.retry.failedOn, j.record.hostChunks, j.record.finishedKeys = nil, nil, nil, nil, nil, nil
}

// taskEnded notes that a task has completed.
func (c *Core) taskEnded(j *job, n int32) {
	if j.over() || j.progress.tasks[n].state >= taskDone {
		return
	}
	if j.progress.tasks[n].state == taskWaiting {
		j.dropWaiting(n)
	}
	j.progress.tasks[n].state = taskDone
	j.progress.done++
	j.progress.startedOnce = true
	if c.evictions.disruptions != nil {
		c.evictions.disruptions.Ends(j.id, int(n), c.clock.now)
	}
	c.placement.clearOfBlame(j)
	if j.progress.done == j.progress.total {
		c.finish(j, wire.JobDone)
		return
	}
	j.record.unwrittenTasks = append(j.record.unwrittenTasks, n)
	c.jobs.unwrittenJob(j)
}

func (j *job) dropWaiting(n int32) {
	for k, w := range j.progress.waiting {
		if w == n {
			j.progress.waiting = append(j.progress.waiting[:k], j.progress.waiting[k+1:]...)
			return
		}
	}
}

// requeue makes a task wait again.
func (p *placement) requeue(j *job, n int32) {
	if j.over() || j.progress.tasks[n].state != taskBooked {
		return
	}
	j.progress.tasks[n].state = taskWaiting
	j.progress.waiting = append(j.progress.waiting, n)
	p.needed = true
}
