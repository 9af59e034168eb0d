package federation

import "time"

// DelegatedView is a transfer as operators see it at home.
type DelegatedView struct {
	JobID      string
	Record     DelegatedRecord
	Phase      string
	Cancelling bool
	// LastAnswer is how long ago the neighbour last answered about it.
	LastAnswer    time.Duration
	Done, Running int
}

// List lists the transfers at a moment, but those that are closed.
func (h *DelegatedJobs) List(now time.Duration) []DelegatedView {
	var views []DelegatedView
	for _, t := range h.sorted() {
		if t.phase == closed {
			continue
		}
		views = append(views, DelegatedView{JobID: t.ref, Record: t.record, Phase: phaseNames[t.phase], Cancelling: t.cancelling, LastAnswer: now - t.heard, Done: t.done, Running: t.running})
	}
	return views
}

// Cell names the neighbour of a job's latest transfer; "": there is none.
func (h *DelegatedJobs) Cell(ref string) string {
	if t := h.transfers[ref]; t != nil {
		return t.record.Cell
	}
	return ""
}

// With lists the jobs that a neighbour may run, in order.
func (h *DelegatedJobs) With(cell string) []string {
	var refs []string
	for _, t := range h.sorted() {
		if t.record.Cell == cell && t.elsewhere() {
			refs = append(refs, t.ref)
		}
	}
	return refs
}

// elsewhere tells whether the neighbour may run the job.
func (t *transfer) elsewhere() bool {
	return t.phase != closed && t.phase != releasing && t.phase != ending
}

// MayRunRemotely tells whether a neighbour may run a job.
func (h *DelegatedJobs) MayRunRemotely(ref string) bool {
	t := h.transfers[ref]
	return t != nil && t.elsewhere()
}

// Progress counts a job's tasks as its neighbour last told.
func (h *DelegatedJobs) Progress(ref string) (done, running int) {
	if t := h.transfers[ref]; t != nil {
		return t.done, t.running
	}
	return 0, 0
}

// Idle tells whether there are no transfers at all.
func (h *DelegatedJobs) Idle() bool { return len(h.transfers) == 0 }
