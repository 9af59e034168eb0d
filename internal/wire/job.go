package wire

import (
	"slices"
	"strings"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100000

// kindBatch is the only supported value of Job.Kind.
const kindBatch = "batch"

// priorities lists the values of Job.Priority, from the most to the least urgent.
var priorities = []string{"critical", "high", "standard", "idle"}

// Job is the description of a job, as submitted by its user.
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
	// DependsOn lists, without duplicates, the ids of the jobs that must be done before any
	// task of this one starts.
	DependsOn []string `json:"waits_on,omitempty"`
}

// CancelledSummary returns the part of the description that is kept for a cancelled job. A new
// leader needs it to charge the job's team for tasks that are not yet known to have stopped.
func (j *Job) CancelledSummary() *Job {
	return &Job{ID: j.ID, Class: j.Class, Team: j.Team, Kind: j.Kind, Priority: j.Priority, Tasks: j.Tasks,
		CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB, Gang: j.Gang, Spread: j.Spread, Spot: j.Spot, EstimatedRunS: j.EstimatedRunS}
}

// PriorityClass returns the job's priority as a number, with 0 the most urgent. An unknown priority
// ranks after all others.
func (j *Job) PriorityClass() int {
	if class := slices.Index(priorities, j.Priority); class >= 0 {
		return class
	}
	return len(priorities)
}

// PriorityName returns the name of a priority class. A class out of range counts as the nearest one.
func PriorityName(class int) string { return priorities[min(max(class, 0), len(priorities)-1)] }

// A job id is JobIDPrefix followed by 1 to MaxJobIDDigits decimal digits.
const (
	JobIDPrefix    = "job-"
	MaxJobIDDigits = 32
)

// ValidJobID reports whether text has the form of a job id.
func ValidJobID(text string) bool {
	digits, found := strings.CutPrefix(text, JobIDPrefix)
	return found && len(digits) <= MaxJobIDDigits && isDigits(digits)
}
