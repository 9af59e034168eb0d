package rollout

import (
	"errors"
	"testing"
)

// TestRecordCheck checks that records are refused that no controller of this version can have
// written.
func TestRecordCheck(t *testing.T) {
	for _, record := range []Record{{}, {Version: RecordVersion, Phase: "waiting"}, {Version: RecordVersion, Phase: PhaseSelecting, Spec: Spec{Name: "x"}}} {
		if err := record.Check("w"); !errors.Is(err, ErrInvalidRecord) {
			t.Errorf("%+v: %v, want ErrInvalidRecord", record, err)
		}
	}
}
