package wire

// JobStatus is the response to a status query: the job's state, and how many of its tasks are
// done and running.
type JobStatus struct {
	ID      string `json:"ref"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// JobResponse is the response to a submission or a cancellation.
type JobResponse struct {
	ID     string `json:"ref"`
	Status string `json:"status"`
}

// The states of a job.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// ErrorResponse is the body of every response that reports an error.
type ErrorResponse struct {
	Error string `json:"error"`
}
