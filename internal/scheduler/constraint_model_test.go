package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// This model runs a core with machines of several types, zones and kinds, and checks every start
// that an agent executes against the description of its job. Leaders change, the cloud names its
// machine types late and in parts, ledger writes take time, and commands are lost.

// constraintTypes are the machine types of the model's cloud.
var constraintTypes = []wire.MachineType{testMachineType("m2", 2), testMachineType("m4", 4), testMachineType("m8", 8)}

// constraintTeamCores is the limit of each team of the model, in cores.
const constraintTeamCores = 16

// pooledAgent is a machine of a capacity pool and its agent.
type pooledAgent struct {
	modelAgent
	pool wire.CapacityPool
}

func (a *pooledAgent) heartbeat() *wire.Heartbeat {
	heartbeat := a.nextHeartbeat()
	heartbeat.CapacityPool = a.pool
	return heartbeat
}

// reboot restarts the machine: it has lost its tasks and its token, and counts from the beginning.
func (a *pooledAgent) reboot(now time.Duration) {
	a.epoch, a.sequence, a.fencingToken, a.leaseRenewedAt = 1, 0, 0, now
	a.tasks, a.knownAttempts = nil, map[uint64]bool{}
}

// constraintHistory is one run of the model.
type constraintHistory struct {
	t       testingT
	random  *rand.Rand
	harness *harness
	agents  []*pooledAgent
	rented  int // number of machines so far
	jobs    int // number of jobs so far
	// maxAgents is the most machines at a time.
	maxAgents int
	// failures are the failures that the present leader has been told, by job and machine.
	failures map[string]map[string]time.Duration
	done     map[string]int // tasks done so far, by job
	late     []func()       // each delivers a command that was delayed
	starts   int            // starts executed so far
	copies   bool           // commands that were answered arrive again
	reboots  bool           // machines are back at once, without their tasks and tokens
	// cancelledAt is when users were told that a job is cancelled.
	cancelledAt map[string]time.Duration
	placedOn    map[string][]string // machines on which a task has started, by task
	movedBack   int                 // starts on a machine that the task had left for another one
	reserved    bool                // a machine has been reserved for a job
}

func newConstraintHistory(t testingT, random *rand.Rand) *constraintHistory {
	cfg := testConfig(settings.Defaults(), settings.Team{Name: "t", CPUsMax: constraintTeamCores}, settings.Team{Name: "t2", CPUsMax: constraintTeamCores})
	r := &constraintHistory{t: t, random: random, maxAgents: 12, harness: newHarnessWithoutTypes(t, 0, cfg, ledger.Snapshot{}), failures: map[string]map[string]time.Duration{}, done: map[string]int{},
		cancelledAt: map[string]time.Duration{}, placedOn: map[string][]string{}}
	for range 5 {
		r.rentMachine()
	}
	return r
}

func (r *constraintHistory) performRandomAction() {
	agent := r.agents[r.random.IntN(len(r.agents))]
	switch action := r.random.IntN(40); {
	case action < 10:
		r.submitJob()
	case action < 16:
		r.endRandomTask(agent)
	case action < 20:
		r.learnType()
	case action < 22:
		r.harness.holdWrites = true
	case action < 25 && r.harness.holdWrites:
		r.harness.releaseWrites()
	case action < 26 && len(r.agents) < r.maxAgents:
		r.rentMachine()
	case action < 27 && len(r.agents) > 3:
		r.agents = slices.DeleteFunc(r.agents, func(other *pooledAgent) bool { return other == agent })
		r.harness.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{agent.name}}}})
	case action < 28 && r.random.IntN(2) == 0:
		r.changeLeader()
	case action < 30 && len(r.late) > 0:
		i := r.random.IntN(len(r.late))
		deliver := r.late[i]
		r.late = slices.Delete(r.late, i, i+1)
		deliver()
	case action < 31 && r.copies && r.jobs > 0:
		jobID := fmt.Sprintf("job-%06d", 1+r.random.IntN(r.jobs))
		r.harness.step(CancelRequest{JobID: jobID, ReplyTo: testRecipient(jobID)})
	case action < 32 && r.reboots:
		agent.reboot(r.harness.now)
	default:
		r.letTimePass(1 + r.random.IntN(20))
	}
	r.settle()
}

