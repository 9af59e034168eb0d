package federation

import "time"

// DelegatedView is the origin's state of a transfer for operators.
type DelegatedView struct {
	JobID      string
	Record     DelegatedRecord
	Phase      string
	Cancelling bool
	// SinceLastAnswer is how long ago the neighbour answered last.
	SinceLastAnswer time.Duration
	Done, Running   int
}

// List returns the transfers that are not closed.
func (h *DelegatedJobs) List(now time.Duration) []DelegatedView {
	var views []DelegatedView
	for _, t := range h.sorted() {
		if t.phase == phaseClosed {
			continue
		}
		views = append(views, DelegatedView{JobID: t.jobID, Record: t.record, Phase: phaseNames[t.phase], Cancelling: t.cancelling, SinceLastAnswer: now - t.lastAnswerAt, Done: t.tasksDone, Running: t.tasksRunning})
	}
	return views
}

// NeighbourOf returns the neighbour of a job's latest transfer; "": there is none.
func (h *DelegatedJobs) NeighbourOf(jobID string) string {
	if t := h.transfers[jobID]; t != nil {
		return t.record.Cell
	}
	return ""
}

// JobsAtNeighbour returns the jobs that a neighbour may run, in order.
func (h *DelegatedJobs) JobsAtNeighbour(cell string) []string {
	var jobIDs []string
	for _, t := range h.sorted() {
		if t.record.Cell == cell && t.mayRunRemotely() {
			jobIDs = append(jobIDs, t.jobID)
		}
	}
	return jobIDs
}

// mayRunRemotely tells whether the neighbour may run the job.
func (t *transfer) mayRunRemotely() bool {
	return t.phase != phaseClosed && t.phase != phaseReleasing && t.phase != phaseEnding
}

// MayRunRemotely tells whether a neighbour may run a job.
func (h *DelegatedJobs) MayRunRemotely(jobID string) bool {
	t := h.transfers[jobID]
	return t != nil && t.mayRunRemotely()
}

// Progress returns the task counts of the neighbour's last answer.
func (h *DelegatedJobs) Progress(jobID string) (done, running int) {
	if t := h.transfers[jobID]; t != nil {
		return t.tasksDone, t.tasksRunning
	}
	return 0, 0
}

// Idle tells whether there are no transfers.
func (h *DelegatedJobs) Idle() bool { return len(h.transfers) == 0 }
