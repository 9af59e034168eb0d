package wire

import (
	"errors"
	"strings"

	"github.com/segmentio/encoding/json"
)

// The largest texts and amounts that a submission may hold.
const (
	maxNameLength  = 200
	maxEnumLength  = 40
	maxImageLength = 1000
	maxDevices     = 1e6 // cores, or GPUs
	maxGB          = 1e9
	maxSeconds     = 1e9
)

// InvalidJobError says why a submission can't be read.
type InvalidJobError struct {
	// JobID is the id that the submission names, empty unless it is well-formed. With
	// it a job that was accepted before is recognised in spite of the fault.
	JobID string
	Err   error
}

func (e *InvalidJobError) Error() string { return e.Err.Error() }

// Unwrap returns the fault, an *InvalidFieldError if it lies in one field.
func (e *InvalidJobError) Unwrap() error { return e.Err }

// ParseJob reads a submission. The error is an *InvalidJobError.
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

// decodeNames reads the names of the job, its class and its team, and its priority.
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

// decodeResources reads how many tasks there are and what each takes.
func (j *Job) decodeResources(d *fieldDecoder) {
	j.Tasks = d.integer(fieldTasks, 1, MaxTasks)
	j.CPUs = d.amount(fieldCPUs, maxDevices)
	j.GPUs = d.amount(fieldGPUs, maxDevices)
	j.MemGB = d.amount(fieldMemGB, maxGB)
	j.Image = d.text(fieldImage, maxImageLength)
	j.ImageGB = d.amount(fieldImageGB, maxGB)
}

// decodePlacement reads where the tasks may run, and how they lie to each other.
func (j *Job) decodePlacement(d *fieldDecoder) {
	d.optional(fieldTypes, &j.Types, "a list of machine types, or null")
	d.require(j.Types == nil || len(j.Types) > 0, fieldTypes, "a list of at least one machine type, or null")
	d.optional(fieldZone, &j.Zone, "a zone's name, or null")
	j.Gang = d.boolean(fieldGang)
	j.Spread = d.boolean(fieldSpread)
	j.Spot = d.boolean(fieldSpot)
}

// decodeTimes reads how long the tasks take, and by when they should be done.
func (j *Job) decodeTimes(d *fieldDecoder) {
	j.EstimatedRunS = d.amount(fieldEstimatedRunS, maxSeconds)
	j.CheckpointIntervalS = d.amount(fieldCheckpointIntervalS, maxSeconds)
	j.CheckpointDurationS = d.amount(fieldCheckpointDurationS, maxSeconds)
	if d.isPresent(fieldDeadlineS) {
		deadline := d.amount(fieldDeadlineS, maxSeconds)
		j.DeadlineS = &deadline
	}
}
