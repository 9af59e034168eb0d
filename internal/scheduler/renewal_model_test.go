package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/property"
	"leadproxy/internal/wire"
)

// This model test runs a core with agents that implement only the protocol, and loses, delays and
// duplicates the messages between them. Its invariants: a response that may renew an agent's lease
// contains the stops of all tasks in its heartbeat whose jobs were reported to users as cancelled,
// none of these tasks is still running cancel_s later, and no agent starts an attempt a second time,
// also when a command that was carried out arrives again. TestEveryResponseStopsCancelledTasks and
// TestForgetRulesOutCopiesOfTheStart have single cases in which that failed; this test searches for
// others.

// The model's agents use the times of testConfig.
const (
	modelLease  = 30 * time.Second
	modelCancel = 60 * time.Second
)

// modelAgent is an agent that implements the protocol and nothing else.
type modelAgent struct {
	name                          string
	epoch, sequence, fencingToken uint64
	leaseRenewedAt                time.Duration
	tasks                         []wire.TaskStatus
	knownAttempts                 map[uint64]bool
	hung                          bool
	startedAttempts               map[uint64]bool // all so far, also those that were forgotten
	startedTwice                  []string        // tasks of which an attempt was started a second time
}

// nextHeartbeat returns a heartbeat with the agent's present tasks and the next sequence number.
func (a *modelAgent) nextHeartbeat() *wire.Heartbeat {
	a.sequence++
	return &wire.Heartbeat{Machine: a.name, Address: a.name + ":9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true},
		AgentEpoch: a.epoch, Sequence: a.sequence, FencingToken: a.fencingToken, Tasks: slices.Clone(a.tasks)}
}

// execute executes the commands of a response or a direct command. A start of a known attempt and
// the stop of an unknown one are ignored.
func (a *modelAgent) execute(commands []wire.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(a.tasks, func(task wire.TaskStatus) bool { return task.Attempt == command.Attempt })
		switch {
		case command.Verb == wire.VerbStart && command.Task == wakeTaskName && !a.knownAttempts[command.Attempt]:
			a.knownAttempts[command.Attempt] = true
			a.tasks = append(a.tasks, newTaskStatus(command, wire.TaskEnded, wire.ExitNoSuchTask))
		case command.Verb == wire.VerbStart && !a.knownAttempts[command.Attempt]:
			if a.startedAttempts[command.Attempt] {
				a.startedTwice = append(a.startedTwice, command.Task)
			}
			a.knownAttempts[command.Attempt], a.startedAttempts[command.Attempt] = true, true
			a.tasks = append(a.tasks, wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, Status: wire.TaskRunning})
		case command.Verb == wire.VerbStop && i >= 0 && a.tasks[i].Status != wire.TaskEnded:
			a.tasks[i].Status, a.tasks[i].ExitReason = wire.TaskEnded, wire.ExitStopped
		case command.Verb == wire.VerbForget && i >= 0 && a.tasks[i].Status == wire.TaskEnded:
			a.tasks = slices.Delete(a.tasks, i, i+1)
			delete(a.knownAttempts, command.Attempt)
		}
	}
}

// executeRequest executes a direct command, or rejects it for its token or epoch.
func (a *modelAgent) executeRequest(request wire.CommandRequest) CommandOutcome {
	if request.FencingToken < a.fencingToken || request.AgentEpoch != a.epoch {
		return CommandRejected
	}
	a.fencingToken = request.FencingToken
	a.execute(request.Commands)
	return CommandExecuted
}

// expireLease begins a new epoch, without tasks, if no response has renewed the lease for
// modelLease.
func (a *modelAgent) expireLease(now time.Duration) {
	if now-a.leaseRenewedAt > modelLease {
		a.epoch, a.sequence, a.leaseRenewedAt, a.tasks, a.knownAttempts = a.epoch+1, 0, now, nil, map[uint64]bool{}
	}
}

// renewalHistory is one run of the model test.
type renewalHistory struct {
	t                   testingT
	random              property.Chooser
	harness             *harness
	agents              []*modelAgent
	jobIDs              []string
	cancelledAt         map[string]time.Duration // by job ID: when users were told that it is cancelled
	heartbeats          map[testRecipient]*wire.Heartbeat
	responses           map[testRecipient]*wire.HeartbeatResponse
	delayedMessages     []func() // each delivers a message that has been delayed
	heartbeatsDelivered int
}

// TestRenewalsStopCancelledTasks runs the model with fixed seeds.
func TestRenewalsStopCancelledTasks(t *testing.T) {
	for seed := range uint64(300) {
		runRenewalHistory(t, rand.New(rand.NewPCG(seed, 17)), 250)
	}
}

// TestRenewalsProperty lets rapid search for a short history that violates an invariant.
func TestRenewalsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runRenewalHistory(t, property.RapidChooser{T: t}, rapid.IntRange(30, 120).Draw(t, "steps"))
	})
}

