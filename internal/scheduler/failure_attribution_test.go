package scheduler

import (
	"fmt"
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestFailureAttribution: a machine on which a task failed is quarantined once the same job
// succeeds on another machine, but not when the job itself may be at fault.
func TestFailureAttribution(t *testing.T) {
	cases := []struct {
		name       string
		ends       []string // how attempts of one job end on vm-1, vm-2, ...
		quarantine int
	}{
		{"a single failure quarantines no machine", []string{wire.ExitError}, 0},
		{"a success elsewhere quarantines the machine of the failure", []string{wire.ExitError, wire.ExitDone}, 1},
		{"a job that fails everywhere quarantines no machine", []string{wire.ExitError, wire.ExitError, wire.ExitError}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			for i := range test.ends {
				h.bringUp(fmt.Sprintf("vm-%d", i+1))
			}
			h.submit(newTestJob("job-1", 2, 3)) // two tasks, each machine has capacity for one
			for len(test.ends) > 0 {
				sent := h.sentCommands[0]
				h.sentCommands = h.sentCommands[1:]
				h.step(CommandResult{CommandID: sent.CommandID, Outcome: CommandExecuted})
				h.sendHeartbeat(h.newHeartbeat(sent.Machine, termToken, newTaskStatus(sent.Request.Commands[0], wire.TaskEnded, test.ends[0])))
				test.ends = test.ends[1:]
			}
			quarantined := 0
			for _, m := range h.core.machines.list {
				if m.health.quarantined {
					quarantined++
				}
			}
			h.want("machines quarantined", quarantined, test.quarantine)
		})
	}
}
