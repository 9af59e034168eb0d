package rollout

import (
	"errors"
	"testing"
)

// TestRecordCheck: records that no controller of this version can have written are refused.
func TestRecordCheck(t *testing.T) {
	for _, wrong := range []Record{{}, {Version: RecordVersion, Phase: "waiting"}, {Version: RecordVersion, Phase: PhaseSelecting, Spec: Spec{Name: "x"}}} {
		if err := wrong.Check("w"); !errors.Is(err, ErrInvalidRecord) {
			t.Errorf("%+v: %v", wrong, err)
		}
	}
}