// rentMachine adds a machine of a random pool.
func (r *constraintHistory) rentMachine() {
	r.rented++
	typ := constraintTypes[r.random.IntN(len(constraintTypes))]
	r.agents = append(r.agents, &pooledAgent{pool: wire.CapacityPool{Type: typ.Name, Zone: typ.Zones[r.random.IntN(len(typ.Zones))], Spot: r.random.IntN(2) == 0},
		modelAgent: modelAgent{name: fmt.Sprintf("vm-%06d", r.rented), epoch: 1, leaseRenewedAt: r.harness.now, knownAttempts: map[uint64]bool{}, startedAttempts: map[uint64]bool{}}})
}

// learnType has the cloud answer with one of its machine types.
func (r *constraintHistory) learnType() {
	r.harness.learnTypes(constraintTypes[r.random.IntN(len(constraintTypes))])
}

// submitJob submits a job with random constraints.
func (r *constraintHistory) submitJob() {
	r.jobs++
	j := newTestJob(fmt.Sprintf("job-%06d", r.jobs), 1+r.random.IntN(4), []float64{1, 2, 2, 2, 4, 4, 8}[r.random.IntN(7)])
	j.MemGB, j.Team = j.CPUs, []string{"t", "t2"}[r.random.IntN(2)]
	if r.random.IntN(2) == 0 {
		j.Types = []string{constraintTypes[r.random.IntN(len(constraintTypes))].Name}
	}
	if r.random.IntN(3) == 0 {
		zone := []string{"a", "b"}[r.random.IntN(2)]
		j.Zone = &zone
	}
	j.Spot = r.random.IntN(2) == 0
	j.Gang = r.random.IntN(3) == 0
	j.Spread = !j.Gang && r.random.IntN(3) == 0
	r.harness.submit(j)
}

// endRandomTask ends a running task of an agent. It has completed or failed.
func (r *constraintHistory) endRandomTask(agent *pooledAgent) {
	for i := range agent.tasks {
		task := &agent.tasks[i]
		if task.Status == wire.TaskEnded {
			continue
		}
		task.Status, task.ExitReason = wire.TaskEnded, wire.ExitDone
		failing := 1
		if r.copies {
			failing = 2 // failed tasks move
		}
		if r.random.IntN(3) < failing {
			task.ExitReason = wire.ExitError
		}
		r.sendHeartbeat(agent)
		return
	}
}

// changeLeader begins a new term. Commands of the earlier leader may still arrive.
func (r *constraintHistory) changeLeader() {
	for _, sent := range r.harness.sentCommands {
		r.delay(sent)
	}
	r.harness = r.harness.nextTerm(r.harness.ledgerEntries())
	r.failures = map[string]map[string]time.Duration{}
}

// letTimePass lets seconds pass, in which the agents send heartbeats.
func (r *constraintHistory) letTimePass(seconds int) {
	for range seconds {
		r.harness.advance(time.Second)
		r.settle()
		for _, agent := range r.agents {
			agent.expireLease(r.harness.now)
			if r.random.IntN(2) == 0 {
				r.sendHeartbeat(agent)
			}
		}
	}
}

// sendHeartbeat sends a heartbeat of an agent and applies the response, if there is one at once.
func (r *constraintHistory) sendHeartbeat(agent *pooledAgent) {
	heartbeat := agent.heartbeat()
	if heartbeat.FencingToken>>termCounterBits == r.harness.core.term {
		r.recordEnds(heartbeat)
	}
	r.harness.step(HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: testRecipient(agent.name)})
	r.settle()
}

