package scheduler

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/property"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// Agents by the protocol alone, a core, and between them messages that are lost, late and
// doubled. Whatever happens, a response that an agent may take for a renewal of its lease has
// the stops of all tasks in its heartbeat that are reported to users as cancelled, and none of
// those is there cancel_s later. The tests of single cases above came from what had been seen to
// break; this one searches for what has not.

// The times of the model's agents; those of testConfig.
const (
	modelLease  = 30 * time.Second
	modelCancel = 60 * time.Second
)

// modelAgent is an agent as the protocol defines it.
type modelAgent struct {
	name                          string
	epoch, sequence, fencingToken uint64
	leaseRenewedAt                time.Duration
	tasks                         []wire.TaskStatus
	knownAttempts                 map[uint64]bool
	hung                          bool
}

func (w *modelAgent) nextHeartbeat() *wire.Heartbeat {
	w.sequence++
	return &wire.Heartbeat{Machine: w.name, Address: w.name + ":9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true},
		AgentEpoch: w.epoch, Sequence: w.sequence, FencingToken: w.fencingToken, Tasks: slices.Clone(w.tasks)}
}

func (w *modelAgent) execute(orders []wire.Command) {
	for _, o := range orders {
		at := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Attempt == o.Attempt })
		switch {
		case o.Verb == wire.VerbStart && !w.knownAttempts[o.Attempt]:
			w.knownAttempts[o.Attempt] = true
			w.tasks = append(w.tasks, wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Status: wire.TaskRunning})
		case o.Verb == wire.VerbStop && at >= 0 && w.tasks[at].Status != wire.TaskEnded:
			w.tasks[at].Status, w.tasks[at].ExitReason = wire.TaskEnded, wire.ExitStopped
		case o.Verb == wire.VerbForget && at >= 0 && w.tasks[at].Status == wire.TaskEnded:
			w.tasks = slices.Delete(w.tasks, at, at+1)
			delete(w.knownAttempts, o.Attempt)
		}
	}
}

// executeRequest carries a direct command out, or refuses it.
func (w *modelAgent) executeRequest(c wire.CommandRequest) CommandOutcome {
	if c.FencingToken < w.fencingToken || c.AgentEpoch != w.epoch {
		return CommandRejected
	}
	w.fencingToken = c.FencingToken
	w.execute(c.Commands)
	return CommandExecuted
}

// expireLease ends the epoch if no response has renewed its lease for so long.
func (w *modelAgent) expireLease(now time.Duration) {
	if now-w.leaseRenewedAt > modelLease {
		w.epoch, w.sequence, w.leaseRenewedAt, w.tasks, w.knownAttempts = w.epoch+1, 0, now, nil, map[uint64]bool{}
	}
}

// renewalHistory is one history.
type renewalHistory struct {
	t                   testingT
	random              property.Chooser
	harness             *harness
	agents              []*modelAgent
	jobIDs              []string
	cancelledAt         map[string]time.Duration // when a job was reported as cancelled
	heartbeats          map[testRecipient]*wire.Heartbeat
	responses           map[testRecipient]*wire.HeartbeatResponse
	delayedMessages     []func() // messages that are held up
	heartbeatsDelivered int
}

// TestRenewalsStopCancelledTasks plays histories from fixed seeds.
func TestRenewalsStopCancelledTasks(t *testing.T) {
	for seed := range uint64(300) {
		runRenewalHistory(t, rand.New(rand.NewPCG(seed, 17)), 250)
	}
}

// TestRenewalsProperty has rapid search for a short history that breaks a rule.
func TestRenewalsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runRenewalHistory(t, property.RapidChooser{T: t}, rapid.IntRange(30, 120).Draw(t, "steps"))
	})
}

func runRenewalHistory(t testingT, r property.Chooser, steps int) {
	h := &renewalHistory{t: t, random: r, harness: newHarness(t, ledger.Snapshot{}), cancelledAt: map[string]time.Duration{}, heartbeats: map[testRecipient]*wire.Heartbeat{}, responses: map[testRecipient]*wire.HeartbeatResponse{}}
	for k := range 4 {
		h.agents = append(h.agents, &modelAgent{name: fmt.Sprintf("vm-%d", k+1), epoch: 1, knownAttempts: map[uint64]bool{}})
	}
	for range steps {
		h.performRandomAction()
		h.checkEffects()
	}
}

