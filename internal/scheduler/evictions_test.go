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

// newDrainHarness begins a term that carries plans out, with one in the ledger unless it is
// nil.
func newDrainHarness(t testingT, r *rollout.Record) *harness {
	operator := settings.Defaults()
	operator.Rollouts = settings.Rollouts{Enabled: true, Budgets: rollout.Budgets{TeamDefault: rollout.Budget{Jobs: 1, Window: time.Second}}}
	var s ledger.Snapshot
	if r != nil {
		s.Plans = []rollout.Record{*r}
	}
	return newHarnessWithConfig(t, time.Hour, testConfig(operator, settings.Team{Name: "t"}), s)
}

func newPlanRecord(phase rollout.Phase, batch ...string) *rollout.Record {
	return &rollout.Record{Version: rollout.RecordVersion, CreatedMS: time.Hour.Milliseconds(), PhaseMS: time.Hour.Milliseconds(), Phase: phase, Step: 1, Batch: batch,
		Spec: rollout.Spec{Name: "winter", Types: []string{"m4"}, Canary: 1, Batch: 1, WaitS: 100, HealthS: 100}}
}

// writtenPlan is the plan's record as it was last written.
func (h *harness) writtenPlan() rollout.Record {
	r, _ := h.writesByKey[ledger.PlanKey("winter")].Value.(rollout.Record)
	return r
}

// requestPlan is what a command about a plan is answered.
func (h *harness) requestPlan(e PlanRequest) error {
	e.ReplyTo = testRecipient("operator")
	h.step(e)
	a, ok := lastEffect[PlanReply](h)
	if !ok {
		return errors.New("not answered")
	}
	return a.Err
}

// TestBatchMachineReturnedByEarlierLeader: it was returned as the leader before ended. The plan
// took it for one that boots, and waited until that was given up, longer than leaders
// lasted.
func TestBatchMachineReturnedByEarlierLeader(t *testing.T) {
	g := newDrainHarness(t, newPlanRecord(rollout.PhaseDraining, "vm-9"))
	g.advance(10 * time.Second)
	g.want("machines", len(g.core.machines.list), 0)
	g.want("written before all can have been heard of", g.writeCount, 0)
	g.advance(30 * time.Second)
	r := g.writtenPlan()
	g.want("the plan", []any{r.Phase, r.Drained, len(g.core.machines.list)}, []any{rollout.PhaseFinished, 1, 0})
}

// TestPlanCommandsReplyWhenDurable: a plan that is created counts once it is written, and an
// invalid request is refused at once.
func TestPlanCommandsReplyWhenDurable(t *testing.T) {
	g := newDrainHarness(t, nil)
	spec := newPlanRecord(rollout.PhaseSelecting).Spec
	if err := g.requestPlan(PlanRequest{Spec: &spec}); err == nil || !strings.Contains(err.Error(), "no machine") {
		t.Errorf("no machine is there: %v", err)
	}
	g.bringUp("vm-1")
	g.holdWrites = true
	g.step(PlanRequest{Spec: &spec, ReplyTo: testRecipient("operator")})
	g.want("durable", g.core.plans.byName["winter"].rollout.IsDurable(), false)
	g.releaseWrites()
	answer, _ := lastEffect[PlanReply](g)
	g.want("answer once durable", answer.Err, nil)
	if err := g.requestPlan(PlanRequest{Spec: &spec}); !errors.Is(err, errPlanExists) {
		t.Error(err)
	}
	if err := g.requestPlan(PlanRequest{Name: "summer", Command: rollout.Pause}); !errors.Is(err, errNoPlan) {
		t.Error(err)
	}
	g.want("paused", g.requestPlan(PlanRequest{Name: "winter", Command: rollout.Pause}), nil)
	g.want("written", g.writtenPlan().Paused, true)
	off := newHarness(t, ledger.Snapshot{Plans: []rollout.Record{*newPlanRecord(rollout.PhaseSelecting)}})
	if err := off.requestPlan(PlanRequest{Name: "winter", Command: rollout.Pause}); !errors.Is(err, errDrainingDisabled) {
		t.Error(err)
	}
}

