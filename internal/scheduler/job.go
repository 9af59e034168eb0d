package scheduler

import (
	"math"
	"time"

	"leadproxy/internal/scheduler/depgraph"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

type jobHost struct {
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

	hosts              []jobHost
	hostIndexByMachine map[int32]int // by machine: its place in hosts
	hostsWritten       int           // how many of them have been written, or are being
	hostChunks         []int         // the first hosts of the keys that hold them
	inDoubtHosts       map[int32]bool

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

// noDeadline is the deadline of a job without one.
const noDeadline = time.Duration(math.MaxInt64)

// slack is the time left until the deadline beyond the estimated run.
func (j *job) slack(now time.Duration) time.Duration {
	if j.priority.deadline == noDeadline {
		return noDeadline
	}
	return j.priority.deadline - now - settings.Seconds(j.spec.EstimatedRunS)
}

// taskSize is what one task of a job takes of its machine.
func taskSize(s *wire.Job) slowfit.Size {
	return slowfit.Size{CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.MemGB}
}

// setArrival has the wait of the job count from a time on.
func (p *priority) setArrival(at time.Duration) { p.arrived = at }

// clearTypes has the types resolved again, since there are new ones.
func (r *request) clearTypes() { r.types = nil }

// delayUntil keeps the job's tasks from starting until a time.
func (r *retry) delayUntil(at time.Duration) { r.notBefore = at }

// clearFailures drops where tasks have failed.
func (r *retry) clearFailures() { r.failedOn = nil }

// setDelegated notes whether another cell may run the job.
func (t *transfer) setDelegated(delegated bool) { t.delegated = delegated }
