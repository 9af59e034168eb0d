package federation

import "time"

// DelegatedView is the origin's state of a transfer, as shown to operators.
type DelegatedView struct {
	JobID      string
	Record     DelegatedRecord
	Phase      string
	Cancelling bool
	// SinceLastAnswer is the time since the neighbour's last answer in this epoch. Until there
	// is one, it counts from the offer or from the start of the leader's term.
	SinceLastAnswer time.Duration
	// Done and Running count the tasks according to the neighbour's last answer.
	Done, Running int
}

// List returns the transfers that are not closed, ordered by job ID.
func (d *DelegatedJobs) List(now time.Duration) []DelegatedView {
	var views []DelegatedView
	for _, t := range d.sorted() {
		if t.phase == phaseClosed {
			continue
		}
		views = append(views, DelegatedView{JobID: t.jobID, Record: t.record, Phase: phaseNames[t.phase], Cancelling: t.cancelling, SinceLastAnswer: now - t.lastAnswerAt, Done: t.tasksDone, Running: t.tasksRunning})
	}
	return views
}

// NeighbourOf returns the neighbour of a job's latest transfer, or "" if there is no transfer.
func (d *DelegatedJobs) NeighbourOf(jobID string) string {
	if t := d.transfers[jobID]; t != nil {
		return t.record.Cell
	}
	return ""
}

// JobsAtNeighbour returns the IDs of the jobs that the neighbour may run, in sorted order.
func (d *DelegatedJobs) JobsAtNeighbour(cell string) []string {
	var jobIDs []string
	for _, t := range d.sorted() {
		if t.record.Cell == cell && t.mayRunRemotely() {
			jobIDs = append(jobIDs, t.jobID)
		}
	}
	return jobIDs
}

// mayRunRemotely reports whether the neighbour may still run the job.
func (t *transfer) mayRunRemotely() bool {
	return t.phase != phaseClosed && t.phase != phaseReleasing && t.phase != phaseEnding
}

// MayRunRemotely reports whether a neighbour may still run the job.
func (d *DelegatedJobs) MayRunRemotely(jobID string) bool {
	t := d.transfers[jobID]
	return t != nil && t.mayRunRemotely()
}

// Progress returns the task counts of the neighbour's last answer; 0 if there was none.
func (d *DelegatedJobs) Progress(jobID string) (done, running int) {
	if t := d.transfers[jobID]; t != nil {
		return t.tasksDone, t.tasksRunning
	}
	return 0, 0
}

// Idle reports whether there are no transfers.
func (d *DelegatedJobs) Idle() bool { return len(d.transfers) == 0 }
