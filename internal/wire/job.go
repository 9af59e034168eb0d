package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/segmentio/encoding/json"
)

// MaxBody is the largest request body that is taken.
const MaxBody = 64 << 10

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100000

// Priorities, the most urgent first.
var priorities = []string{"critical", "high", "standard", "idle"}

// Job is a job as its user submits it.
type Job struct {
	ID                  string   `json:"ref"`
	Class               string   `json:"lane"`
	Team                string   `json:"owner"`
	Kind                string   `json:"shape"`
	Priority            string   `json:"urgency"`
	Tasks               int      `json:"pieces"`
	CPUs                float64  `json:"vcpus"`
	GPUs                float64  `json:"gpus"`
	MemGB               float64  `json:"mem_gb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"size_gb"`
	Types               []string `json:"flavors"`
	Zone                *string  `json:"room"`
	Gang                bool     `json:"together"`
	Spread              bool     `json:"spread"`
	Spot                bool     `json:"loaners"`
	EstimatedRunS       float64  `json:"guess_s"`
	CheckpointIntervalS float64  `json:"snapshot_s"`
	CheckpointDurationS float64  `json:"flush_s"`
	DeadlineS           *float64 `json:"due_s"`
	// DependsOn names the jobs that have to be done before any task of this one
	// starts, each once.
	DependsOn []string `json:"waits_on,omitempty"`
}

// CancelledSummary is what is kept of the description of a cancelled job: a new leader
// charges the job's team for tasks that it has not seen gone.
func (j *Job) CancelledSummary() *Job {
	return &Job{ID: j.ID, Class: j.Class, Team: j.Team, Kind: j.Kind, Priority: j.Priority, Tasks: j.Tasks,
		CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB, Gang: j.Gang, Spread: j.Spread, Spot: j.Spot, EstimatedRunS: j.EstimatedRunS}
}

// PriorityClass is the job's priority as a number, 0 the most urgent.
func (j *Job) PriorityClass() int {
	for i, p := range priorities {
		if p == j.Priority {
			return i
		}
	}
	return len(priorities)
}

// PriorityName is the priority of a rank.
func PriorityName(rank int) string { return priorities[min(max(rank, 0), len(priorities)-1)] }

// ValidJobID tells whether s has the form of a job id.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, "job-")
	if !ok || len(digits) == 0 || len(digits) > 32 {
		return false
	}
	for _, r := range digits {
		if r < '0' || r > '9' {
			return false
		}
	}
	return true
}

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
	if err := decode(body, &fields, 0); err != nil {
		return nil, &InvalidJobError{Err: err}
	}
	if fields == nil {
		return nil, &InvalidJobError{Err: errors.New("the body must be one JSON object")}
	}
	r := reader{fields: fields}
	j := &Job{}
	j.readNames(&r)
	ref := ""
	if ValidJobID(j.ID) {
		ref = j.ID
	}
	j.readNeeds(&r)
	j.readTimes(&r)
	j.DependsOn = r.refs("waits_on")
	if r.err != nil {
		return nil, &InvalidJobError{JobID: ref, Err: r.err}
	}
	return j, nil
}

// The most characters of names.
const (
	maxName  = 200
	maxWord  = 40
	maxImage = 1000
)

// readNames reads what the job and its kind are called.
func (j *Job) readNames(r *reader) {
	j.ID = r.text("ref", maxName, false)
	if r.err == nil && !ValidJobID(j.ID) {
		r.fail("ref", "job- and digits")
	}
	j.Class = r.text("lane", maxName, false)
	j.Team = r.text("owner", maxName, false)
	j.Kind = r.text("shape", maxWord, false)
	if r.err == nil && j.Kind != "batch" {
		r.fail("shape", "\"batch\"")
	}
	j.Priority = r.text("urgency", maxWord, false)
	if r.err == nil && j.PriorityClass() == len(priorities) {
		r.fail("urgency", "one of "+strings.Join(priorities, ", "))
	}
}

// readNeeds reads what the tasks need, and where they may run.
func (j *Job) readNeeds(r *reader) {
	j.Tasks = int(r.number("pieces", 1, MaxTasks, true))
	j.CPUs = r.number("vcpus", 0, 1e6, false)
	j.GPUs = r.number("gpus", 0, 1e6, false)
	j.MemGB = r.number("mem_gb", 0, 1e9, false)
	j.Image = r.text("bundle", maxImage, false)
	j.ImageGB = r.number("size_gb", 0, 1e9, false)
	r.optional("flavors", &j.Types, "a list of machine types, or null")
	if r.err == nil && j.Types != nil && len(j.Types) == 0 {
		r.fail("flavors", "a list of at least one machine type, or null")
	}
	r.optional("room", &j.Zone, "a zone's name, or null")
	j.Gang = r.flag("together")
	j.Spread = r.flag("spread")
	j.Spot = r.flag("loaners")
}

