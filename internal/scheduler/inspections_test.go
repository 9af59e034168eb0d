package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestAgentThatRestarts: an agent that has restarted within a moment can't be told from a late
// copy until it is inspected.
func TestAgentThatRestarts(t *testing.T) {
	cases := []struct {
		name   string
		says   uint64 // the sequence number in the inspection's result
		starts int
	}{
		{"it was a late copy", 90, 0},
		{"it has begun anew", 2, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.submit(newTestJob("job-1", 1, 1))
			o := g.starts()[0]
			g.endCommands(CommandExecuted)
			g.seq["vm-1"] = 40
			g.sendHeartbeat(g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskRunning, "")))
			again := *g.heartbeatOf("vm-1", 0)
			again.Sequence = 1
			g.sendHeartbeat(&again)
			asked := 0
			for _, e := range g.out {
				if _, ok := e.(InspectAgent); ok {
					asked++
				}
			}
			g.want("asked", asked, 1)
			now := again
			now.Sequence = c.says
			if c.says > 40 {
				now.FencingToken, now.Tasks = termToken, []wire.TaskStatus{taskIn(o, wire.TaskRunning, "")}
			}
			g.step(InspectResult{Machine: "vm-1", Heartbeat: &now})
			g.seq["vm-1"] = c.says
			if c.says < 40 {
				g.acknowledge("vm-1")
			}
			g.want("started anew", len(g.starts()), c.starts)
			g.want("bookings", g.c.jobs.list[0].progress.allocated, 1)
			if c.starts == 0 {
				return
			}
			// A heartbeat of the incarnation that has ended has a higher position than all from
			// now on: by that the new attempt was missing, and the task was started on another
			// machine as well.
			n := g.starts()[0]
			g.endCommands(CommandExecuted)
			old := *g.heartbeatOf("vm-1", termToken, taskIn(o, wire.TaskRunning, ""))
			old.Sequence = 41
			g.sendHeartbeat(&old)
			g.want("bookings after an old report", g.c.jobs.list[0].progress.allocated, 1)
			g.want("the new attempt", g.c.machineNamed("vm-1").allocation(n.Attempt) != nil, true)
		})
	}
}

// TestLateCopiesCostLittle: copies of old heartbeats may come for minutes and from all machines;
// inspecting each agent for each of them would be as many commands.
func TestLateCopiesCostLittle(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	asked := func() (names []string) {
		for _, e := range g.out {
			if i, ok := e.(InspectAgent); ok {
				names = append(names, i.Machine)
			}
		}
		g.out = nil
		return names
	}
	const machines = 100
	name := func(i int) string { return fmt.Sprintf("vm-%d", i) }
	copies := map[string]*wire.Heartbeat{}
	for i := range machines {
		copies[name(i)] = g.heartbeatOf(name(i), 0)
		g.bringUp(name(i))
		g.sendHeartbeat(g.heartbeatOf(name(i), termToken))
	}
	g.out = nil
	for i := range machines {
		g.step(HeartbeatEvent{Heartbeat: copies[name(i)], ReplyTo: recipient("w")})
	}
	at := asked()
	g.want("asked at once", len(at), maxInspections)
	for _, n := range at {
		g.step(InspectResult{Machine: n, Heartbeat: g.heartbeatOf(n, termToken)})
	}
	count := 0
	for range 60 {
		g.wait(time.Second)
		g.acknowledge("vm-0")
		g.out = nil
		g.step(HeartbeatEvent{Heartbeat: copies["vm-0"], ReplyTo: recipient("w")})
		for _, n := range asked() {
			count++
			g.step(InspectResult{Machine: n, Heartbeat: g.heartbeatOf(n, termToken)})
		}
	}
	if count < 1 || count > 5 {
		t.Errorf("asked %d times in a minute of late copies", count)
	}
}
