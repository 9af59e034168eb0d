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
			o := g.startCommands()[0]
			g.completeCommands(CommandExecuted)
			g.sequences["vm-1"] = 40
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskRunning, "")))
			again := *g.newHeartbeat("vm-1", 0)
			again.Sequence = 1
			g.sendHeartbeat(&again)
			asked := 0
			for _, e := range g.recentEffects {
				if _, ok := e.(InspectAgent); ok {
					asked++
				}
			}
			g.want("asked", asked, 1)
			now := again
			now.Sequence = c.says
			if c.says > 40 {
				now.FencingToken, now.Tasks = termToken, []wire.TaskStatus{newTaskStatus(o, wire.TaskRunning, "")}
			}
			g.step(InspectResult{Machine: "vm-1", Heartbeat: &now})
			g.sequences["vm-1"] = c.says
			if c.says < 40 {
				g.acknowledge("vm-1")
			}
			g.want("started anew", len(g.startCommands()), c.starts)
			g.want("bookings", g.core.jobs.list[0].progress.allocated, 1)
			if c.starts == 0 {
				return
			}
			// A heartbeat of the incarnation that has ended has a higher position than all from
			// now on: by that the new attempt was missing, and the task was started on another
			// machine as well.
			n := g.startCommands()[0]
			g.completeCommands(CommandExecuted)
			old := *g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskRunning, ""))
			old.Sequence = 41
			g.sendHeartbeat(&old)
			g.want("bookings after an old report", g.core.jobs.list[0].progress.allocated, 1)
			g.want("the new attempt", g.core.findOrAddMachine("vm-1").allocation(n.Attempt) != nil, true)
		})
	}
}

// TestInspectionsOfLateCopiesAreLimited: copies of old heartbeats may come for minutes and from all machines;
// inspecting each agent for each of them would be as many commands.
func TestInspectionsOfLateCopiesAreLimited(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	asked := func() (names []string) {
		for _, e := range g.recentEffects {
			if i, ok := e.(InspectAgent); ok {
				names = append(names, i.Machine)
			}
		}
		g.recentEffects = nil
		return names
	}
	const machines = 100
	name := func(i int) string { return fmt.Sprintf("vm-%d", i) }
	copies := map[string]*wire.Heartbeat{}
	for i := range machines {
		copies[name(i)] = g.newHeartbeat(name(i), 0)
		g.bringUp(name(i))
		g.sendHeartbeat(g.newHeartbeat(name(i), termToken))
	}
	g.recentEffects = nil
	for i := range machines {
		g.step(HeartbeatEvent{Heartbeat: copies[name(i)], ReplyTo: testRecipient("w")})
	}
	at := asked()
	g.want("asked at once", len(at), maxConcurrentInspections)
	for _, n := range at {
		g.step(InspectResult{Machine: n, Heartbeat: g.newHeartbeat(n, termToken)})
	}
	count := 0
	for range 60 {
		g.advance(time.Second)
		g.acknowledge("vm-0")
		g.recentEffects = nil
		g.step(HeartbeatEvent{Heartbeat: copies["vm-0"], ReplyTo: testRecipient("w")})
		for _, n := range asked() {
			count++
			g.step(InspectResult{Machine: n, Heartbeat: g.newHeartbeat(n, termToken)})
		}
	}
	if count < 1 || count > 5 {
		t.Errorf("asked %d times in a minute of late copies", count)
	}
}

// TestStartDuringInspection guards against a task that runs twice: an agent was reset, and while it
// is inspected it executes a start that the result of the inspection does not list yet. Only a
// heartbeat that acknowledges a token raised since then shows what it has.
func TestStartDuringInspection(t *testing.T) {
	executed := func(g *harness, id uint64, tasks ...wire.TaskStatus) {
		result := *g.newHeartbeat("vm-1", termToken, tasks...)
		result.Sequence = 2
		g.step(CommandResult{CommandID: id, Outcome: CommandExecuted, Heartbeat: &result})
	}
	inspected := func(g *harness) {
		result := *g.newHeartbeat("vm-1", 0)
		result.Sequence = 1
		g.step(InspectResult{Machine: "vm-1", Heartbeat: &result})
	}
	cases := []struct {
		name  string
		start func(g *harness) wire.Command // sends a start to vm-1 after the inspection began
		then  func(g *harness, o wire.Command, commandID uint64)
	}{
		{"a direct command, executed before the result", startByDirectCommand, func(g *harness, o wire.Command, commandID uint64) {
			executed(g, commandID, newTaskStatus(o, wire.TaskRunning, ""))
			inspected(g)
		}},
		{"a direct command, executed after the result", startByDirectCommand, func(g *harness, o wire.Command, commandID uint64) {
			inspected(g)
			executed(g, commandID, newTaskStatus(o, wire.TaskRunning, ""))
		}},
		{"a direct command without an answer", startByDirectCommand, func(g *harness, _ wire.Command, commandID uint64) {
			g.step(CommandResult{CommandID: commandID, Outcome: CommandOutcomeUnknown})
			inspected(g)
		}},
		{"a response to a heartbeat", startInNextResponse, func(g *harness, _ wire.Command, _ uint64) { inspected(g) }},
	}
	for _, c := range cases {
		for _, has := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, the agent has it: %v", c.name, has), func(t *testing.T) {
				g := newHarness(t, ledger.Snapshot{})
				g.bringUp("vm-1")
				g.sequences["vm-1"] = 40
				g.sendHeartbeat(g.newHeartbeat("vm-1", termToken))
				reset := *g.newHeartbeat("vm-1", 0)
				reset.Sequence = 1
				g.sendHeartbeat(&reset)
				o := c.start(g)
				g.bringUp("vm-2")
				commandID := uint64(0)
				for _, command := range g.sentCommands {
					commandID = command.CommandID
				}
				g.sentCommands, g.responseCommands = nil, nil
				c.then(g, o, commandID)
				g.advance(time.Second)
				g.want("starts while the agent may have it", len(g.startCommands()), 0)
				g.sequences["vm-1"] = 2
				var tasks []wire.TaskStatus
				if has {
					tasks = append(tasks, newTaskStatus(o, wire.TaskRunning, ""))
				}
				g.acknowledge("vm-1", tasks...)
				g.want("starts once the agent has shown what it has", len(g.startCommands()), map[bool]int{true: 0, false: 1}[has])
				g.want("allocations", g.core.jobs.list[0].progress.allocated, 1)
			})
		}
	}
}

