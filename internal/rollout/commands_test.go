package rollout

import (
	"errors"
	"testing"
)

// TestCommands checks that invalid commands are refused, that a skipped machine is no longer
// cordoned, and that a command counts only once it is durable.
func TestCommands(t *testing.T) {
	notDone := func(string, int) bool { return false }
	plan := NewController(Record{Version: RecordVersion, Spec: Spec{Name: "w"}, Phase: PhaseDraining, Batch: []string{"vm-1", "vm-2"}}, NewDisruptionTracker(Budgets{}), notDone, 0, 0)
	if !plan.IsCordoned("vm-1") || !plan.IsCordoned("vm-2") {
		t.Errorf("the machines of the batch are not cordoned: %+v", plan.record)
	}
	if err := plan.Apply(Skip, "", 0); !errors.Is(err, ErrInvalidCommand) {
		t.Errorf("skip without a machine: %v, want ErrInvalidCommand", err)
	}
	if err := plan.Apply("stop", "", 0); !errors.Is(err, ErrInvalidCommand) {
		t.Errorf("unknown command: %v, want ErrInvalidCommand", err)
	}
	if err := plan.Apply(Skip, "vm-1", 0); err != nil || plan.IsCordoned("vm-1") || !plan.IsCordoned("vm-2") {
		t.Errorf("skip vm-1: %v, want only vm-1 uncordoned: %+v", err, plan.record)
	}
	if plan.IsDurable() {
		t.Error("the record counts as durable before the command is stored")
	}
	if err := plan.Apply(Abort, "", 0); err != nil || plan.IsCordoned("vm-2") {
		t.Errorf("record after abort: %+v, want vm-2 uncordoned; error: %v", plan.record, err)
	}
	if err := plan.Apply(Resume, "", 0); !errors.Is(err, ErrInvalidCommand) {
		t.Error(err)
	}
}