// performRandomAction has one thing happen.
func (h *renewalHistory) performRandomAction() {
	w := h.agents[h.random.IntN(len(h.agents))]
	switch k := h.random.IntN(40); {
	case k < 14:
		h.sendHeartbeatOf(w)
	case k < 20:
		h.finishRandomCommand()
	case k < 24:
		h.advanceTime()
	case k < 27:
		h.submitJob()
	case k < 30 && len(h.jobIDs) > 0:
		jobID := h.jobIDs[h.random.IntN(len(h.jobIDs))]
		h.harness.step(CancelRequest{JobID: jobID, ReplyTo: testRecipient(jobID)})
	case k < 33 && len(h.delayedMessages) > 0:
		at := h.random.IntN(len(h.delayedMessages))
		message := h.delayedMessages[at]
		h.delayedMessages = slices.Delete(h.delayedMessages, at, at+1)
		message()
	case k < 35:
		w.hung = !w.hung
	case k < 36:
		for i := range w.tasks {
			if w.tasks[i].Status == wire.TaskRunning {
				w.tasks[i].Status, w.tasks[i].ExitReason = wire.TaskEnded, wire.ExitDone
				break
			}
		}
	case k < 37 && h.random.IntN(4) == 0:
		h.changeLeader()
	case k < 38 && h.random.IntN(4) == 0 && len(h.harness.deletedMachines) > 0:
		h.confirmDeletion(h.harness.deletedMachines[h.random.IntN(len(h.harness.deletedMachines))])
	}
}

// advanceTime lets up to three seconds pass.
func (h *renewalHistory) advanceTime() {
	h.harness.advance(time.Duration(1+h.random.IntN(12)) * 250 * time.Millisecond)
	for _, w := range h.agents {
		if !w.hung {
			w.expireLease(h.harness.now)
		}
	}
}

func (h *renewalHistory) submitJob() {
	j := newTestJob(fmt.Sprintf("job-%06d", len(h.jobIDs)), 1+h.random.IntN(3), 1)
	h.jobIDs = append(h.jobIDs, j.ID)
	h.harness.submit(j)
}

// sendHeartbeatOf has an agent send a heartbeat. It or its response may be lost, and a copy may come
// late.
func (h *renewalHistory) sendHeartbeatOf(w *modelAgent) {
	if w.hung {
		return
	}
	w.expireLease(h.harness.now)
	sent, report := h.harness.now, w.nextHeartbeat()
	if h.random.IntN(5) == 0 {
		h.delayedMessages = append(h.delayedMessages, func() { h.deliver(report) })
	}
	if h.random.IntN(8) == 0 {
		return
	}
	answer := h.deliver(report)
	if answer == nil || h.random.IntN(8) == 0 || answer.FencingToken < w.fencingToken {
		return
	}
	w.fencingToken, w.leaseRenewedAt = answer.FencingToken, sent
	w.execute(answer.Commands)
}

// deliver brings a heartbeat to the core and returns the response, if it is sent at once.
func (h *renewalHistory) deliver(report *wire.Heartbeat) *wire.HeartbeatResponse {
	h.heartbeatsDelivered++
	to := testRecipient(fmt.Sprint("report ", h.heartbeatsDelivered))
	h.heartbeats[to] = report
	h.harness.step(HeartbeatEvent{Heartbeat: report, ReplyTo: to})
	h.checkEffects()
	return h.responses[to]
}

// finishRandomCommand has a command on its way carried out, lost, or held up.
func (h *renewalHistory) finishRandomCommand() {
	if len(h.harness.sentCommands) == 0 {
		return
	}
	at := h.random.IntN(len(h.harness.sentCommands))
	d := h.harness.sentCommands[at]
	h.harness.sentCommands = slices.Delete(h.harness.sentCommands, at, at+1)
	i := slices.IndexFunc(h.agents, func(w *modelAgent) bool { return w.name == d.Machine })
	if i < 0 || h.agents[i].hung || h.random.IntN(3) == 0 {
		if i >= 0 && h.random.IntN(2) == 0 {
			w := h.agents[i]
			h.delayedMessages = append(h.delayedMessages, func() { w.executeRequest(d.Request) })
		}
		h.harness.step(CommandResult{CommandID: d.CommandID, Outcome: CommandOutcomeUnknown})
		return
	}
	w := h.agents[i]
	h.harness.step(CommandResult{CommandID: d.CommandID, Outcome: w.executeRequest(d.Request), Heartbeat: w.nextHeartbeat()})
}