// runRenewalHistory performs random actions and checks the invariants after each one.
func runRenewalHistory(t testingT, random property.Chooser, steps int) {
	history := &renewalHistory{t: t, random: random, harness: newHarness(t, ledger.Snapshot{}), cancelledAt: map[string]time.Duration{}, heartbeats: map[testRecipient]*wire.Heartbeat{}, responses: map[testRecipient]*wire.HeartbeatResponse{}}
	for i := range 4 {
		history.agents = append(history.agents, &modelAgent{name: fmt.Sprintf("vm-%d", i+1), epoch: 1, knownAttempts: map[uint64]bool{}, startedAttempts: map[uint64]bool{}})
	}
	for range steps {
		history.performRandomAction()
		history.checkEffects()
	}
}

// performRandomAction performs one action, chosen at random: a message, time that passes, a request
// of a user, a fault of an agent, a change of the leader or the deletion of a machine.
func (r *renewalHistory) performRandomAction() {
	agent := r.agents[r.random.IntN(len(r.agents))]
	switch action := r.random.IntN(40); {
	case action < 14:
		r.sendHeartbeatOf(agent)
	case action < 20:
		r.finishRandomCommand()
	case action < 24:
		r.advanceTime()
	case action < 27:
		r.submitJob()
	case action < 30 && len(r.jobIDs) > 0:
		jobID := r.jobIDs[r.random.IntN(len(r.jobIDs))]
		r.harness.step(CancelRequest{JobID: jobID, ReplyTo: testRecipient(jobID)})
	case action < 33 && len(r.delayedMessages) > 0:
		i := r.random.IntN(len(r.delayedMessages))
		message := r.delayedMessages[i]
		r.delayedMessages = slices.Delete(r.delayedMessages, i, i+1)
		message()
	case action < 35:
		agent.hung = !agent.hung
	case action < 36:
		for i := range agent.tasks {
			if agent.tasks[i].Status == wire.TaskRunning {
				agent.tasks[i].Status, agent.tasks[i].ExitReason = wire.TaskEnded, wire.ExitDone
				break
			}
		}
	case action < 37 && r.random.IntN(4) == 0:
		r.changeLeader()
	case action < 38 && r.random.IntN(4) == 0 && len(r.harness.deletedMachines) > 0:
		r.confirmDeletion(r.harness.deletedMachines[r.random.IntN(len(r.harness.deletedMachines))])
	}
}

// advanceTime advances the clock by up to three seconds.
func (r *renewalHistory) advanceTime() {
	r.harness.advance(time.Duration(1+r.random.IntN(12)) * 250 * time.Millisecond)
	for _, agent := range r.agents {
		if !agent.hung {
			agent.expireLease(r.harness.now)
		}
	}
}

func (r *renewalHistory) submitJob() {
	j := newTestJob(fmt.Sprintf("job-%06d", len(r.jobIDs)), 1+r.random.IntN(3), 1)
	r.jobIDs = append(r.jobIDs, j.ID)
	r.harness.submit(j)
}

// sendHeartbeatOf sends a heartbeat of an agent. The heartbeat or its response may be lost, and a
// copy of the heartbeat may arrive late.
func (r *renewalHistory) sendHeartbeatOf(agent *modelAgent) {
	if agent.hung {
		return
	}
	agent.expireLease(r.harness.now)
	sentAt, heartbeat := r.harness.now, agent.nextHeartbeat()
	if r.random.IntN(5) == 0 {
		r.delayedMessages = append(r.delayedMessages, func() { r.deliver(heartbeat) })
	}
	if r.random.IntN(8) == 0 {
		return
	}
	response := r.deliver(heartbeat)
	if response == nil || r.random.IntN(8) == 0 || response.FencingToken < agent.fencingToken {
		return
	}
	agent.fencingToken, agent.leaseRenewedAt = response.FencingToken, sentAt
	agent.execute(response.Commands)
}

// deliver passes a heartbeat to the core and returns the response, or nil if none is sent at once.
func (r *renewalHistory) deliver(heartbeat *wire.Heartbeat) *wire.HeartbeatResponse {
	r.heartbeatsDelivered++
	replyTo := testRecipient(fmt.Sprint("heartbeat ", r.heartbeatsDelivered))
	r.heartbeats[replyTo] = heartbeat
	r.harness.step(HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: replyTo})
	r.checkEffects()
	return r.responses[replyTo]
}

// finishRandomCommand picks a direct command in flight, which is executed, lost or delayed. A command
// that was executed may arrive again at any later time.
func (r *renewalHistory) finishRandomCommand() {
	if len(r.harness.sentCommands) == 0 {
		return
	}
	index := r.random.IntN(len(r.harness.sentCommands))
	sent := r.harness.sentCommands[index]
	r.harness.sentCommands = slices.Delete(r.harness.sentCommands, index, index+1)
	i := slices.IndexFunc(r.agents, func(agent *modelAgent) bool { return agent.name == sent.Machine })
	if i < 0 || r.agents[i].hung || r.random.IntN(3) == 0 {
		if i >= 0 && r.random.IntN(2) == 0 {
			r.delayCommand(r.agents[i], sent.Request)
		}
		r.harness.step(CommandResult{CommandID: sent.CommandID, Outcome: CommandOutcomeUnknown})
		return
	}
	agent := r.agents[i]
	outcome := r.executeCommand(agent, sent.Request)
	r.harness.step(CommandResult{CommandID: sent.CommandID, Outcome: outcome, Heartbeat: agent.nextHeartbeat()})
}

