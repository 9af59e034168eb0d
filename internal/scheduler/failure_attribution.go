package scheduler

import (
	"time"

	"leadproxy/internal/wire"
)

// extendBackoff delays the next start of a job's tasks. The delay doubles each time, from 500 ms up
// to 15 s. While the job is still in back-off, nothing changes.
func (p *placement) extendBackoff(j *job) {
	if p.clock.now < j.retry.notBefore {
		return
	}
	j.retry.backoff = min(max(j.retry.backoff*2, 500*time.Millisecond), 15*time.Second)
	j.retry.notBefore = p.clock.now + j.retry.backoff
}

const (
	// quarantineThreshold is how many different jobs must fail on a machine, without a success
	// in between, before the machine is quarantined.
	quarantineThreshold = 2
	// suspectThreshold is how many machines a job must fail on, without any task done, before
	// the job itself is considered faulty.
	suspectThreshold = 3
	// failureAvoidance is how long a job avoids a machine on which one of its tasks has failed. The
	// machine may be well again, and the only one with room.
	failureAvoidance = 45 * time.Second
)

// avoids reports whether the job starts no task on a machine because one has recently failed there. A
// suspect job avoids none.
func (j *job) avoids(machineIndex int32, now time.Duration) bool {
	return now < j.retry.failedOn[machineIndex] && !j.suspect()
}

// suspect reports whether the job, rather than the machines it failed on, is considered faulty.
func (j *job) suspect() bool {
	return j.progress.done == 0 && len(j.retry.failedOn) >= suspectThreshold
}

// recordFailure attributes a task failure to the machine or to the job. It quarantines the machine
// when enough jobs have failed on it, or at once when another task of the job has succeeded.
func (p *placement) recordFailure(m *machine, j *job, taskIndex int32, attempt uint64) {
	if j.retry.failedOn == nil {
		j.retry.failedOn = map[int32]time.Duration{}
	}
	j.retry.failedOn[m.index] = p.clock.now + failureAvoidance
	p.log.Info("task failed", "machine", m.name, "task", wire.TaskName{JobID: j.id, Index: int(taskIndex)}.String(), "attempt", attempt, "machines", len(j.retry.failedOn))
	if j.suspect() {
		// A suspect job is retried with back-off until its user cancels it.
		p.extendBackoff(j)
		return
	}
	if m.health.failedJobs == nil {
		m.health.failedJobs = map[int32]bool{}
	}
	m.health.failedJobs[j.index] = true
	if len(m.health.failedJobs) >= quarantineThreshold || j.progress.done > 0 {
		p.quarantine(m)
	}
}

// recordEarlierFailure attributes the failure of an attempt without an allocation. It is one of an
// earlier leader, whose record of it is lost, or was attributed before: agents list an ended attempt
// until they are told to forget it.
func (p *placement) recordEarlierFailure(m *machine, j *job, taskIndex int32, attempt uint64) {
	_, known := j.retry.failedOn[m.index]
	if !known && attempt>>termCounterBits < p.term {
		p.recordFailure(m, j, taskIndex, attempt)
	}
}

// recordSuccess records that a task of a job succeeded. The job's earlier failures are therefore
// attributed to the machines, which are quarantined.
func (p *placement) recordSuccess(j *job) {
	for machineIndex := range j.retry.failedOn {
		if m := p.machines.list[machineIndex]; m.health.failedJobs[j.index] {
			p.quarantine(m)
		}
	}
	j.retry.backoff = 0
}

// quarantine excludes a machine from placement. Tasks that run on it continue.
func (p *placement) quarantine(m *machine) {
	if m.health.quarantined || m.state == machineGone {
		return
	}
	m.health.quarantined = true
	p.markIndexStale(m)
	p.log.Info("machine quarantined: tasks fail on it", "machine", m.name, "jobs", len(m.health.failedJobs), "allocations", len(m.capacity.allocations))
}

// endBackoffs makes the jobs whose back-off has expired eligible for placement, and those that avoided a
// machine until now.
func (p *placement) endBackoffs() {
	for _, j := range p.jobs.active {
		if j.retry.notBefore > 0 && p.clock.now >= j.retry.notBefore {
			j.retry.notBefore = 0
			p.needed = true
		}
		for _, until := range j.retry.failedOn {
			if until > p.lastBackoffCheck && until <= p.clock.now {
				p.needed = true
			}
		}
	}
	p.lastBackoffCheck = p.clock.now
}
