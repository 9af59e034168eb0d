package scheduler

import (
	"math"
	"time"

	"leadproxy/internal/scheduler/depgraph"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// jobHost is a machine that tasks of a job may be running on.
type jobHost struct {
	machine int32 // machine index
	durable bool  // the host record in the ledger is durable
}

// job is a job in the leader's memory, split into parts by owner. Once it has ended and is cleaned
// up, its tasks and hosts are nil.
type job struct {
	index int32
	id    string
	spec  *wire.Job // nil: the job is done and its record no longer holds the description

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

// request is what a job's description requests, with names resolved to indices.
type request struct {
	size  slowfit.Size // of one task
	team  int32
	class int32
	image int32
	zone  int32 // or anyZone
}

// priority determines a job's position in the queue. Class and deadline are the job's own, or those
// inherited from a dependent where these are more urgent.
type priority struct {
	class    int           // priority class, 0 is the most urgent
	deadline time.Duration // noDeadline if there is none
	arrived  time.Duration // when the job's waiting time started
}

// jobPlacement is the placement state of a job.
type jobPlacement struct {
	tasksByZone      []int         // only for gang and spread jobs: allocated tasks by zone
	gangZoneChosenAt time.Duration // when gangZone was chosen; 0: never
	gangZone         int32         // the zone last chosen for a gang without tasks, or anyZone

	reservedMachine    *machine      // reserved for the job's first task, or nil
	reservationTriedAt time.Duration // when a machine to reserve was last searched for; 0: never

	imageOnly bool // the job may currently be placed only on machines that have its image
}

// retry is the retry state of a job: its back-off and the machines on which its tasks failed.
type retry struct {
	notBefore time.Duration // no task starts before this time; 0: not delayed
	backoff   time.Duration // last back-off delay
	// failedOn are the machines on which tasks have failed: by machine index, until when the job
	// avoids the machine.
	failedOn map[int32]time.Duration
}

// jobRecord tracks what the ledger holds of a job and what remains to be written.
type jobRecord struct {
	version    uint64
	acceptedMS int64

	hosts              []jobHost
	hostIndexByMachine map[int32]int  // by machine: its index in hosts
	hostsWritten       int            // how many of hosts have been written or are being written
	hostChunks         []int          // for each key with hosts: the index in hosts of its first one
	inDoubtHosts       map[int32]bool // machines on which an earlier leader may have started tasks not seen yet

	// hostsUnknownUntil is until when tasks of an earlier leader may run on any machine, because the
	// ledger's record of the hosts can't be read; 0: it can.
	hostsUnknownUntil time.Duration

	finishedKeys   map[string]bool // keys that hold finished tasks
	chunksInParts  map[int]bool    // chunks of finished tasks that are written in parts
	unwrittenTasks []int32         // tasks that have ended and are not written yet
	queuedForWrite bool            // the job is in jobTable.unwritten
}

// transfer is the state of a job's transfer between cells.
type transfer struct {
	origin    string // the cell that delegated the job to this one; "": the job is this cell's own
	epoch     uint64 // number of the transfer from origin
	delegated bool   // another cell may run this job
}

// ended reports whether the terminal state of the job is decided. It may not be durable yet.
func (j *job) ended() bool { return j.end.state != "" }

// placeable reports whether waiting tasks of the job may be started now.
func (j *job) placeable(now time.Duration) bool {
	return !j.ended() && !j.blocked() && len(j.progress.waiting) > 0 && len(j.record.inDoubtHosts) == 0 && now >= j.retry.notBefore
}

const (
	// noDeadline is the deadline of a job without one.
	noDeadline = time.Duration(math.MaxInt64)
	// minDeadline bounds the deadlines along a pipeline, so that no difference overflows.
	minDeadline = -noDeadline / 4
)

// slack returns the time until the deadline minus the owner's estimate of the run time, or
// noDeadline.
func (j *job) slack(now time.Duration) time.Duration {
	if j.priority.deadline == noDeadline {
		return noDeadline
	}
	return j.priority.deadline - now - settings.Seconds(j.spec.EstimatedRunS)
}

// taskSize returns the resources that one task of a job takes on its machine.
func taskSize(spec *wire.Job) slowfit.Size {
	return slowfit.Size{CPUs: spec.CPUs, GPUs: spec.GPUs, MemGB: spec.MemGB, Tasks: 1}
}

// setArrival sets the time from which the job's waiting time counts.
func (p *priority) setArrival(at time.Duration) { p.arrived = at }

// delayUntil keeps the job's tasks from starting before a time.
func (r *retry) delayUntil(at time.Duration) { r.notBefore = at }

// clearFailures discards the machines on which tasks of the job have failed.
func (r *retry) clearFailures() { r.failedOn = nil }

// setDelegated records whether another cell may run the job.
func (t *transfer) setDelegated(delegated bool) { t.delegated = delegated }
