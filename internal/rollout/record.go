package rollout

import (
	"errors"
	"fmt"
)

// RecordVersion is the version of a plan's record. Others are refused.
const RecordVersion = 1

// Phase is the state of a plan.
type Phase string

// The phases. In the last three, the plan has ended.
const (
	PhaseSelecting  Phase = "choosing"
	PhaseScalingOut Phase = "hiring"
	PhaseDraining   Phase = "draining"
	PhaseChecking   Phase = "checking"
	PhaseFinished   Phase = "finished"
	PhaseAborted    Phase = "aborted"
	PhaseFailed     Phase = "failed"
)

// Ended reports whether a plan has ended.
func (p Phase) Ended() bool { return p == PhaseFinished || p == PhaseAborted || p == PhaseFailed }

// Record is a plan as the ledger stores it.
type Record struct {
	Version   int   `json:"version"`
	Spec      Spec  `json:"spec"`
	CreatedMS int64 `json:"created_ms"`
	Phase     Phase `json:"phase"`
	// PhaseMS is the time of day at which the phase began.
	PhaseMS int64 `json:"phase_ms"`
	Paused  bool  `json:"paused,omitempty"`
	// Reason is the reason for which the plan is paused or has ended.
	Reason string `json:"why,omitempty"`
	Step   int    `json:"step"` // steps begun
	// Batch are the machines of the current step, and ScaleOutRequestID is the name of the request for their
	// replacements.
	Batch             []string         `json:"batch,omitempty"`
	ScaleOutRequestID string           `json:"hire,omitempty"`
	Replacements      []string         `json:"replacements,omitempty"`
	Evictions         []EvictionRecord `json:"moves,omitempty"`
	// Allowed are jobs that may lose their progress, by the operator's permission, and Skipped
	// are machines that are left out.
	Allowed []string `json:"allowed,omitempty"`
	Skipped []string `json:"skipped,omitempty"`
	// Drained counts the machines of past steps.
	Drained int `json:"drained"`
}

// EvictionRecord is a task that the plan has, or may have, evicted.
type EvictionRecord struct {
	JobID   string `json:"ref"`
	Team    string `json:"team"`
	Class   string `json:"class"`
	Task    int    `json:"task"`
	Machine string `json:"machine"`
	// LostProgressMS is the run time that has to be repeated.
	LostProgressMS int64 `json:"lost_ms,omitempty"`
	StartedMS      int64 `json:"began_ms"`
}

// ErrInvalidRecord means that a plan's record can't have been written by a controller of this version.
var ErrInvalidRecord = errors.New("invalid record of a plan")

// Check returns ErrInvalidRecord for a record that can't be that of the named plan.
func (r *Record) Check(name string) error {
	if r.Version != RecordVersion {
		return fmt.Errorf("%w: version %d, %d is known", ErrInvalidRecord, r.Version, RecordVersion)
	}
	switch r.Phase {
	case PhaseSelecting, PhaseScalingOut, PhaseDraining, PhaseChecking, PhaseFinished, PhaseAborted, PhaseFailed:
	default:
		return fmt.Errorf("%w: unknown phase %q", ErrInvalidRecord, r.Phase)
	}
	if r.Spec.Name != name || r.Step < 0 || r.Drained < 0 {
		return fmt.Errorf("%w: plan %q, step %d, %d machines drained", ErrInvalidRecord, r.Spec.Name, r.Step, r.Drained)
	}
	for _, e := range r.Evictions {
		if e.Task < 0 || e.LostProgressMS < 0 {
			return fmt.Errorf("%w: eviction of task %d of job %s", ErrInvalidRecord, e.Task, e.JobID)
		}
	}
	return nil
}
