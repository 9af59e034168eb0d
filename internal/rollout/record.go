package rollout

import (
	"errors"
	"fmt"
)

// RecordVersion is the version of the format of a plan's record. Records of other versions are
// refused.
const RecordVersion = 1

// Phase is the phase of a plan.
type Phase string

// The phases. A plan in one of the last three has ended.
const (
	PhaseSelecting  Phase = "choosing"
	PhaseScalingOut Phase = "hiring"
	PhaseDraining   Phase = "draining"
	PhaseChecking   Phase = "checking"
	PhaseFinished   Phase = "finished"
	PhaseAborted    Phase = "aborted"
	PhaseFailed     Phase = "failed"
)

// Ended reports whether a plan in this phase has ended.
func (p Phase) Ended() bool { return p == PhaseFinished || p == PhaseAborted || p == PhaseFailed }

// Record is the state of a plan as the ledger stores it.
type Record struct {
	Version   int   `json:"version"`
	Spec      Spec  `json:"spec"`
	CreatedMS int64 `json:"created_ms"`
	Phase     Phase `json:"phase"`
	// PhaseMS is the wall clock time at which the phase began.
	PhaseMS int64 `json:"phase_ms"`
	Paused  bool  `json:"paused,omitempty"`
	// Reason is why the plan is paused or has ended.
	Reason string `json:"why,omitempty"`
	Step   int    `json:"step"` // number of steps begun
	// Batch has the machines of the current step, and ScaleOutRequestID identifies the request for
	// their replacements.
	Batch             []string         `json:"batch,omitempty"`
	ScaleOutRequestID string           `json:"hire,omitempty"`
	Replacements      []string         `json:"replacements,omitempty"`
	Evictions         []EvictionRecord `json:"moves,omitempty"`
	// Allowed has the jobs that may lose their progress, and Skipped the machines that are left
	// out, both by command of an operator.
	Allowed []string `json:"allowed,omitempty"`
	Skipped []string `json:"skipped,omitempty"`
	// Drained is the number of machines of past steps.
	Drained int `json:"drained"`
}

// EvictionRecord is a task that the plan has evicted or may have evicted.
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

// ErrInvalidRecord means that no controller of this version can have written a plan's record.
var ErrInvalidRecord = errors.New("invalid record of a plan")

// Check returns ErrInvalidRecord if the record cannot be that of the named plan.
func (r *Record) Check(name string) error {
	if r.Version != RecordVersion {
		return fmt.Errorf("%w: version %d is not the supported version %d", ErrInvalidRecord, r.Version, RecordVersion)
	}
	switch r.Phase {
	case PhaseSelecting, PhaseScalingOut, PhaseDraining, PhaseChecking, PhaseFinished, PhaseAborted, PhaseFailed:
	default:
		return fmt.Errorf("%w: unknown phase %q", ErrInvalidRecord, r.Phase)
	}
	if r.Spec.Name != name || r.Step < 0 || r.Drained < 0 {
		return fmt.Errorf("%w: plan %q, step %d, %d machines drained: the name must match the key and the counts must not be negative", ErrInvalidRecord, r.Spec.Name, r.Step, r.Drained)
	}
	for _, eviction := range r.Evictions {
		if eviction.Task < 0 || eviction.LostProgressMS < 0 {
			return fmt.Errorf("%w: negative task index or lost progress in the eviction of task %d of job %s", ErrInvalidRecord, eviction.Task, eviction.JobID)
		}
	}
	return nil
}