// recordEnds records the ended tasks that a heartbeat tells the leader.
func (r *constraintHistory) recordEnds(heartbeat *wire.Heartbeat) {
	for _, task := range heartbeat.Tasks {
		jobID := wire.JobIDOfTask(task.Task)
		switch task.ExitReason {
		case wire.ExitDone:
			r.done[jobID]++
		case wire.ExitError:
			if r.failures[jobID] == nil {
				r.failures[jobID] = map[string]time.Duration{}
			}
			if _, known := r.failures[jobID][heartbeat.Machine]; !known {
				r.failures[jobID][heartbeat.Machine] = r.harness.now
			}
		}
	}
}

// settle delivers the responses and the commands of the last steps. Commands may be lost or delayed.
func (r *constraintHistory) settle() {
	for len(r.harness.recentEffects) > 0 || len(r.harness.sentCommands) > 0 {
		effects, commands := r.harness.recentEffects, r.harness.sentCommands
		r.harness.recentEffects, r.harness.sentCommands = nil, nil
		for _, effect := range effects {
			r.handleEffect(effect)
		}
		for _, sent := range commands {
			r.finishCommand(sent)
		}
	}
}

// handleEffect delivers a response or the status of an inspected agent, and records a cancellation.
func (r *constraintHistory) handleEffect(effect Effect) {
	switch effect := effect.(type) {
	case HeartbeatReply:
		if effect.Response != nil {
			r.applyResponse(effect)
		}
	case InspectAgent:
		if agent := r.find(effect.Machine); agent != nil {
			r.harness.step(InspectResult{Machine: agent.name, Heartbeat: agent.heartbeat()})
		}
	case UserReply:
		if _, known := r.cancelledAt[effect.Status.ID]; !known && effect.Status.Status == wire.JobCancelled {
			r.cancelledAt[effect.Status.ID] = r.harness.now
		}
	}
}

// find returns the agent of a machine, or nil.
func (r *constraintHistory) find(name string) *pooledAgent {
	for _, agent := range r.agents {
		if agent.name == name {
			return agent
		}
	}
	return nil
}

// applyResponse has an agent execute the response to its last heartbeat.
func (r *constraintHistory) applyResponse(reply HeartbeatReply) {
	agent := r.find(string(reply.ReplyTo.(testRecipient)))
	if agent == nil || reply.Response.FencingToken < agent.fencingToken {
		return
	}
	agent.fencingToken, agent.leaseRenewedAt = reply.Response.FencingToken, r.harness.now
	r.checkAvoided(agent, reply.Response.Commands)
	r.execute(agent, reply.Response.Commands)
}

// finishCommand executes, loses or delays a direct command.
func (r *constraintHistory) finishCommand(sent SendCommands) {
	agent := r.find(sent.Machine)
	if agent == nil || r.random.IntN(8) == 0 {
		r.delay(sent)
		r.harness.step(CommandResult{CommandID: sent.CommandID, Outcome: CommandOutcomeUnknown})
		return
	}
	r.checkAvoided(agent, sent.Request.Commands)
	outcome := r.executeRequest(agent, sent.Request)
	if r.copies && r.random.IntN(2) == 0 {
		r.delay(sent)
	}
	r.harness.step(CommandResult{CommandID: sent.CommandID, Outcome: outcome, Heartbeat: agent.heartbeat()})
}

// delay has a direct command arrive later.
func (r *constraintHistory) delay(sent SendCommands) {
	r.late = append(r.late, func() {
		if agent := r.find(sent.Machine); agent != nil {
			r.executeRequest(agent, sent.Request)
		}
	})
}

// executeRequest has an agent execute or reject a direct command.
func (r *constraintHistory) executeRequest(agent *pooledAgent, request wire.CommandRequest) CommandOutcome {
	if request.FencingToken < agent.fencingToken || request.AgentEpoch != agent.epoch {
		return CommandRejected
	}
	agent.fencingToken = request.FencingToken
	r.execute(agent, request.Commands)
	return CommandExecuted
}

