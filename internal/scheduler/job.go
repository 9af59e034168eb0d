package scheduler

import (
	"math"
	"sync/atomic"
	"time"

	"leadproxy/internal/scheduler/depgraph"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// The states of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskAllocated
	taskDone    // its end is decided here
	taskDurable // its end is in the ledger
)

type task struct{ state taskState }

type host struct {
	machine int32
	durable bool
}

// job is a job in the leader's memory, kept in parts. Once it has ended and is cleaned up, the
// tasks and hosts are nil.
type job struct {
	index int32
	id    string
	spec  *wire.Job // nil: done, and only its record is left

	request      request
	priority     priority
	dependencies depgraph.Node
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
	state string // decided, being written or durable
	// at is when it became durable, or was decided if that was before this term.
	at        time.Duration
	replyTo   []Recipient // who waits for it to be durable
	durable   bool
	cleanedUp bool // all that a terminal state requires is done
	// cancellationConfirmed: users may have been told that the job is cancelled. Other goroutines
	// read it before they send a start.
	cancellationConfirmed atomic.Bool
	overdueLogged         bool // its tasks may have run past the bound of a cancellation
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

	imageOnly bool // for now it is placed only on machines with its image
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

func (j *job) ended() bool { return j.end.state != "" }

// placeable tells whether waiting tasks may be started now.
func (j *job) placeable(now time.Duration) bool {
	return !j.ended() && !j.blocked() && len(j.progress.waiting) > 0 && len(j.record.inDoubtHosts) == 0 && now >= j.retry.notBefore
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

// sizeOf is what one task of a job takes of its machine.
func sizeOf(s *wire.Job) slowfit.Size {
	return slowfit.Size{CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.MemGB}
}

// begin makes room for the states of a job's tasks.
func (p *progress) begin(tasks int) {
	p.total = tasks
	p.tasks = make([]task, tasks)
}

// fillWaiting lists the waiting tasks, the lowest number to be placed first.
func (p *progress) fillWaiting() {
	p.waiting = make([]int32, 0, max(0, len(p.tasks)-p.done))
	for i := len(p.tasks) - 1; i >= 0; i-- {
		if p.tasks[i].state == taskWaiting {
			p.waiting = append(p.waiting, int32(i))
		}
	}
}

// takeWaiting removes and returns the waiting task that is placed next.
func (p *progress) takeWaiting() int32 {
	last := len(p.waiting) - 1
	n := p.waiting[last]
	p.waiting = p.waiting[:last]
	return n
}

// dropWaiting removes a task from the waiting ones.
func (p *progress) dropWaiting(n int32) {
	for k, w := range p.waiting {
		if w == n {
			p.waiting = append(p.waiting[:k], p.waiting[k+1:]...)
			return
		}
	}
}

// dropAllWaiting has none wait any more.
func (p *progress) dropAllWaiting() { p.waiting = nil }

// requeue has an allocated task wait again, and tells whether it was allocated.
func (p *progress) requeue(n int32) bool {
	if p.tasks[n].state != taskAllocated {
		return false
	}
	p.tasks[n].state = taskWaiting
	p.waiting = append(p.waiting, n)
	return true
}

// addAllocation counts an allocation. The task's state stays if its job has ended.
func (p *progress) addAllocation(n int32, purpose allocationPurpose) {
	if purpose == toRun {
		p.tasks[n].state = taskAllocated
	}
	p.allocated++
}

// removeAllocation counts the end of an allocation.
func (p *progress) removeAllocation() { p.allocated-- }

// markStarted notes that some task has been seen running.
func (p *progress) markStarted() { p.startedOnce = true }

// taskEnded notes that a task has completed.
func (p *progress) taskEnded(n int32) {
	if p.tasks[n].state == taskWaiting {
		p.dropWaiting(n)
	}
	p.tasks[n].state = taskDone
	p.done++
	p.startedOnce = true
}

// taskDurable notes that the end of a task is in the ledger.
func (p *progress) taskDurable(n int32) {
	if p.tasks != nil && p.tasks[n].state == taskDone {
		p.tasks[n].state = taskDurable
	}
}

// allDone counts all tasks as done.
func (p *progress) allDone() { p.done = p.total }

// restoreFinished notes that a task's end is in the ledger, and tells whether that is new.
func (p *progress) restoreFinished(n int) bool {
	if n >= len(p.tasks) || p.tasks[n].state == taskDurable {
		return false
	}
	p.tasks[n].state = taskDurable
	return true
}

// restore completes what is known of the tasks by the ledger.
func (p *progress) restore(finished int, hasHosts bool) {
	p.done = max(p.done, finished)
	p.fillWaiting()
	p.startedOnce = p.done > 0 || hasHosts
}

// decide sets the terminal state.
func (e *jobEnd) decide(state string) { e.state = state }

// becameDurable notes when the terminal state became durable.
func (e *jobEnd) becameDurable(at time.Duration) { e.durable, e.at = true, at }

// confirm publishes that users may be told of the terminal state. The starts that have not been sent
// are withdrawn by then.
func (e *jobEnd) confirm() { e.cancellationConfirmed.Store(e.state == wire.JobCancelled) }

// await has someone told when the terminal state is durable.
func (e *jobEnd) await(to Recipient) { e.replyTo = append(e.replyTo, to) }

// takeRecipients removes and returns those who wait for the terminal state.
func (e *jobEnd) takeRecipients() []Recipient {
	recipients := e.replyTo
	e.replyTo = nil
	return recipients
}

// markOverdueLogged notes that the job's overdue tasks are logged.
func (e *jobEnd) markOverdueLogged() { e.overdueLogged = true }

// arriveAt has the wait of the job count from a time on.
func (p *priority) arriveAt(at time.Duration) { p.arrived = at }

// forgetTypes has the types resolved again, since there are new ones.
func (r *request) forgetTypes() { r.types = nil }

// delayUntil keeps the job's tasks from starting until a time.
func (r *retry) delayUntil(at time.Duration) { r.notBefore = at }

// forgetFailures drops where tasks have failed.
func (r *retry) forgetFailures() { r.failedOn = nil }

// setDelegated notes whether another cell may run the job.
func (t *transfer) setDelegated(delegated bool) { t.delegated = delegated }