// executeCommand has an agent execute a direct command, of which a copy may arrive later.
func (r *renewalHistory) executeCommand(agent *modelAgent, request wire.CommandRequest) CommandOutcome {
	outcome := agent.executeRequest(request)
	if outcome == CommandExecuted && r.random.IntN(2) == 0 {
		r.delayCommand(agent, request)
	}
	return outcome
}

// delayCommand has a direct command arrive at a later time.
func (r *renewalHistory) delayCommand(agent *modelAgent, request wire.CommandRequest) {
	r.delayedMessages = append(r.delayedMessages, func() { r.executeCommand(agent, request) })
}

// confirmDeletion lets the cloud delete a machine whose deletion was requested, unless it is one of
// the last two.
func (r *renewalHistory) confirmDeletion(name string) {
	r.agents = slices.DeleteFunc(r.agents, func(agent *modelAgent) bool { return agent.name == name && len(r.agents) > 2 })
	if !slices.ContainsFunc(r.agents, func(agent *modelAgent) bool { return agent.name == name }) {
		r.harness.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{name}}}})
	}
}

// changeLeader starts a new term from the contents of the ledger. The record of a cancelled job may
// have become unreadable. Direct commands of the earlier leader may still arrive.
func (r *renewalHistory) changeLeader() {
	entries := r.harness.ledgerEntries()
	for i := range entries {
		for _, jobID := range r.jobIDs {
			if _, cancelled := r.cancelledAt[jobID]; cancelled && entries[i].Key == ledger.JobKey(jobID) && r.random.IntN(10) == 0 {
				entries[i].Value = []byte("[]")
			}
		}
	}
	previous := r.harness
	for _, sent := range previous.sentCommands {
		if i := slices.IndexFunc(r.agents, func(agent *modelAgent) bool { return agent.name == sent.Machine }); i >= 0 {
			r.delayCommand(r.agents[i], sent.Request)
		}
	}
	r.harness = previous.nextTerm(entries)
	r.harness.learnTypes(testMachineType("m4", 4))
}

// checkEffects takes the core's recent effects, responds to its inspections, and checks the
// invariants on its responses and on the tasks of all agents that are not hung.
func (r *renewalHistory) checkEffects() {
	effects := r.harness.recentEffects
	r.harness.recentEffects = nil
	for _, effect := range effects {
		switch effect := effect.(type) {
		case UserReply:
			if _, known := r.cancelledAt[effect.Status.ID]; !known && effect.Status.Status == wire.JobCancelled {
				r.cancelledAt[effect.Status.ID] = r.harness.now
			}
		case HeartbeatReply:
			if replyTo, ok := effect.ReplyTo.(testRecipient); ok && effect.Response != nil {
				r.responses[replyTo] = effect.Response
				r.checkStops(r.heartbeats[replyTo], effect.Response)
			}
		case InspectAgent:
			for _, agent := range r.agents {
				if agent.name == effect.Machine && !agent.hung {
					r.harness.step(InspectResult{Machine: agent.name, Heartbeat: agent.nextHeartbeat()})
				}
			}
		}
	}
	for _, agent := range r.agents {
		for _, task := range agent.startedTwice {
			r.t.Errorf("an attempt of %s was started a second time on %s", task, agent.name)
		}
		agent.startedTwice = nil
		for _, task := range agent.tasks {
			jobID := wire.JobIDOfTask(task.Task)
			if cancelledAt, cancelled := r.cancelledAt[jobID]; cancelled && !agent.hung && task.Status != wire.TaskEnded && r.harness.now-cancelledAt > modelCancel {
				r.t.Errorf("%s is still on %s %s after its job was reported as cancelled", task.Task, agent.name, r.harness.now-cancelledAt)
			}
		}
	}
}

// checkStops checks that a response has the stops that its heartbeat requires.
func (r *renewalHistory) checkStops(heartbeat *wire.Heartbeat, response *wire.HeartbeatResponse) {
	for _, task := range heartbeat.Tasks {
		jobID := wire.JobIDOfTask(task.Task)
		if _, cancelled := r.cancelledAt[jobID]; !cancelled || task.Status == wire.TaskEnded {
			continue
		}
		if !slices.ContainsFunc(response.Commands, func(command wire.Command) bool {
			return command.Verb == wire.VerbStop && command.Attempt == task.Attempt
		}) {
			r.t.Errorf("the response to %s does not stop %s of a cancelled job: %+v", heartbeat.Machine, task.Task, response.Commands)
		}
	}
}
