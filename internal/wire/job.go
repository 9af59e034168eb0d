package wire

import (
	"slices"
	"strings"
)

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100000

// kindBatch is the only kind of job.
const kindBatch = "batch"

// priorities has the most urgent first.
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
// charges the job's team for tasks that are not yet known to have stopped.
func (j *Job) CancelledSummary() *Job {
	return &Job{ID: j.ID, Class: j.Class, Team: j.Team, Kind: j.Kind, Priority: j.Priority, Tasks: j.Tasks,
		CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB, Gang: j.Gang, Spread: j.Spread, Spot: j.Spot, EstimatedRunS: j.EstimatedRunS}
}

// PriorityClass is the job's priority as a number, 0 the most urgent. An unknown priority
// comes after all others.
func (j *Job) PriorityClass() int {
	if class := slices.Index(priorities, j.Priority); class >= 0 {
		return class
	}
	return len(priorities)
}

// PriorityName is the priority of a class. Classes out of range count as the nearest one.
func PriorityName(class int) string { return priorities[min(max(class, 0), len(priorities)-1)] }

// The form of a job id: a prefix and decimal digits.
const (
	jobIDPrefix    = "job-"
	maxJobIDDigits = 32
)

// ValidJobID tells whether a text has the form of a job id.
func ValidJobID(text string) bool {
	digits, found := strings.CutPrefix(text, jobIDPrefix)
	return found && len(digits) <= maxJobIDDigits && isDigits(digits)
}
