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
	name                string
	session, seq, token uint64
	renewed             time.Duration
	tasks               []wire.TaskStatus
	known               map[uint64]bool
	hung                bool
}

func (w *modelAgent) report() *wire.Heartbeat {
	w.seq++
	return &wire.Heartbeat{Machine: w.name, Address: w.name + ":9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true},
		AgentEpoch: w.session, Sequence: w.seq, FencingToken: w.token, Tasks: slices.Clone(w.tasks)}
}

func (w *modelAgent) execute(orders []wire.Command) {
	for _, o := range orders {
		at := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Attempt == o.Attempt })
		switch {
		case o.Verb == wire.VerbStart && !w.known[o.Attempt]:
			w.known[o.Attempt] = true
			w.tasks = append(w.tasks, wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Status: wire.TaskRunning})
		case o.Verb == wire.VerbStop && at >= 0 && w.tasks[at].Status != wire.TaskEnded:
			w.tasks[at].Status, w.tasks[at].ExitReason = wire.TaskEnded, wire.ExitStopped
		case o.Verb == wire.VerbForget && at >= 0 && w.tasks[at].Status == wire.TaskEnded:
			w.tasks = slices.Delete(w.tasks, at, at+1)
			delete(w.known, o.Attempt)
		}
	}
}

// command carries a direct command out, or refuses it.
func (w *modelAgent) command(c wire.CommandRequest) CommandOutcome {
	if c.FencingToken < w.token || c.AgentEpoch != w.session {
		return CommandRejected
	}
	w.token = c.FencingToken
	w.execute(c.Commands)
	return CommandExecuted
}

// expire ends the epoch if no response has renewed its lease for so long.
func (w *modelAgent) expire(now time.Duration) {
	if now-w.renewed > modelLease {
		w.session, w.seq, w.renewed, w.tasks, w.known = w.session+1, 0, now, nil, map[uint64]bool{}
	}
}

// renewals is one history.
type renewals struct {
	t       tester
	r       property.Chooser
	g       *harness
	workers []*modelAgent
	refs    []string
	told    map[string]time.Duration // when a job was reported as cancelled
	reports map[recipient]*wire.Heartbeat
	answers map[recipient]*wire.HeartbeatResponse
	late    []func() // messages that are held up
	count   int
}

// TestRenewalsStopCancelledTasks plays histories from fixed seeds.
func TestRenewalsStopCancelledTasks(t *testing.T) {
	for seed := range uint64(300) {
		playRenewals(t, rand.New(rand.NewPCG(seed, 17)), 250)
	}
}

// TestRenewalsProperty has rapid search for a short history that breaks a rule.
func TestRenewalsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		playRenewals(t, property.RapidChooser{T: t}, rapid.IntRange(30, 120).Draw(t, "steps"))
	})
}

func playRenewals(t tester, r property.Chooser, steps int) {
	h := &renewals{t: t, r: r, g: newHarness(t, ledger.Snapshot{}), told: map[string]time.Duration{}, reports: map[recipient]*wire.Heartbeat{}, answers: map[recipient]*wire.HeartbeatResponse{}}
	for k := range 4 {
		h.workers = append(h.workers, &modelAgent{name: fmt.Sprintf("vm-%d", k+1), session: 1, known: map[uint64]bool{}})
	}
	for range steps {
		h.act()
		h.checkTasks()
	}
}

// act has one thing happen.
func (h *renewals) act() {
	w := h.workers[h.r.IntN(len(h.workers))]
	switch k := h.r.IntN(40); {
	case k < 14:
		h.sendHeartbeatOf(w)
	case k < 20:
		h.endCommand()
	case k < 24:
		h.pass()
	case k < 27:
		h.submit()
	case k < 30 && len(h.refs) > 0:
		jobID := h.refs[h.r.IntN(len(h.refs))]
		h.g.step(CancelRequest{JobID: jobID, ReplyTo: recipient(jobID)})
	case k < 33 && len(h.late) > 0:
		at := h.r.IntN(len(h.late))
		message := h.late[at]
		h.late = slices.Delete(h.late, at, at+1)
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
	case k < 37 && h.r.IntN(4) == 0:
		h.takeOver()
	case k < 38 && h.r.IntN(4) == 0 && len(h.g.deleted) > 0:
		h.remove(h.g.deleted[h.r.IntN(len(h.g.deleted))])
	}
}

// pass lets up to three seconds pass.
func (h *renewals) pass() {
	h.g.wait(time.Duration(1+h.r.IntN(12)) * 250 * time.Millisecond)
	for _, w := range h.workers {
		if !w.hung {
			w.expire(h.g.now)
		}
	}
}

func (h *renewals) submit() {
	j := newTestJob(fmt.Sprintf("job-%06d", len(h.refs)), 1+h.r.IntN(3), 1)
	h.refs = append(h.refs, j.ID)
	h.g.submit(j)
}

// sendHeartbeatOf has an agent send a heartbeat. It or its response may be lost, and a copy may come
// late.
func (h *renewals) sendHeartbeatOf(w *modelAgent) {
	if w.hung {
		return
	}
	w.expire(h.g.now)
	sent, report := h.g.now, w.report()
	if h.r.IntN(5) == 0 {
		h.late = append(h.late, func() { h.deliver(report) })
	}
	if h.r.IntN(8) == 0 {
		return
	}
	answer := h.deliver(report)
	if answer == nil || h.r.IntN(8) == 0 || answer.FencingToken < w.token {
		return
	}
	w.token, w.renewed = answer.FencingToken, sent
	w.execute(answer.Commands)
}