// execute has an agent execute commands one at a time, and checks each start.
func (r *constraintHistory) execute(agent *pooledAgent, commands []wire.Command) {
	for _, command := range commands {
		isNew := command.Verb == wire.VerbStart && command.Task != wakeTaskName && !agent.knownAttempts[command.Attempt]
		agent.execute([]wire.Command{command})
		if isNew {
			r.starts++
			r.checkStart(agent, command.Task)
			r.recordPlace(agent, command.Task)
		}
	}
}

// recordPlace records the machine on which a task has started.
func (r *constraintHistory) recordPlace(agent *pooledAgent, task string) {
	places := r.placedOn[task]
	if i := slices.Index(places, agent.name); i >= 0 && i < len(places)-1 {
		r.movedBack++
	}
	r.placedOn[task] = append(places, agent.name)
}

// checkAvoided checks that commands start no task on a machine that its job avoids.
func (r *constraintHistory) checkAvoided(agent *pooledAgent, commands []wire.Command) {
	for _, command := range commands {
		jobID := wire.JobIDOfTask(command.Task)
		failures := r.failures[jobID]
		failedAt, failed := failures[agent.name]
		suspect := len(failures) >= suspectThreshold && r.done[jobID] == 0
		if command.Verb == wire.VerbStart && failed && !suspect && r.harness.now-failedAt < failureAvoidance {
			r.t.Errorf("%s starts on %s %v after a task of the job has failed there", command.Task, agent.name, r.harness.now-failedAt)
		}
	}
}

// checkStart checks a start against the description of its job and the tasks that are running.
func (r *constraintHistory) checkStart(agent *pooledAgent, task string) {
	j := r.harness.submittedJobs[wire.JobIDOfTask(task)]
	typeAllowed := j.Types == nil || slices.Contains(j.Types, agent.pool.Type)
	zoneAllowed := j.Zone == nil || *j.Zone == agent.pool.Zone
	if !typeAllowed || !zoneAllowed || agent.pool.Spot && !j.Spot {
		r.t.Errorf("%s starts on %s of %+v; its job allows the types %v, the zone %v, spot %t", task, agent.name, agent.pool, j.Types, j.Zone, j.Spot)
	}
	if cancelledAt, cancelled := r.cancelledAt[j.ID]; cancelled && r.harness.now-cancelledAt > modelCancel {
		r.t.Errorf("%s starts on %s %v after its job was reported as cancelled", task, agent.name, r.harness.now-cancelledAt)
	}
	inZone, inJob, ofTask, teamCores := 0, 0, 0, 0.0
	for _, other := range r.agents {
		for _, running := range other.tasks {
			if running.Status == wire.TaskEnded {
				continue
			}
			of := r.harness.submittedJobs[wire.JobIDOfTask(running.Task)]
			if of.Team == j.Team {
				teamCores += of.CPUs
			}
			if of != j {
				continue
			}
			inJob++
			if other.pool.Zone == agent.pool.Zone {
				inZone++
			}
			if running.Task == task {
				ofTask++
			}
		}
	}
	if j.Gang && inZone < inJob {
		r.t.Errorf("%s of a gang starts in zone %s, where %d of its job's %d tasks are", task, agent.pool.Zone, inZone, inJob)
	}
	if j.Spread && inZone > (j.Tasks+1)/2 {
		r.t.Errorf("%s starts in zone %s as one of %d, of %d spread tasks", task, agent.pool.Zone, inZone, j.Tasks)
	}
	if teamCores > constraintTeamCores {
		r.t.Errorf("%s starts although its team then uses %v cores", task, teamCores)
	}
	if ofTask > 1 {
		r.t.Errorf("%s starts on %s while it is on another machine", task, agent.name)
	}
}