// readTimes reads how long the tasks take, and by when they should be done.
func (j *Job) readTimes(r *reader) {
	j.EstimatedRunS = r.number("guess_s", 0, 1e9, false)
	j.CheckpointIntervalS = r.number("snapshot_s", 0, 1e9, false)
	j.CheckpointDurationS = r.number("flush_s", 0, 1e9, false)
	if r.present("due_s") {
		v := r.number("due_s", 0, 1e9, false)
		j.DeadlineS = &v
	}
}

// reader takes fields one by one and keeps the first fault.
type reader struct {
	fields map[string]json.RawMessage
	err    error
}

func (r *reader) fail(key, want string) {
	if r.err == nil {
		r.err = &InvalidFieldError{Field: key, Requirement: "be " + want}
	}
}

func (r *reader) present(key string) bool {
	raw, ok := r.fields[key]
	return ok && string(raw) != "null"
}

func (r *reader) text(key string, most int, empty bool) string {
	var s string
	if !r.present(key) || json.Unmarshal(r.fields[key], &s) != nil || len(s) > most || s == "" && !empty {
		r.fail(key, "a text")
	}
	return s
}

func (r *reader) flag(key string) bool {
	var b bool
	if !r.present(key) || json.Unmarshal(r.fields[key], &b) != nil {
		r.fail(key, "true or false")
	}
	return b
}

func (r *reader) number(key string, least, most float64, whole bool) float64 {
	var v float64
	want := fmt.Sprintf("a number from %v to %v", least, most)
	if whole {
		want = fmt.Sprintf("a whole number from %v to %v", least, most)
	}
	if !r.present(key) || json.Unmarshal(r.fields[key], &v) != nil ||
		v < least || v > most || whole && v != math.Trunc(v) {
		r.fail(key, want)
	}
	return v
}

func (r *reader) optional(key string, into any, want string) {
	if r.present(key) && json.Unmarshal(r.fields[key], into) != nil {
		r.fail(key, want)
	}
}

// refs reads a list of job ids, each once; absent, null and empty mean none.
func (r *reader) refs(key string) []string {
	var all, once []string
	r.optional(key, &all, "a list of job ids, or null")
	for _, ref := range all {
		if !ValidJobID(ref) {
			r.fail(key, "a list of job ids, or null")
		}
		if !slices.Contains(once, ref) {
			once = append(once, ref)
		}
	}
	return once
}

// ParseHeartbeat reads a worker's report. What it returns shares the body's memory:
// the body must not change afterwards, and what is kept for long is to be cloned.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var r Heartbeat
	if err := decode(body, &r, json.ZeroCopy); err != nil {
		return nil, err
	}
	switch {
	case r.Machine == "" || len(r.Machine) > 200:
		return nil, &InvalidFieldError{"host", "name the machine"}
	case r.Type == "":
		return nil, &InvalidFieldError{"flavor", "be given"}
	case r.Zone == "":
		return nil, &InvalidFieldError{"room", "be given"}
	case r.AgentEpoch == 0:
		return nil, &InvalidFieldError{"tenure", "be 1 or more"}
	case r.TerminationNoticeS != nil && (*r.TerminationNoticeS < 0 || math.IsNaN(*r.TerminationNoticeS)):
		return nil, &InvalidFieldError{"warning_s", "be null, or 0 or more"}
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		t.Status = known(t.Status, TaskRunning, TaskEnded, TaskFetching, TaskCheckpointing)
		if _, err := ParseTaskName(t.Task); err != nil {
			return nil, err
		}
		// A state that we don't know yet still occupies its machine, so it is
		// taken as it is; refusing the report would cost the worker its lease.
		if t.Status == "" {
			return nil, fmt.Errorf("piece %q has no status", t.Task)
		}
	}
	return &r, nil
}

// decode reads the one JSON object that a body must be.
func decode(body []byte, into any, flags json.ParseFlags) error {
	rest, err := json.Parse(body, into, flags)
	if err != nil {
		return fmt.Errorf("the body must be one JSON object as the protocol has it: %w", err)
	}
	if len(bytes.TrimSpace(rest)) > 0 {
		return errors.New("the body must end after its JSON object")
	}
	return nil
}

// known returns the constant that a text equals, if it is one of them, so that
// keeping it does not keep a whole body.
func known(text string, constants ...string) string {
	for _, c := range constants {
		if text == c {
			return c
		}
	}
	return strings.Clone(text)
}
