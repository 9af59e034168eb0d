package ledger

import (
	"errors"
	"fmt"
	"math"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/wire"
)

// JobRecord is the stored record of an accepted job, with its terminal state once it has one.
type JobRecord struct {
	Job *wire.Job `json:"job,omitempty"`
	// AcceptedMS is the time at which the job was accepted, in Unix milliseconds.
	AcceptedMS int64 `json:"accepted_ms"`
	// TerminalState is empty, wire.JobDone or wire.JobCancelled. A record is never deleted; once
	// it has a terminal state, it is reduced to what queries and later leaders need.
	TerminalState string `json:"fate,omitempty"`
	Tasks         int    `json:"tasks,omitempty"`
	Done          int    `json:"done,omitempty"`
	// EndedMS is the time at which the job reached its terminal state, in Unix milliseconds.
	EndedMS int64 `json:"ended_ms,omitempty"`
	// Class, Team, Cores and RunS summarize the demand of a finished job, from which a new
	// leader estimates future demand.
	Class string  `json:"class,omitempty"`
	Team  string  `json:"team,omitempty"`
	Cores float64 `json:"cores,omitempty"`
	RunS  float64 `json:"run_s,omitempty"`
	// Origin is the cell that a foreign job belongs to, and TransferEpoch the epoch of the
	// transfer that brought it. Both are zero for the cell's own jobs.
	Origin        string `json:"home,omitempty"`
	TransferEpoch uint64 `json:"epoch,omitempty"`
}

// DecodeJobRecord decodes and checks the record of a job. The error is a *KeyError.
func DecodeJobRecord(jobID string, value []byte) (JobRecord, error) {
	var record JobRecord
	err := json.Unmarshal(value, &record)
	if err == nil {
		err = record.check(jobID)
	}
	if err != nil {
		return JobRecord{}, &KeyError{Op: OpDecode, Key: JobKey(jobID), Err: err}
	}
	return record, nil
}

// check returns an error if no controller can have written the record.
func (r *JobRecord) check(jobID string) error {
	switch r.TerminalState {
	case "":
		if r.Job == nil {
			return errors.New("record has neither a job description nor a terminal state")
		}
	case wire.JobDone, wire.JobCancelled:
	default:
		return fmt.Errorf("unknown terminal state %q", r.TerminalState)
	}
	if r.Tasks < 0 || r.Tasks > wire.MaxTasks || r.Done < 0 || r.Done > wire.MaxTasks {
		return fmt.Errorf("%d of %d tasks done is out of range", r.Done, r.Tasks)
	}
	if r.Job == nil {
		return nil
	}
	return checkDescription(r.Job, jobID)
}

// checkDescription returns an error if no job with this description can have been accepted under
// the id.
func checkDescription(job *wire.Job, jobID string) error {
	switch {
	case job.ID != jobID:
		return fmt.Errorf("record describes another job: %q", job.ID)
	case job.Tasks < 1 || job.Tasks > wire.MaxTasks:
		return fmt.Errorf("number of tasks %d is out of range", job.Tasks)
	}
	for _, amount := range []float64{job.CPUs, job.GPUs, job.MemGB, job.ImageGB, job.EstimatedRunS, job.CheckpointIntervalS, job.CheckpointDurationS} {
		if !(amount >= 0) || math.IsInf(amount, 0) {
			return fmt.Errorf("amount %v is negative or not finite", amount)
		}
	}
	return nil
}
