package scheduler

import (
	"errors"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/rollout"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// newDrainHarness returns a harness with draining enabled and a budget of one job per team. The
// ledger holds the plan unless it is nil.
func newDrainHarness(t testingT, plan *rollout.Record) *harness {
	operator := settings.Defaults()
	operator.Rollouts = settings.Rollouts{Enabled: true, Budgets: rollout.Budgets{TeamDefault: rollout.Budget{Jobs: 1, Window: time.Second}}}
	var snapshot ledger.Snapshot
	if plan != nil {
		snapshot.Plans = []rollout.Record{*plan}
	}
	return newHarnessWithConfig(t, time.Hour, testConfig(operator, settings.Team{Name: "t"}), snapshot)
}

// newPlanRecord returns the record of the plan "winter", which selects the machines of type m4.
func newPlanRecord(phase rollout.Phase, batch ...string) *rollout.Record {
	return &rollout.Record{Version: rollout.RecordVersion, CreatedMS: time.Hour.Milliseconds(), PhaseMS: time.Hour.Milliseconds(), Phase: phase, Step: 1, Batch: batch,
		Spec: rollout.Spec{Name: "winter", Types: []string{"m4"}, Canary: 1, Batch: 1, WaitS: 100, HealthS: 100}}
}

// writtenPlan returns the latest written record of the plan "winter".
func (h *harness) writtenPlan() rollout.Record {
	record, _ := h.writesByKey[ledger.PlanKey("winter")].Value.(rollout.Record)
	return record
}

// requestPlan sends a request about a plan and returns the error of the reply.
func (h *harness) requestPlan(request PlanRequest) error {
	request.ReplyTo = testRecipient("operator")
	h.step(request)
	reply, ok := lastEffect[PlanReply](h)
	if !ok {
		return errors.New("no reply")
	}
	return reply.Err
}

// TestBatchMachineReturnedByEarlierLeader: an earlier leader returned a machine of the batch just
// before its term ended. The plan used to treat the unknown machine as one that boots, and waited
// for the boot timeout, which was longer than the terms of the leaders.
func TestBatchMachineReturnedByEarlierLeader(t *testing.T) {
	h := newDrainHarness(t, newPlanRecord(rollout.PhaseDraining, "vm-9"))
	h.advance(10 * time.Second)
	h.want("known machines", len(h.core.machines.list), 0)
	h.want("writes before all agents could send a heartbeat", h.writeCount, 0)
	h.advance(30 * time.Second)
	record := h.writtenPlan()
	h.want("phase, drained machines and known machines", []any{record.Phase, record.Drained, len(h.core.machines.list)}, []any{rollout.PhaseFinished, 1, 0})
}

// TestPlanCommandsReplyWhenDurable checks that a new plan is confirmed once its record is durable,
// and that invalid requests are refused at once.
func TestPlanCommandsReplyWhenDurable(t *testing.T) {
	h := newDrainHarness(t, nil)
	spec := newPlanRecord(rollout.PhaseSelecting).Spec
	if err := h.requestPlan(PlanRequest{Spec: &spec}); err == nil || !strings.Contains(err.Error(), "no machine") {
		t.Errorf("plan without machines: %v, want an error", err)
	}
	h.bringUp("vm-1")
	h.holdWrites = true
	h.step(PlanRequest{Spec: &spec, ReplyTo: testRecipient("operator")})
	h.want("durable while writes are held", h.core.plans.byName["winter"].rollout.IsDurable(), false)
	h.releaseWrites()
	reply, _ := lastEffect[PlanReply](h)
	h.want("error once durable", reply.Err, nil)
	if err := h.requestPlan(PlanRequest{Spec: &spec}); !errors.Is(err, errPlanExists) {
		t.Error(err)
	}
	if err := h.requestPlan(PlanRequest{Name: "summer", Command: rollout.Pause}); !errors.Is(err, errNoPlan) {
		t.Error(err)
	}
	h.want("error of pause", h.requestPlan(PlanRequest{Name: "winter", Command: rollout.Pause}), nil)
	h.want("pause in the written record", h.writtenPlan().Paused, true)
	disabled := newHarness(t, ledger.Snapshot{Plans: []rollout.Record{*newPlanRecord(rollout.PhaseSelecting)}})
	if err := disabled.requestPlan(PlanRequest{Name: "winter", Command: rollout.Pause}); !errors.Is(err, errDrainingDisabled) {
		t.Error(err)
	}
}

// TestEvictionIsDurableBeforeStop checks that a task is stopped only once its eviction is durable,
// with the grace period that its checkpoint needs, and that nothing starts on a machine that is
// being drained.
func TestEvictionIsDurableBeforeStop(t *testing.T) {
	h := newDrainHarness(t, nil)
	h.bringUp("vm-1")
	job := newTestJob("job-1", 1, 1)
	job.CheckpointIntervalS, job.CheckpointDurationS, job.EstimatedRunS = 10, 7, 1000
	h.submit(job)
	start := h.startCommands()[0]
	h.completeCommands(CommandExecuted)
	h.now += time.Minute
	running := newTaskStatus(start, wire.TaskRunning, "")
	h.sendHeartbeat(h.newHeartbeat("vm-1", termToken, running))
	spec := newPlanRecord(rollout.PhaseSelecting).Spec
	h.want("error of the plan request", h.requestPlan(PlanRequest{Spec: &spec}), nil)
	for range 4 {
		h.advance(2 * time.Second)
		h.acknowledge("vm-1", running)
	}
	h.holdWrites = true
	for range 20 {
		h.advance(2 * time.Second)
		h.acknowledge("vm-1", running)
	}
	h.want("evictions in the written record", len(h.writtenPlan().Evictions), 1)
	h.want("commands before the eviction is durable", len(h.sentCommands), 0)
	h.submit(newTestJob("job-2", 1, 1))
	h.want("starts on a machine that is being drained", len(h.startCommands()), 0)
	h.releaseWrites()
	h.advance(time.Second)
	h.want("stop commands", len(h.sentCommands), 1)
	stop := h.sentCommands[0].Request.Commands[0]
	h.want("verb, attempt and grace period", []any{stop.Verb, stop.Attempt, *stop.GracePeriodS}, []any{wire.VerbStop, start.Attempt, 7.0})
}

// TestTerminationNoticeWhileDraining: the cloud terminates a machine while a plan has to drain
// another one. The tasks that this stops use up the budget, though they are never refused, and
// thereby delay the evictions of the plan.
func TestTerminationNoticeWhileDraining(t *testing.T) {
	h := newDrainHarness(t, nil)
	h.bringUp("vm-1")
	h.bringUp("vm-2")
	var running []wire.TaskStatus
	for _, jobID := range []string{"job-1", "job-2"} {
		job := newTestJob(jobID, 1, 3)
		job.CheckpointIntervalS, job.CheckpointDurationS, job.EstimatedRunS = 10, 1, 10000
		h.submit(job)
		running = append(running, newTaskStatus(h.startCommands()[0], wire.TaskRunning, ""))
		h.completeCommands(CommandExecuted)
	}
	machines := []string{"vm-1", "vm-2"}
	if h.core.jobs.list[0].record.hosts[0].machine != h.core.findOrAddMachine("vm-1").index {
		machines = []string{"vm-2", "vm-1"}
	}
	sendHeartbeats := func() {
		for i, name := range machines {
			h.acknowledge(name, running[i])
		}
	}
	sendHeartbeats()
	for range 20 {
		h.advance(2 * time.Second)
		sendHeartbeats()
	}
	h.sentCommands = nil
	notice := h.newHeartbeat(machines[0], h.core.findOrAddMachine(machines[0]).agent.FencingToken(), running[0])
	seconds := 60.0
	notice.TerminationNoticeS = &seconds
	h.sendHeartbeat(notice)
	stopped := running[0]
	stopped.Status, stopped.ExitReason, stopped.CheckpointSaved = wire.TaskEnded, wire.ExitStopped, true
	h.acknowledge(machines[0], stopped)
	entries := h.core.disruptions.tracker.Disruptions(h.now)
	if len(entries) != 1 || entries[0].Job.ID != "job-1" || entries[0].Cause == rollout.CauseEviction {
		t.Fatalf("disruptions %+v, want an involuntary one of job-1", entries)
	}
	h.sentCommands = nil
	spec := rollout.Spec{Name: "winter", Machines: []string{machines[1]}, Canary: 1, Batch: 1, WaitS: 100, HealthS: 100}
	h.want("error of the plan request", h.requestPlan(PlanRequest{Spec: &spec}), nil)
	h.advance(3 * time.Second)
	h.want("evictions while the budget is used up", len(h.writtenPlan().Evictions), 0)
	h.want("waits for capacity", strings.Contains(strings.Join(h.core.plans.byName["winter"].rollout.WaitReasons(), " "), "room for it elsewhere"), true)
	h.acknowledge(machines[1], running[1])
	h.advance(28 * time.Second)
	h.acknowledge(machines[1], running[1])
	h.advance(4 * time.Second)
	h.want("wait reasons after the wait for capacity", strings.Join(h.core.plans.byName["winter"].rollout.WaitReasons(), " "), "job-2/0 on "+machines[1]+": the budget of team t: 1 of 1 jobs")
}
