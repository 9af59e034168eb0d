package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// newWakeupHarness returns a harness without direct starts, with one machine, and a job that waits for the
// next heartbeat of its agent.
func newWakeupHarness(t *testing.T) *harness {
	cfg := testConfig(settings.Defaults(), settings.Team{Name: "t"})
	cfg.Operator.DirectStarts = false
	h := newHarnessWithConfig(t, 0, cfg, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newTestJob("job-1", 2, 1))
	return h
}

// takeWakeup returns the wake-up that was sent, which must be the only direct command.
func (h *harness) takeWakeup() SendCommands {
	h.t.Helper()
	if len(h.sentCommands) != 1 || len(h.sentCommands[0].Request.Commands) != 1 || h.sentCommands[0].Request.Commands[0].Task != wakeTaskName {
		h.t.Errorf("direct commands %+v, want one wake-up", h.sentCommands)
		return SendCommands{}
	}
	wakeup := h.sentCommands[0]
	h.sentCommands = nil
	return wakeup
}

// TestStartsTravelInResponses guards against a start in a direct command, of which a late copy runs the task
// again on a machine that has restarted: the agent is woken, and its heartbeat's response has the starts.
func TestStartsTravelInResponses(t *testing.T) {
	h := newWakeupHarness(t)
	wakeup := h.takeWakeup()
	h.advance(time.Second)
	h.want("wake-ups while one is in flight", len(h.sentCommands), 0)
	refused := newTaskStatus(wakeup.Request.Commands[0], wire.TaskEnded, wire.ExitNoSuchTask)
	h.step(CommandResult{CommandID: wakeup.CommandID, Outcome: CommandExecuted, Heartbeat: h.newHeartbeat("vm-1", termToken, refused)})
	h.want("starts before the heartbeat", len(h.startCommands()), 0)
	response := h.acknowledge("vm-1", refused)
	h.want("commands in the response", commandVerbs(response), "forget start start ")
	running := []wire.TaskStatus{newTaskStatus(response.Commands[1], wire.TaskRunning, ""), newTaskStatus(response.Commands[2], wire.TaskRunning, "")}
	h.acknowledge("vm-1", running...)
	h.want("job-1", h.jobStatus("job-1"), wire.JobRunning)
	h.submit(newTestJob("job-2", 1, 1))
	h.takeWakeup()
	h.acknowledge("vm-1", running...)
	h.submit(newTestJob("job-3", 1, 1))
	h.takeWakeup() // although the result of the last one is not known yet
}

// TestPendingStartsAreGivenUp guards against starts that wait for a heartbeat which does not come, or that
// are sent although they are no longer allowed.
func TestPendingStartsAreGivenUp(t *testing.T) {
	for _, test := range []struct {
		name      string
		act       func(h *harness, wakeup SendCommands)
		allocated int
		starts    int // in the response to the next heartbeat, which may place the tasks again
	}{
		{"the agent was woken", func(h *harness, wakeup SendCommands) {
			h.step(CommandResult{CommandID: wakeup.CommandID, Outcome: CommandExecuted})
		}, 2, 2},
		{"the wake-up was not sent", func(h *harness, wakeup SendCommands) {
			h.step(CommandResult{CommandID: wakeup.CommandID, Outcome: CommandNotSent})
		}, 0, 0},
		{"the wake-up has no answer", func(h *harness, wakeup SendCommands) {
			h.step(CommandResult{CommandID: wakeup.CommandID, Outcome: CommandOutcomeUnknown})
		}, 0, 0},
		{"the agent sends no heartbeat", func(h *harness, wakeup SendCommands) {
			h.step(CommandResult{CommandID: wakeup.CommandID, Outcome: CommandExecuted})
			h.advance(h.core.agents.unreachableTimeout())
		}, 0, 2},
		{"the job is cancelled", func(h *harness, _ SendCommands) {
			h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
		}, 0, 0},
		{"the machine is quarantined", func(h *harness, _ SendCommands) {
			h.core.machines.find("vm-1").health.quarantined = true
		}, 2, 0},
		{"the job avoids the machine", func(h *harness, _ SendCommands) {
			m := h.core.machines.find("vm-1")
			h.core.jobs.list[0].retry.failedOn = map[int32]time.Duration{m.index: h.now + failureAvoidance}
		}, 2, 0},
		{"the machine has a termination notice", func(h *harness, _ SendCommands) {
			seconds := 20.0
			heartbeat := h.newHeartbeat("vm-1", termToken)
			heartbeat.TerminationNoticeS = &seconds
			h.sendHeartbeat(heartbeat)
		}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newWakeupHarness(t)
			test.act(h, h.takeWakeup())
			h.want("allocated tasks", h.core.jobs.list[0].progress.allocated, test.allocated)
			h.acknowledge("vm-1")
			h.want("starts", len(h.startCommands()), test.starts)
		})
	}
}

// TestCopiesReachRestartedMachines guards against a task that a late copy of a command runs beside itself,
// beyond its team's limit or after its job was cancelled, on a machine that is back at once and has lost
// its token.
func TestCopiesReachRestartedMachines(t *testing.T) {
	starts := 0
	for seed := range uint64(200) {
		r := newConstraintHistory(t, rand.New(rand.NewPCG(seed, 56)))
		r.copies, r.reboots, r.maxAgents = true, true, 6
		r.harness.core.commands.directStarts = false
		r.harness.core.cfg.Operator.DirectStarts = false
		for range 120 {
			r.performRandomAction()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		starts += r.starts
	}
	if starts < 3000 {
		t.Errorf("%d starts: the model shows little", starts)
	}
}
