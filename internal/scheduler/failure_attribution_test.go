package scheduler

import (
	"fmt"
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

func TestFailureAttribution(t *testing.T) {
	cases := []struct {
		name       string
		ends       []string // how the starts of one job end on vm-1, vm-2, ...
		quarantine int
	}{
		{"one failure alone blames nobody", []string{wire.ExitError}, 0},
		{"a success elsewhere blames the machine", []string{wire.ExitError, wire.ExitDone}, 1},
		{"a job that fails everywhere blames no machine", []string{wire.ExitError, wire.ExitError, wire.ExitError}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			for i := range c.ends {
				g.bringUp(fmt.Sprintf("vm-%d", i+1))
			}
			g.submit(newTestJob("job-1", 2, 3)) // two tasks, one fits on each machine
			for len(c.ends) > 0 {
				d := g.sentCommands[0]
				g.sentCommands = g.sentCommands[1:]
				g.step(CommandResult{CommandID: d.CommandID, Outcome: CommandExecuted})
				g.sendHeartbeat(g.newHeartbeat(d.Machine, termToken, newTaskStatus(d.Request.Commands[0], wire.TaskEnded, c.ends[0])))
				c.ends = c.ends[1:]
			}
			n := 0
			for _, m := range g.core.machines.list {
				if m.health.quarantined {
					n++
				}
			}
			g.want("machines quarantined", n, c.quarantine)
		})
	}
}
