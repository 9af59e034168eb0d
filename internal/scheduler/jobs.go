package scheduler

import (
	"math"
	"time"

	"leadproxy/internal/autoscaler"
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

// job is a job in the leader's memory. Once it is over, tasks is nil.
type job struct {
	index      int32
	id         string
	spec       *wire.Job
	version    uint64
	acceptedMS int64 // acceptedMS of the record
	arrived    time.Duration
	// deadline and rank are its own, or those of a job that needs it where that is more
	// urgent.
	deadline      time.Duration // never without a deadline
	priorityClass int
	// endedAt is when its end became durable, or was decided if that was before this term.
	endedAt time.Duration
	deps    dependencies
	size    slowfit.Size
	team    int32
	class   int32
	image   int32
	zone    int32 // -1: any
	types   []int32

	tasks   []task
	waiting []int32 // indices of waiting tasks, the last one goes first
	total   int
	done    int
	booked  int

	// origin is the cell whose job this is, if that is another one, and epoch the number
	// of its transfer. away is set while another cell may run a job of this one.
	origin        string
	transferEpoch uint64
	delegated     bool

	// For a job that must stay in one zone or be spread: its tasks by zone, and
	// which zone was last found best.
	inZone        []int
	zoneSought    time.Duration
	preferredZone int32

	hosts        []host
	hostAt       map[int32]int
	hostsWritten int // how many of them have been written, or are being
	// hostChunks are the first hosts of the keys that hold them. finKeys are the
	// keys of finished tasks, inParts the chunks that are written in parts.
	hostChunks    []int
	finishedKeys  map[string]bool
	chunksInParts map[int]bool
	// unwrittenTasks are tasks that have ended and are not written down yet.
	unwrittenTasks []int32
	queuedForWrite bool
	inDoubtHosts   map[int32]bool // machines that may run unseen tasks of it

	terminal        string // decided, being written or durable
	terminalDurable bool
	settled         bool // all that a terminal state requires is done
	overdueNoted    bool // its tasks may have run past the bound of a cancellation
	replyTo         []Recipient

	startedOnce         bool          // some task of it has been seen running, or is done
	reservedMachine     *machine      // kept free for its first task
	reservationSoughtAt time.Duration // when such a machine was last looked for

	imageOnly bool // for the moment it is offered only machines with its image

	notBefore time.Duration
	backoff   time.Duration
	failedOn  map[int32]bool
}

func (j *job) over() bool { return j.terminal != "" }

// placeable tells whether waiting tasks may be started now.
func (j *job) placeable(now time.Duration) bool {
	return !j.over() && !j.blocked() && len(j.waiting) > 0 && len(j.inDoubtHosts) == 0 && now >= j.notBefore
}

// never is the deadline of a job without one.
const never = time.Duration(math.MaxInt64)

// slack is the time left until the deadline beyond the estimated run.
func (j *job) slack(now time.Duration) time.Duration {
	if j.deadline == never {
		return never
	}
	return j.deadline - now - settings.Seconds(j.spec.EstimatedRunS)
}

func (c *Core) newJob(ref string, rec ledger.JobRecord, version uint64) *job {
	j := &job{index: int32(len(c.jobs)), id: ref, spec: rec.Job, version: version, acceptedMS: rec.AcceptedMS,
		origin: rec.Origin, transferEpoch: rec.TransferEpoch, terminal: rec.Terminal, terminalDurable: rec.Terminal != "", total: rec.Tasks, done: rec.Done, deadline: never, zone: -1}
	if rec.EndedMS > 0 {
		j.endedAt = c.ago(rec.EndedMS)
	}
	c.jobIndexByID[ref] = j.index
	c.jobs = append(c.jobs, j)
	s := rec.Job
	if s == nil {
		j.settled = true
		return j
	}
	j.arrived = c.ago(rec.AcceptedMS)
	if s.DeadlineS != nil {
		j.deadline = j.arrived + settings.Seconds(*s.DeadlineS)
	}
	j.priorityClass = s.PriorityClass()
	j.size = sizeOf(s)
	j.class = c.classOf(s.Class)
	j.image = c.images.of(s.Image)
	if s.Zone != nil {
		j.zone = c.zones.of(*s.Zone)
	}
	j.team = c.teamOf(s.Team)
	j.total = s.Tasks
	j.hostAt = map[int32]int{}
	j.tasks = make([]task, s.Tasks)
	c.activeJobs = append(c.activeJobs, j)
	return j
}

// sizeOf is what one task of a job takes of its machine.
func sizeOf(s *wire.Job) slowfit.Size {
	return slowfit.Size{CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.MemGB}
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
	for int(i) >= len(c.classObjectives) {
		c.classObjectives = append(c.classObjectives, classAims{})
		c.coresByClass = append(c.coresByClass, 0)
		c.autoscaling.demand = append(c.autoscaling.demand, autoscaler.DemandEstimator{})
		c.autoscaling.runRatios = append(c.autoscaling.runRatios, 0)
		for _, o := range c.cfg.Platform.Facts.Objectives {
			if o.Kind == "wait" && o.Class == name {
				c.classObjectives[i] = classAims{wait: settings.Seconds(o.WithinS)}
			}
		}
	}
	return i
}

// teamOf returns a team's index.
func (c *Core) teamOf(name string) int32 {
	if i, ok := c.teamIndexByName[name]; ok {
		return i
	}
	return c.unknownTeam
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

func (c *Core) jobRecorded(e JobRecordEvent) *job {
	if i, ok := c.jobIndexByID[e.JobID]; ok {
		return c.jobs[i]
	}
	j := c.newJob(e.JobID, e.Record, e.Version)
	j.fillWaiting()
	c.linkDependencies(j)
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
	c.log.Debug("job accepted", "job", j.id, "tasks", j.total, "cpus", j.size.CPUs, "class", j.spec.Class)
	c.settleDependencies(j)
	if !j.over() && !j.blocked() && j.origin == "" {
		c.arrived(j)
	}
	c.raisePriorityBy(j)
	c.needsPlacement = true
	return j
}

// finish decides a job's terminal state and writes it. It is told when it
// is durable.
func (c *Core) finish(j *job, terminal string) {
	j.terminal = terminal
	if c.evictions.disruptions != nil {
		c.evictions.disruptions.Over(j.id, c.now)
	}
	if terminal == wire.JobCancelled {
		c.cancelling[j.index] = true
	}
	c.writeTerminal(j, true)
}

// writeTerminal writes a job's terminal state.
func (c *Core) writeTerminal(j *job, urgent bool) {
	rec := ledger.JobRecord{AcceptedMS: j.acceptedMS, Terminal: j.terminal, Tasks: j.total, Done: j.done, EndedMS: c.wall, Origin: j.origin, TransferEpoch: j.transferEpoch}
	if j.terminal == wire.JobCancelled {
		// What a new leader needs stays: it charges the team for tasks that it has
		// not yet seen gone. The whole description may be more than fits by now.
		rec.Job = j.spec.CancelledSummary()
	} else if j.origin == "" {
		rec.Class, rec.Team, rec.Cores, rec.RunS = j.spec.Class, j.spec.Team, j.size.CPUs*float64(j.total), c.expectedRun(j).Seconds()
	}
	c.put(ledger.Write{Key: ledger.JobKey(j.id), Value: rec, Urgent: urgent, Version: j.version, Tag: terminalTag{j.index}})
}

func (c *Core) terminalIsDurable(j *job) {
	if j.terminalDurable {
		return // it followed from another job's end before its own record was written
	}
	j.terminalDurable, j.endedAt = true, c.now
	delete(c.cancelling, j.index)
	j.waiting = nil
	c.log.Debug("job is over", "job", j.id, "state", j.terminal, "seconds", (c.now - j.arrived).Seconds(), "late", c.now > j.deadline)
	for _, to := range j.replyTo {
		c.emit(UserReply{ReplyTo: to, Known: true, Status: c.status(j)})
	}
	j.replyTo = nil
	c.stopTasks(j)
	c.needsPlacement = true
	c.releaseDependents(j)
	c.settleJob(j)
	c.federation.delegated.JobOver(j.id, c.now)
	c.applyOriginEffects()
}

// settleJob drops what is kept for a job that is over, once nothing of it is on
// any machine any more.
func (c *Core) settleJob(j *job) {
	if !j.terminalDurable || j.settled || j.booked > 0 || len(j.inDoubtHosts) > 0 {
		return
	}
	j.settled = true
	c.dropKeys(j)
	for _, h := range j.hosts {
		c.machines[h.machine].namedByJobs--
	}
	j.tasks, j.hosts, j.hostAt, j.failedOn, j.hostChunks, j.finishedKeys = nil, nil, nil, nil, nil, nil
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
	j.startedOnce = true
	if c.evictions.disruptions != nil {
		c.evictions.disruptions.Ends(j.id, int(n), c.now)
	}
	c.clearOfBlame(j)
	if j.done == j.total {
		c.finish(j, wire.JobDone)
		return
	}
	j.unwrittenTasks = append(j.unwrittenTasks, n)
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
	c.needsPlacement = true
}