// startByDirectCommand has a task started on vm-1 by a direct command.
func startByDirectCommand(g *harness) wire.Command {
	g.submit(newTestJob("job-1", 1, 1))
	return g.startCommands()[0]
}

// startInNextResponse has a task started on vm-1 in the response to a heartbeat of the incarnation
// that the inspection has not shown to be over yet.
func startInNextResponse(g *harness) wire.Command {
	g.holdWrites = true
	g.submit(newTestJob("job-1", 1, 1))
	g.sequences["vm-1"] = 41
	g.step(HeartbeatEvent{Heartbeat: g.newHeartbeat("vm-1", termToken), ReplyTo: testRecipient("w")})
	g.releaseWrites()
	g.want("direct commands", len(g.sentCommands), 0)
	return g.startCommands()[0]
}

// TestLeaseOfARestartedAgent guards against a task that runs twice: an agent was reset, executed a
// start and can't be reached any more. Its lease began with the reset, or with the last response
// to it since then, and not with the last heartbeat from before.
func TestLeaseOfARestartedAgent(t *testing.T) {
	const resetAt, silence = 20 * time.Second, 10 * time.Second
	for _, heartbeatsAfter := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d heartbeats after the inspection", heartbeatsAfter), func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{})
			g.bringUp("vm-1")
			g.sequences["vm-1"] = 40
			g.advance(resetAt - silence)
			g.sendHeartbeat(g.newHeartbeat("vm-1", termToken))
			o := startByDirectCommand(g)
			g.advance(silence)
			reset := *g.newHeartbeat("vm-1", 0)
			reset.Sequence = 1
			g.sendHeartbeat(&reset)
			result := reset
			result.Sequence, result.Tasks = 2, []wire.TaskStatus{newTaskStatus(o, wire.TaskRunning, "")}
			g.step(InspectResult{Machine: "vm-1", Heartbeat: &result})
			for range heartbeatsAfter {
				g.now += time.Second
				result.Sequence++
				late := result
				g.sendHeartbeat(&late)
			}
			g.wantRestartOnlyAfterLease()
		})
	}
}

// TestResultOfACommandShowsARestart guards against a task that runs twice: an agent was reset and
// executed a start, which nothing but the result of the command betrays, and can't be reached any
// more. Its lease began with the reset.
func TestResultOfACommandShowsARestart(t *testing.T) {
	const sinceHeartbeat = 10 * time.Second
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.sequences["vm-1"] = 40
	g.sendHeartbeat(g.newHeartbeat("vm-1", termToken))
	o := startByDirectCommand(g)
	commandID := g.sentCommands[0].CommandID
	g.now += sinceHeartbeat
	result := *g.newHeartbeat("vm-1", termToken, newTaskStatus(o, wire.TaskRunning, ""))
	result.Sequence = 1
	g.step(CommandResult{CommandID: commandID, Outcome: CommandExecuted, Heartbeat: &result})
	g.wantRestartOnlyAfterLease()
}

// wantRestartOnlyAfterLease lets a lease pass, which begins now, in which vm-2 can take tasks and vm-1 says
// nothing: a task of vm-1 is started again after it and not before.
func (h *harness) wantRestartOnlyAfterLease() {
	h.t.Helper()
	h.sentCommands, h.responseCommands = nil, nil
	for end := h.now + 30*time.Second; h.now < end; {
		h.advance(time.Second)
		h.bringUpOrAcknowledge("vm-2")
	}
	h.want("starts within its lease", len(h.startCommands()), 0)
	for range 3 {
		h.advance(time.Second)
		h.bringUpOrAcknowledge("vm-2")
	}
	h.want("starts after its lease", len(h.startCommands()), 1)
}

// bringUpOrAcknowledge has another machine be up, and its agent send a heartbeat.
func (h *harness) bringUpOrAcknowledge(name string) {
	if h.sequences[name] == 0 {
		h.bringUp(name)
	}
	h.acknowledge(name)
}
