package rollout

import (
	"errors"
	"fmt"
)

// Phase is where a plan stands.
type Phase string

// The phases. The last three are ends.
const (
	Choosing Phase = "choosing"
	Hiring   Phase = "hiring"
	Draining Phase = "draining"
	Checking Phase = "checking"
	Finished Phase = "finished"
	Aborted  Phase = "aborted"
	Failed   Phase = "failed"
)

// Over tells whether a plan has ended.
func (p Phase) Over() bool { return p == Finished || p == Aborted || p == Failed }

// Record is a plan as the ledger keeps it.
type Record struct {
	Version   int   `json:"version"`
	Spec      Spec  `json:"spec"`
	CreatedMS int64 `json:"created_ms"`
	Phase     Phase `json:"phase"`
	// PhaseMS is when the phase began, by the time of day.
	PhaseMS int64 `json:"phase_ms"`
	Paused  bool  `json:"paused,omitempty"`
	// Why tells why the plan is paused or has ended.
	Why  string `json:"why,omitempty"`
	Step int    `json:"step"` // steps begun
	// Batch are the machines of the present step, and Hire the request for their
	// replacements.
	Batch        []string     `json:"batch,omitempty"`
	Hire         string       `json:"hire,omitempty"`
	Replacements []string     `json:"replacements,omitempty"`
	Moves        []MoveRecord `json:"moves,omitempty"`
	// Allowed are jobs that the operator lets lose their progress, and Skipped machines
	// that are left out.
	Allowed []string `json:"allowed,omitempty"`
	Skipped []string `json:"skipped,omitempty"`
	Drained int      `json:"drained"` // machines that are gone, by the plan
}

// MoveRecord is a task that the plan has, or may have, told to stop.
type MoveRecord struct {
	Ref     string `json:"ref"`
	Team    string `json:"team"`
	Class   string `json:"class"`
	Task    int    `json:"task"`
	Machine string `json:"machine"`
	// LostMS is the progress that is lost.
	LostMS  int64 `json:"lost_ms,omitempty"`
	BeganMS int64 `json:"began_ms"`
}

// Check tells what no controller can have written.
func (r *Record) Check(name string) error {
	if r.Version != RecordVersion {
		return fmt.Errorf("a plan of version %d, %d is known", r.Version, RecordVersion)
	}
	switch r.Phase {
	case Choosing, Hiring, Draining, Checking, Finished, Aborted, Failed:
	default:
		return fmt.Errorf("unknown phase %q", r.Phase)
	}
	if r.Spec.Name != name || r.Step < 0 || r.Drained < 0 {
		return errors.New("not the record of that plan")
	}
	for _, m := range r.Moves {
		if m.Task < 0 || m.LostMS < 0 {
			return fmt.Errorf("a move of task %d", m.Task)
		}
	}
	return nil
}