// confirmDeletion has the cloud delete a machine at last.
func (h *renewalHistory) confirmDeletion(name string) {
	h.agents = slices.DeleteFunc(h.agents, func(w *modelAgent) bool { return w.name == name && len(h.agents) > 2 })
	if !slices.ContainsFunc(h.agents, func(w *modelAgent) bool { return w.name == name }) {
		h.harness.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{name}}}})
	}
}

// changeLeader begins a new term from what the ledger holds. Now and then the record of a
// cancelled job can't be read any more.
func (h *renewalHistory) changeLeader() {
	records := map[string]any{}
	for jobID, j := range h.harness.submittedJobs {
		records[ledger.JobKey(jobID)] = ledger.JobRecord{Job: j, AcceptedMS: 1}
	}
	for key, w := range h.harness.writesByKey {
		records[key] = w.Value
	}
	var entries []wire.Entry
	for key, value := range records {
		text, err := json.Marshal(value)
		if err != nil {
			h.t.Fatal(err)
		}
		if value != nil {
			entries = append(entries, wire.Entry{Key: key, Value: text, Version: 1})
		}
	}
	slices.SortFunc(entries, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	for i := range entries {
		for _, jobID := range h.jobIDs {
			if _, cancelled := h.cancelledAt[jobID]; cancelled && entries[i].Key == ledger.JobKey(jobID) && h.random.IntN(10) == 0 {
				entries[i].Value = []byte("[]")
			}
		}
	}
	cfg := testConfig(settings.Defaults(), settings.Team{Name: "t"})
	cfg.Term = h.harness.core.term + 1
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	snapshot := ledger.New(cfg.Term, nil, func() ledger.Limits { return ledger.Limits{} }, log).LoadEntries(entries, 1)
	old := h.harness
	for _, d := range old.sentCommands {
		if i := slices.IndexFunc(h.agents, func(w *modelAgent) bool { return w.name == d.Machine }); i >= 0 {
			w := h.agents[i]
			h.delayedMessages = append(h.delayedMessages, func() { w.executeRequest(d.Request) })
		}
	}
	h.harness = newHarnessWithConfig(h.t, old.now, cfg, snapshot)
	h.harness.submittedJobs = old.submittedJobs
	for key, w := range old.writesByKey {
		if _, rewritten := h.harness.writesByKey[key]; !rewritten {
			h.harness.writesByKey[key] = w
		}
	}
}

// checkEffects takes the core's responses and checks them, and the agents, against the rules.
func (h *renewalHistory) checkEffects() {
	out := h.harness.recentEffects
	h.harness.recentEffects = nil
	for _, e := range out {
		switch e := e.(type) {
		case UserReply:
			if _, known := h.cancelledAt[e.Status.ID]; !known && e.Status.Status == wire.JobCancelled {
				h.cancelledAt[e.Status.ID] = h.harness.now
			}
		case HeartbeatReply:
			if to, ok := e.ReplyTo.(testRecipient); ok && e.Response != nil {
				h.responses[to] = e.Response
				h.checkStops(h.heartbeats[to], e.Response)
			}
		case InspectAgent:
			for _, w := range h.agents {
				if w.name == e.Machine && !w.hung {
					h.harness.step(InspectResult{Machine: w.name, Heartbeat: w.nextHeartbeat()})
				}
			}
		}
	}
	for _, w := range h.agents {
		for _, t := range w.tasks {
			jobID := wire.JobIDOfTask(t.Task)
			if told, cancelled := h.cancelledAt[jobID]; cancelled && !w.hung && t.Status != wire.TaskEnded && h.harness.now-told > modelCancel {
				h.t.Errorf("%s is on %s %s after its job was told as cancelled", t.Task, w.name, h.harness.now-told)
			}
		}
	}
}

// checkStops checks that a response has the stops that its heartbeat requires.
func (h *renewalHistory) checkStops(report *wire.Heartbeat, answer *wire.HeartbeatResponse) {
	for _, t := range report.Tasks {
		jobID := wire.JobIDOfTask(t.Task)
		if _, cancelled := h.cancelledAt[jobID]; !cancelled || t.Status == wire.TaskEnded {
			continue
		}
		if !slices.ContainsFunc(answer.Commands, func(o wire.Command) bool { return o.Verb == wire.VerbStop && o.Attempt == t.Attempt }) {
			h.t.Errorf("%s renewed without the stop of %s: %+v", report.Machine, t.Task, answer.Commands)
		}
	}
}
