package rollout

import (
	"errors"
	"testing"
)

// TestCommands: commands that the plan can't carry out are refused, and a skipped machine is no
// longer cordoned.
func TestCommands(t *testing.T) {
	notDone := func(string, int) bool { return false }
	plan := NewController(Record{Version: RecordVersion, Spec: Spec{Name: "w"}, Phase: PhaseDraining, Batch: []string{"vm-1", "vm-2"}}, NewDisruptionTracker(Budgets{}), notDone, 0, 0)
	if !plan.IsCordoned("vm-1") || !plan.IsCordoned("vm-2") {
		t.Errorf("the batch is not cordoned: %+v", plan.record)
	}
	if err := plan.Apply(Skip, "", 0); !errors.Is(err, ErrInvalidCommand) {
		t.Errorf("skipping no machine: %v", err)
	}
	if err := plan.Apply("stop", "", 0); !errors.Is(err, ErrInvalidCommand) {
		t.Errorf("an unknown command: %v", err)
	}
	if err := plan.Apply(Skip, "vm-1", 0); err != nil || plan.IsCordoned("vm-1") || !plan.IsCordoned("vm-2") {
		t.Errorf("skipping vm-1: %v, %+v", err, plan.record)
	}
	if plan.IsDurable() {
		t.Error("a command takes effect before it is durable")
	}
	if err := plan.Apply(Abort, "", 0); err != nil || plan.IsCordoned("vm-2") {
		t.Errorf("%+v, %v", plan.record, err)
	}
	if err := plan.Apply(Resume, "", 0); !errors.Is(err, ErrInvalidCommand) {
		t.Error(err)
	}
}
