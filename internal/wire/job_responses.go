package wire

// JobStatus is the response to a status query: the job's state and the numbers of its tasks that
// are done and running.
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

// Values of JobStatus.Status and JobResponse.Status.
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
