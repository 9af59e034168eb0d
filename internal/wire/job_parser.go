package wire

import (
	"errors"
	"strings"

	"github.com/segmentio/encoding/json"
)

// Maximum string lengths, in bytes, and maximum amounts in a submission.
const (
	maxNameLength  = 200
	maxEnumLength  = 40 // kind and priority
	maxImageLength = 1000
	maxDevices     = 1e6 // CPU cores or GPUs per task
	maxGB          = 1e9
	maxSeconds     = 1e9
)

// InvalidJobError reports why a submission is invalid.
type InvalidJobError struct {
	// JobID is the job id in the submission, or empty if it is missing or malformed. It serves
	// to recognize a job that was accepted before, even though this submission is invalid.
	JobID string
	Err   error
}

func (e *InvalidJobError) Error() string { return e.Err.Error() }

// Unwrap returns the cause, an *InvalidFieldError if a single field is invalid.
func (e *InvalidJobError) Unwrap() error { return e.Err }

// ParseJob parses and validates a submission. The error is an *InvalidJobError.
func ParseJob(body []byte) (*Job, error) {
	var fields map[string]json.RawMessage
	if err := parseObject(body, &fields, 0); err != nil {
		return nil, &InvalidJobError{Err: err}
	}
	if fields == nil {
		return nil, &InvalidJobError{Err: errors.New("the body must be one JSON object")}
	}
	d := fieldDecoder{fields: fields}
	job := &Job{}
	job.decodeNames(&d)
	job.decodeResources(&d)
	job.decodePlacement(&d)
	job.decodeTimes(&d)
	job.DependsOn = d.jobIDs(fieldDependsOn)
	if d.err == nil {
		return job, nil
	}
	invalid := &InvalidJobError{Err: d.err}
	if ValidJobID(job.ID) {
		invalid.JobID = job.ID
	}
	return nil, invalid
}

// decodeNames decodes the job's id, class, team, kind and priority.
func (j *Job) decodeNames(d *fieldDecoder) {
	j.ID = d.text(fieldJobID, maxNameLength)
	d.require(ValidJobID(j.ID), fieldJobID, "job- and digits")
	j.Class = d.text(fieldClass, maxNameLength)
	j.Team = d.text(fieldTeam, maxNameLength)
	j.Kind = d.text(fieldKind, maxEnumLength)
	d.require(j.Kind == kindBatch, fieldKind, `"`+kindBatch+`"`)
	j.Priority = d.text(fieldPriority, maxEnumLength)
	d.require(j.PriorityClass() < len(priorities), fieldPriority, "one of "+strings.Join(priorities, ", "))
}

// decodeResources decodes the number of tasks, and the resources and image of each.
func (j *Job) decodeResources(d *fieldDecoder) {
	j.Tasks = d.integer(fieldTasks, 1, MaxTasks)
	j.CPUs = d.amount(fieldCPUs, maxDevices)
	j.GPUs = d.amount(fieldGPUs, maxDevices)
	j.MemGB = d.amount(fieldMemGB, maxGB)
	j.Image = d.text(fieldImage, maxImageLength)
	j.ImageGB = d.amount(fieldImageGB, maxGB)
}

// decodePlacement decodes the constraints on where the tasks may run.
func (j *Job) decodePlacement(d *fieldDecoder) {
	d.optional(fieldTypes, &j.Types, "a list of machine types, or null")
	d.require(j.Types == nil || len(j.Types) > 0, fieldTypes, "a list of at least one machine type, or null")
	d.optional(fieldZone, &j.Zone, "a zone's name, or null")
	j.Gang = d.boolean(fieldGang)
	j.Spread = d.boolean(fieldSpread)
	j.Spot = d.boolean(fieldSpot)
}

// decodeTimes decodes the estimated run time, the checkpoint times and the deadline.
func (j *Job) decodeTimes(d *fieldDecoder) {
	j.EstimatedRunS = d.amount(fieldEstimatedRunS, maxSeconds)
	j.CheckpointIntervalS = d.amount(fieldCheckpointIntervalS, maxSeconds)
	j.CheckpointDurationS = d.amount(fieldCheckpointDurationS, maxSeconds)
	if d.isPresent(fieldDeadlineS) {
		deadline := d.amount(fieldDeadlineS, maxSeconds)
		j.DeadlineS = &deadline
	}
}
