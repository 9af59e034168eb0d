package scheduler

import (
	"log/slog"
	"time"
)

const (
	// maxRecordReads is how many job records are read at the same time.
	maxRecordReads = 8
	// unknownPredecessorLogAfter is how long a predecessor is unknown before it is logged.
	unknownPredecessorLogAfter = 5 * time.Second
)

// recordReads requests the records of jobs that the core does not know although known jobs depend
// on them. The watch usually delivers these records first, and then none is read.
type recordReads struct {
	clock   *clock
	log     *slog.Logger
	effects *effects
	jobs    *jobTable

	queue []string                  // IDs of jobs whose records are to be read, in order
	reads map[string]*unknownRecord // by ID of an unknown job
	// inFlight is the number of reads without a result.
	inFlight int
}

// unknownRecord is a record that the core does not know.
type unknownRecord struct {
	since  time.Duration
	logged bool
}

func newRecordReads(c *Core) recordReads {
	return recordReads{clock: &c.clock, log: c.log, effects: &c.effects, jobs: &c.jobs, reads: map[string]*unknownRecord{}}
}

// add queues the records of unknown jobs.
func (r *recordReads) add(jobIDs []string) {
	for _, id := range jobIDs {
		r.reads[id] = &unknownRecord{since: r.clock.now}
		r.queue = append(r.queue, id)
	}
}

// finish records that a job is known, or that nothing can be learned about it.
func (r *recordReads) finish(jobID string) {
	if record := r.reads[jobID]; record != nil && record.logged {
		r.log.Info("predecessor became known", "job", jobID, "seconds", (r.clock.now - record.since).Seconds())
	}
	delete(r.reads, jobID)
}

// requestQueued requests the queued records, as far as reads may be in flight.
func (r *recordReads) requestQueued() {
	for len(r.queue) > 0 && r.inFlight < maxRecordReads {
		id := r.queue[0]
		r.queue = r.queue[1:]
		if !r.jobs.graph.IsUnknown(id) {
			continue
		}
		r.inFlight++
		r.effects.emit(ReadJobRecord{JobID: id})
	}
}

// endRead records that a read has ended. Without a result, the record is queued again.
func (r *recordReads) endRead(jobID string, outcome RecordReadOutcome) {
	r.inFlight--
	if outcome == RecordNotRead {
		r.queue = append(r.queue, jobID)
	}
}

// logOverdue logs, once each, the predecessors that have been unknown for long.
func (r *recordReads) logOverdue() {
	for id, record := range r.reads {
		if age := r.clock.now - record.since; age >= unknownPredecessorLogAfter && !record.logged {
			record.logged = true
			r.log.Info("predecessor is not known, its dependents are answered from their records", "job", id, "seconds", age.Seconds())
		}
	}
}

// oldest returns for how long the predecessor that has been unknown longest has been so.
func (r *recordReads) oldest() (age time.Duration) {
	for _, record := range r.reads {
		age = max(age, r.clock.now-record.since)
	}
	return age
}

// handleRecordRead applies the result of reading a record. The records that this one depends on are
// read at once, so that a long chain takes one read for each job and no more.
func (c *Core) handleRecordRead(event RecordReadResult) {
	c.recordReads.endRead(event.JobID, event.Outcome)
	switch event.Outcome {
	case RecordFound:
		c.handleJobRecord(event.Record)
	case RecordUnreadable:
		c.log.Error("record of a predecessor can't be read, its dependents wait", "job", event.JobID)
		c.jobs.markUnreadable(event.JobID)
		c.recordReads.finish(event.JobID)
	case RecordNotRead:
		return
	}
	c.recordReads.requestQueued()
}

// UnknownPredecessors returns the number of jobs that the core does not know although others depend
// on them, and for how long the first of them has been unknown.
func (c *Core) UnknownPredecessors() (count int, oldest time.Duration) {
	return len(c.recordReads.reads), c.recordReads.oldest()
}
