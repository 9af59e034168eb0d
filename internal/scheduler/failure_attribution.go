package scheduler

import (
	"time"

	"leadproxy/internal/wire"
)

// extendBackoff lets a job wait a little before its next start, longer each time.
func (p *placement) extendBackoff(j *job) {
	if p.clock.now < j.retry.notBefore {
		return
	}
	j.retry.backoff = min(max(j.retry.backoff*2, 500*time.Millisecond), 15*time.Second)
	j.retry.notBefore = p.clock.now + j.retry.backoff
}

// quarantineThreshold is how many different jobs must fail on a machine, with no success
// between, before it counts as faulty; suspectThreshold on how many machines a job
// that never succeeded must fail before it is taken for the faulty one.
const (
	quarantineThreshold = 2
	suspectThreshold    = 3
)

// suspect tells whether the job rather than its machines is at fault.
func (j *job) suspect() bool {
	return j.progress.done == 0 && len(j.retry.failedOn) >= suspectThreshold
}

// recordFailure attributes a failure to the machine or to the job.
func (p *placement) recordFailure(m *machine, j *job, n int32, attempt uint64) {
	if j.retry.failedOn == nil {
		j.retry.failedOn = map[int32]bool{}
	}
	j.retry.failedOn[m.index] = true
	p.log.Info("task failed", "machine", m.name, "task", wire.TaskName{JobID: j.id, Index: int(n)}.String(), "attempt", attempt, "machines", len(j.retry.failedOn))
	if j.suspect() {
		// It is tried again now and then until its user cancels it.
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

// recordSuccess notes a success of a job: its earlier failures were the machines' fault.
func (p *placement) recordSuccess(j *job) {
	for i := range j.retry.failedOn {
		if m := p.machines.list[i]; m.health.failedJobs[j.index] {
			p.quarantine(m)
		}
	}
	j.retry.backoff = 0
}

func (p *placement) quarantine(m *machine) {
	if m.health.quarantined || m.state == machineGone {
		return
	}
	m.health.quarantined = true
	p.markIndexStale(m)
	p.log.Info("machine quarantined: tasks fail on it", "machine", m.name, "jobs", len(m.health.failedJobs), "allocations", len(m.capacity.allocations))
}

// endBackoffs has the jobs placed whose delay has passed.
func (p *placement) endBackoffs() {
	for _, j := range p.jobs.active {
		if j.retry.notBefore > 0 && p.clock.now >= j.retry.notBefore {
			j.retry.notBefore = 0
			p.needed = true
		}
	}
}
