package rollout

import (
	"errors"
	"testing"
)

// TestCommands: commands that the plan can't carry out are refused, and a skipped machine is no
// longer cordoned.
func TestCommands(t *testing.T) {
	notDone := func(string, int) bool { return false }
	plan := NewRollout(Record{Version: RecordVersion, Spec: Spec{Name: "w"}, Phase: Draining, Batch: []string{"vm-1", "vm-2"}}, NewAccount(Budgets{}), notDone, 0, 0)
	if !plan.Cordons("vm-1") || !plan.Cordons("vm-2") {
		t.Errorf("the batch is not cordoned: %+v", plan.record)
	}
	if err := plan.Steer(Skip, "", 0); !errors.Is(err, ErrCommand) {
		t.Errorf("skipping no machine: %v", err)
	}
	if err := plan.Steer("stop", "", 0); !errors.Is(err, ErrCommand) {
		t.Errorf("an unknown command: %v", err)
	}
	if err := plan.Steer(Skip, "vm-1", 0); err != nil || plan.Cordons("vm-1") || !plan.Cordons("vm-2") {
		t.Errorf("skipping vm-1: %v, %+v", err, plan.record)
	}
	if plan.Durable() {
		t.Error("a command takes effect before it is durable")
	}
	if err := plan.Steer(Abort, "", 0); err != nil || plan.Cordons("vm-2") {
		t.Errorf("%+v, %v", plan.record, err)
	}
	if err := plan.Steer(Resume, "", 0); !errors.Is(err, ErrCommand) {
		t.Error(err)
	}
}