// TestEvictionIsDurableBeforeStop: the task that saves its progress is stopped only when its move
// is durable, with the time that it needs, and nothing starts on its machine.
func TestEvictionIsDurableBeforeStop(t *testing.T) {
	g := newDrainHarness(t, nil)
	g.bringUp("vm-1")
	job := newTestJob("job-1", 1, 1)
	job.CheckpointIntervalS, job.CheckpointDurationS, job.EstimatedRunS = 10, 7, 1000
	g.submit(job)
	o := g.startCommands()[0]
	g.completeCommands(CommandExecuted)
	g.now += time.Minute
	running := newTaskStatus(o, wire.TaskRunning, "")
	g.sendHeartbeat(g.newHeartbeat("vm-1", termToken, running))
	spec := newPlanRecord(rollout.PhaseSelecting).Spec
	g.want("begun", g.requestPlan(PlanRequest{Spec: &spec}), nil)
	for range 4 {
		g.advance(2 * time.Second)
		g.acknowledge("vm-1", running)
	}
	g.holdWrites = true
	for range 20 {
		g.advance(2 * time.Second)
		g.acknowledge("vm-1", running)
	}
	g.want("moves written, not durable", len(g.writtenPlan().Evictions), 1)
	g.want("stops before that is durable", len(g.sentCommands), 0)
	g.submit(newTestJob("job-2", 1, 1))
	g.want("starts on a machine that is emptied", len(g.startCommands()), 0)
	g.releaseWrites()
	g.advance(time.Second)
	g.want("stops", len(g.sentCommands), 1)
	stop := g.sentCommands[0].Request.Commands[0]
	g.want("the stop", []any{stop.Verb, stop.Attempt, *stop.GracePeriodS}, []any{wire.VerbStop, o.Attempt, 7.0})
}

// TestTerminationNoticeWhileDraining: the cloud terminates a machine that a plan is emptying. The tasks
// that this stops are charged, not refused, and delay what the plan would move elsewhere.
func TestTerminationNoticeWhileDraining(t *testing.T) {
	g := newDrainHarness(t, nil)
	g.bringUp("vm-1")
	g.bringUp("vm-2")
	var running []wire.TaskStatus
	for _, jobID := range []string{"job-1", "job-2"} {
		job := newTestJob(jobID, 1, 3)
		job.CheckpointIntervalS, job.CheckpointDurationS, job.EstimatedRunS = 10, 1, 10000
		g.submit(job)
		running = append(running, newTaskStatus(g.startCommands()[0], wire.TaskRunning, ""))
		g.completeCommands(CommandExecuted)
	}
	machines := []string{"vm-1", "vm-2"}
	if g.core.jobs.list[0].record.hosts[0].machine != g.core.findOrAddMachine("vm-1").index {
		machines = []string{"vm-2", "vm-1"}
	}
	report := func() {
		for i, name := range machines {
			g.acknowledge(name, running[i])
		}
	}
	report()
	for range 20 {
		g.advance(2 * time.Second)
		report()
	}
	g.sentCommands = nil
	notice := g.newHeartbeat(machines[0], g.core.findOrAddMachine(machines[0]).agent.FencingToken(), running[0])
	seconds := 60.0
	notice.TerminationNoticeS = &seconds
	g.sendHeartbeat(notice)
	stopped := running[0]
	stopped.Status, stopped.ExitReason, stopped.CheckpointSaved = wire.TaskEnded, wire.ExitStopped, true
	g.acknowledge(machines[0], stopped)
	entries := g.core.disruptions.tracker.Disruptions(g.now)
	if len(entries) != 1 || entries[0].Job.ID != "job-1" || entries[0].Cause == rollout.CauseEviction {
		t.Fatalf("%+v", entries)
	}
	g.sentCommands = nil
	spec := rollout.Spec{Name: "winter", Machines: []string{machines[1]}, Canary: 1, Batch: 1, WaitS: 100, HealthS: 100}
	g.want("begun", g.requestPlan(PlanRequest{Spec: &spec}), nil)
	g.advance(3 * time.Second)
	g.want("moves while the budget is used up", len(g.writtenPlan().Evictions), 0)
	g.want("what it waits for", strings.Contains(strings.Join(g.core.plans.byName["winter"].rollout.WaitReasons(), " "), "room for it elsewhere"), true)
	g.acknowledge(machines[1], running[1])
	g.advance(28 * time.Second)
	g.acknowledge(machines[1], running[1])
	g.advance(4 * time.Second)
	g.want("what it waits for in the end", strings.Join(g.core.plans.byName["winter"].rollout.WaitReasons(), " "), "job-2/0 on "+machines[1]+": the budget of team t: 1 of 1 jobs")
}
