package rollout

import (
	"testing"

	"leadproxy/internal/property"
)

// TestGoldenRecords compares the encoding of a plan's record with the golden files, since records
// outlive controllers.
func TestGoldenRecords(t *testing.T) {
	property.CheckGolden(t, "plan", &Record{})
	property.CheckGolden(t, "plan_request", &Spec{})
	property.CheckGolden(t, "plan_move", &EvictionRecord{})
}

// TestGoldenConstants compares the constants that are stored or that operators use with the golden
// file.
func TestGoldenConstants(t *testing.T) {
	property.CheckGoldenValues(t, "constants", map[string]any{
		"phase choosing":        PhaseSelecting,
		"phase hiring":          PhaseScalingOut,
		"phase draining":        PhaseDraining,
		"phase checking":        PhaseChecking,
		"phase finished":        PhaseFinished,
		"phase aborted":         PhaseAborted,
		"phase failed":          PhaseFailed,
		"command pause":         Pause,
		"command resume":        Resume,
		"command abort":         Abort,
		"command allow":         Allow,
		"command skip":          Skip,
		"cause move":            CauseEviction,
		"record version":        RecordVersion,
		"prefix of hires":       ScaleOutRequestPrefix,
		"group of the team a":   TeamGroup("a"),
		"group of the class a":  ClassGroup("a"),
		"most listed machines":  maxSelectedMachines,
		"most machines a batch": maxBatch,
		"most moves":            maxEvictions,
		"most named":            maxOverrides,
	})
}