// deliver brings a heartbeat to the core and returns the response, if it is sent at once.
func (h *renewals) deliver(report *wire.Heartbeat) *wire.HeartbeatResponse {
	h.count++
	to := recipient(fmt.Sprint("report ", h.count))
	h.reports[to] = report
	h.g.step(HeartbeatEvent{Heartbeat: report, ReplyTo: to})
	h.checkTasks()
	return h.answers[to]
}

// endCommand has a command on its way carried out, lost, or held up.
func (h *renewals) endCommand() {
	if len(h.g.sentCommands) == 0 {
		return
	}
	at := h.r.IntN(len(h.g.sentCommands))
	d := h.g.sentCommands[at]
	h.g.sentCommands = slices.Delete(h.g.sentCommands, at, at+1)
	i := slices.IndexFunc(h.workers, func(w *modelAgent) bool { return w.name == d.Machine })
	if i < 0 || h.workers[i].hung || h.r.IntN(3) == 0 {
		if i >= 0 && h.r.IntN(2) == 0 {
			w := h.workers[i]
			h.late = append(h.late, func() { w.command(d.Request) })
		}
		h.g.step(CommandResult{CommandID: d.CommandID, Outcome: CommandOutcomeUnknown})
		return
	}
	w := h.workers[i]
	h.g.step(CommandResult{CommandID: d.CommandID, Outcome: w.command(d.Request), Heartbeat: w.report()})
}

// remove has the cloud delete a machine at last.
func (h *renewals) remove(name string) {
	h.workers = slices.DeleteFunc(h.workers, func(w *modelAgent) bool { return w.name == name && len(h.workers) > 2 })
	if !slices.ContainsFunc(h.workers, func(w *modelAgent) bool { return w.name == name }) {
		h.g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Delete: []string{name}}}})
	}
}

// takeOver begins a new term from what the ledger holds. Now and then the record of a
// cancelled job can't be read any more.
func (h *renewals) takeOver() {
	records := map[string]any{}
	for jobID, j := range h.g.specs {
		records[ledger.JobKey(jobID)] = ledger.JobRecord{Job: j, AcceptedMS: 1}
	}
	for key, w := range h.g.writes {
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
		for _, jobID := range h.refs {
			if _, cancelled := h.told[jobID]; cancelled && entries[i].Key == ledger.JobKey(jobID) && h.r.IntN(10) == 0 {
				entries[i].Value = []byte("[]")
			}
		}
	}
	cfg := testConfig(settings.Defaults(), settings.Team{Name: "t"})
	cfg.Term = h.g.c.term + 1
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	snapshot := ledger.New(cfg.Term, nil, func() ledger.Limits { return ledger.Limits{} }, log).Adopt(entries, 1)
	old := h.g
	for _, d := range old.sentCommands {
		if i := slices.IndexFunc(h.workers, func(w *modelAgent) bool { return w.name == d.Machine }); i >= 0 {
			w := h.workers[i]
			h.late = append(h.late, func() { w.command(d.Request) })
		}
	}
	h.g = newHarnessAt(h.t, old.now, cfg, snapshot)
	h.g.specs = old.specs
	for key, w := range old.writes {
		if _, rewritten := h.g.writes[key]; !rewritten {
			h.g.writes[key] = w
		}
	}
}

// checkTasks takes the core's responses and checks them, and the agents, against the rules.
func (h *renewals) checkTasks() {
	out := h.g.out
	h.g.out = nil
	for _, e := range out {
		switch e := e.(type) {
		case UserReply:
			if _, known := h.told[e.Status.ID]; !known && e.Status.Status == wire.JobCancelled {
				h.told[e.Status.ID] = h.g.now
			}
		case HeartbeatReply:
			if to, ok := e.ReplyTo.(recipient); ok && e.Response != nil {
				h.answers[to] = e.Response
				h.checkStops(h.reports[to], e.Response)
			}
		case InspectAgent:
			for _, w := range h.workers {
				if w.name == e.Machine && !w.hung {
					h.g.step(InspectResult{Machine: w.name, Heartbeat: w.report()})
				}
			}
		}
	}
	for _, w := range h.workers {
		for _, t := range w.tasks {
			jobID := wire.JobIDOfTask(t.Task)
			if told, cancelled := h.told[jobID]; cancelled && !w.hung && t.Status != wire.TaskEnded && h.g.now-told > modelCancel {
				h.t.Errorf("%s is on %s %s after its job was told as cancelled", t.Task, w.name, h.g.now-told)
			}
		}
	}
}

// checkStops checks that a response has the stops that its heartbeat requires.
func (h *renewals) checkStops(report *wire.Heartbeat, answer *wire.HeartbeatResponse) {
	for _, t := range report.Tasks {
		jobID := wire.JobIDOfTask(t.Task)
		if _, cancelled := h.told[jobID]; !cancelled || t.Status == wire.TaskEnded {
			continue
		}
		if !slices.ContainsFunc(answer.Commands, func(o wire.Command) bool { return o.Verb == wire.VerbStop && o.Attempt == t.Attempt }) {
			h.t.Errorf("%s renewed without the stop of %s: %+v", report.Machine, t.Task, answer.Commands)
		}
	}
}
