package ledger

import (
	"errors"
	"fmt"
	"math"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/wire"
)

// JobRecord is a job as accepted, with its terminal state once it has one.
type JobRecord struct {
	Job *wire.Job `json:"job,omitempty"`
	// AcceptedMS is the time of day of the acceptance.
	AcceptedMS int64 `json:"accepted_ms"`
	// TerminalState is empty, wire.JobDone or wire.JobCancelled. A record is never deleted;
	// with a terminal state it shrinks to what queries need.
	TerminalState string `json:"fate,omitempty"`
	Tasks         int    `json:"tasks,omitempty"`
	Done          int    `json:"done,omitempty"`
	// EndedMS is the time of day of the terminal state.
	EndedMS int64 `json:"ended_ms,omitempty"`
	// What a finished job asked for, from which a new leader learns the demand.
	Class string  `json:"class,omitempty"`
	Team  string  `json:"team,omitempty"`
	Cores float64 `json:"cores,omitempty"`
	RunS  float64 `json:"run_s,omitempty"`
	// Origin is the cell whose job this is, if that is another one, and TransferEpoch the
	// number of its transfer.
	Origin        string `json:"home,omitempty"`
	TransferEpoch uint64 `json:"epoch,omitempty"`
}

// DecodeJobRecord reads the record of a job. The error is a *KeyError.
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

// check finds what no controller can have written.
func (r *JobRecord) check(jobID string) error {
	switch r.TerminalState {
	case "":
		if r.Job == nil {
			return errors.New("neither a description nor a terminal state")
		}
	case wire.JobDone, wire.JobCancelled:
	default:
		return fmt.Errorf("unknown terminal state %q", r.TerminalState)
	}
	if r.Tasks < 0 || r.Tasks > wire.MaxTasks || r.Done < 0 || r.Done > wire.MaxTasks {
		return fmt.Errorf("%d of %d tasks done", r.Done, r.Tasks)
	}
	if r.Job == nil {
		return nil
	}
	return checkDescription(r.Job, jobID)
}

// checkDescription finds what no job that was accepted under an id can have.
func checkDescription(job *wire.Job, jobID string) error {
	switch {
	case job.ID != jobID:
		return fmt.Errorf("it describes job %q", job.ID)
	case job.Tasks < 1 || job.Tasks > wire.MaxTasks:
		return fmt.Errorf("%d tasks", job.Tasks)
	}
	for _, amount := range []float64{job.CPUs, job.GPUs, job.MemGB, job.ImageGB, job.EstimatedRunS, job.CheckpointIntervalS, job.CheckpointDurationS} {
		if !(amount >= 0) || math.IsInf(amount, 0) {
			return fmt.Errorf("an amount of %v", amount)
		}
	}
	return nil
}
