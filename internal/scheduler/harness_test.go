package scheduler

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// harness drives a core in tests. It has a fake clock, carries out ledger writes and keeps all other
// effects for inspection.
type harness struct {
	t                testingT
	core             *Core
	now              time.Duration
	sequences        map[string]uint64 // last heartbeat sequence number by machine
	sentCommands     []SendCommands    // direct commands without a result
	responseCommands []wire.Command    // commands in heartbeat responses since the last call of completeCommands
	recentEffects    []Effect          // heartbeat replies and otherEffects since a test or helper cleared it
	otherEffects     []Effect          // all effects so far that have no field of their own
	// holdWrites, while set, keeps ledger writes from becoming durable.
	holdWrites      bool
	pendingTags     []ledger.Tag // tags of the writes held by holdWrites
	scaleOuts       []wire.ScaleOutRequest
	deletedMachines []string                // machines whose deletion was requested
	writesByKey     map[string]ledger.Write // latest write of each key
	writeCount      int                     // number of writes so far
	submittedJobs   map[string]*wire.Job    // jobs passed to submit, by ID
}

// testTerm is the term of the cores in tests.
const testTerm = 7

// testRecipient is the recipient of replies in tests.
type testRecipient string

// Deliver does nothing: the harness reads the effects instead.
func (testRecipient) Deliver(Effect) {}

// savedHosts returns the hosts of a job as the ledger saves them in one key.
func savedHosts(machines ...string) []ledger.SavedHosts {
	if len(machines) == 0 {
		return nil
	}
	return []ledger.SavedHosts{{Chunk: 0, Machines: machines}}
}

// savedRanges returns the finished tasks of job-1 as the ledger saves them in one key: the first and
// the last task of each range.
func savedRanges(firstAndLast ...int) []ledger.SavedRanges {
	return []ledger.SavedRanges{{Key: "fin/job-1/0", Ranges: firstAndLast}}
}

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

// newHarness returns a harness with default settings. Without teams, there is one team "t" without a
// limit.
func newHarness(t testingT, s ledger.Snapshot, teams ...settings.Team) *harness {
	return newHarnessWithSettings(t, settings.Defaults(), s, teams...)
}

// newHarnessWithSettings is like newHarness, with the given operator settings.
func newHarnessWithSettings(t testingT, operator settings.Operator, s ledger.Snapshot, teams ...settings.Team) *harness {
	if len(teams) == 0 {
		teams = []settings.Team{{Name: "t"}}
	}
	return newHarnessWithConfig(t, 0, testConfig(operator, teams...), s)
}

// testConfig returns a configuration with heartbeats every 3 s, a lease of 30 s and a cancellation
// bound of 60 s. Direct starts are allowed, so that a test sees each start at once.
func testConfig(operator settings.Operator, teams ...settings.Team) Config {
	platform := &settings.Platform{Facts: settings.Facts{ControllerCount: 3, Teams: teams,
		AgentTiming: settings.AgentTiming{HeartbeatS: 3, LeaseS: 30, CancelS: 60}}}
	operator.DirectStarts = true
	return Config{Term: testTerm, Platform: platform, Operator: operator, MaxValueBytes: 16 << 10}
}

// newHarnessWithConfig returns a harness whose term begins at now, in a cloud with one machine type m4
// in zones a and b.
func newHarnessWithConfig(t testingT, now time.Duration, cfg Config, s ledger.Snapshot) *harness {
	h := newHarnessWithoutTypes(t, now, cfg, s)
	h.learnTypes(testMachineType("m4", 4))
	return h
}

// newHarnessWithoutTypes returns a harness whose term begins at now. The cloud has not yet answered
// which machine types it has.
func newHarnessWithoutTypes(t testingT, now time.Duration, cfg Config, s ledger.Snapshot) *harness {
	h := &harness{now: now, t: t, sequences: map[string]uint64{}, writesByKey: map[string]ledger.Write{}, submittedJobs: map[string]*wire.Job{}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	h.core = NewCore(cfg, s, now, now.Milliseconds(), log)
	h.recordEffects(h.core.InitialEffects())
	return h
}

// testMachineType returns a machine type in zones a and b with 4 GB for each core.
func testMachineType(name string, cpus float64) wire.MachineType {
	return wire.MachineType{Name: name, CPUs: cpus, MemGB: 4 * cpus, CacheGB: 20, Price: cpus / 4, SpotPrice: cpus / 8, BootS: 40, Zones: []string{"a", "b"}}
}

// learnTypes has the cloud answer with machine types.
func (h *harness) learnTypes(types ...wire.MachineType) {
	h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Types: true}, Types: types}})
}

// ledgerEntries returns the contents of the ledger, sorted by key.
func (h *harness) ledgerEntries() []wire.Entry {
	values := map[string]any{}
	for jobID, j := range h.submittedJobs {
		values[ledger.JobKey(jobID)] = ledger.JobRecord{Job: j, AcceptedMS: 1}
	}
	for key, write := range h.writesByKey {
		values[key] = write.Value
	}
	var entries []wire.Entry
	for key, value := range values {
		text, err := json.Marshal(value)
		if err != nil {
			h.t.Fatal(err)
		}
		if value != nil {
			entries = append(entries, wire.Entry{Key: key, Value: text, Version: 1})
		}
	}
	slices.SortFunc(entries, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// nextTerm returns a harness whose term follows this one. Its leader reads the given contents of the
// ledger, and the cloud has not yet answered which machine types it has.
func (h *harness) nextTerm(entries []wire.Entry) *harness {
	cfg := h.core.cfg
	cfg.Term++
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	snapshot := ledger.New(cfg.Term, nil, func() ledger.Limits { return ledger.Limits{} }, log).LoadEntries(entries, 1)
	next := newHarnessWithoutTypes(h.t, h.now, cfg, snapshot)
	next.submittedJobs = h.submittedJobs
	for key, write := range h.writesByKey {
		if _, rewritten := next.writesByKey[key]; !rewritten {
			next.writesByKey[key] = write
		}
	}
	return next
}

// step applies one event and records the effects.
func (h *harness) step(e Event) {
	h.core.Step(e, h.now, h.now.Milliseconds())
	h.recordEffects(h.core.Flush())
}

// recordEffects records effects for inspection, and reports the writes among them as durable unless
// holdWrites is set.
func (h *harness) recordEffects(effects []Effect) {
	var tags []ledger.Tag
	for _, e := range effects {
		switch e := e.(type) {
		case WriteLedger:
			for _, w := range e.Writes {
				h.writesByKey[w.Key] = w
				h.writeCount++
				if w.Tag != nil {
					tags = append(tags, w.Tag)
				}
			}
		case SendCommands:
			h.sentCommands = append(h.sentCommands, e)
		case CallCloud:
			if e.Call.ScaleOut != nil {
				h.scaleOuts = append(h.scaleOuts, *e.Call.ScaleOut)
			}
			h.deletedMachines = append(h.deletedMachines, e.Call.Delete...)
		case HeartbeatReply:
			h.recentEffects = append(h.recentEffects, e)
			if e.Response != nil {
				h.responseCommands = append(h.responseCommands, e.Response.Commands...)
			}
		default:
			h.recentEffects = append(h.recentEffects, e)
			h.otherEffects = append(h.otherEffects, e)
		}
	}
	if h.holdWrites {
		h.pendingTags = append(h.pendingTags, tags...)
	} else if len(tags) > 0 {
		h.step(WritesDurable{tags})
	}
}

// releaseWrites makes the held writes durable.
func (h *harness) releaseWrites() {
	h.holdWrites = false
	tags := h.pendingTags
	h.pendingTags = nil
	h.step(WritesDurable{tags})
}

// advance advances the clock by d, with a tick every 250 ms.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 250 * time.Millisecond
		h.step(Tick{})
	}
}

// newHeartbeat returns the next heartbeat of a machine of type m4, which acknowledges a fencing token.
func (h *harness) newHeartbeat(name string, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	h.sequences[name]++
	return &wire.Heartbeat{Machine: name, Address: "10.1.0.1:9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true}, AgentEpoch: 1, Sequence: h.sequences[name], FencingToken: token, Tasks: tasks}
}

// sendHeartbeat sends a heartbeat and returns the response.
func (h *harness) sendHeartbeat(heartbeat *wire.Heartbeat) *wire.HeartbeatResponse {
	h.recentEffects = nil
	h.step(HeartbeatEvent{Heartbeat: heartbeat, ReplyTo: testRecipient("w")})
	for _, e := range h.recentEffects {
		if reply, ok := e.(HeartbeatReply); ok {
			return reply.Response
		}
	}
	h.t.Fatal("the heartbeat got no response")
	return nil
}

// termToken is the first fencing token of the term.
const termToken = testTerm << termCounterBits

// bringUp sends the heartbeats after which a new machine is schedulable.
func (h *harness) bringUp(name string) {
	h.sendHeartbeat(h.newHeartbeat(name, 0))
	h.sendHeartbeat(h.newHeartbeat(name, termToken))
}

// acknowledge sends a heartbeat of an agent that acknowledges its latest fencing token.
func (h *harness) acknowledge(name string, tasks ...wire.TaskStatus) *wire.HeartbeatResponse {
	m := h.core.findOrAddMachine(name)
	heartbeat := h.newHeartbeat(name, m.agent.FencingToken(), tasks...)
	heartbeat.AgentEpoch = max(m.agent.Epoch(), 1)
	return h.sendHeartbeat(heartbeat)
}

// newTestJob returns a job of team "t" whose tasks use 1 GB each and run for 10 s by estimate.
func newTestJob(id string, tasks int, cpus float64) *wire.Job {
	return &wire.Job{ID: id, Class: "c", Team: "t", Kind: "batch", Priority: "standard", Tasks: tasks, CPUs: cpus, MemGB: 1, Image: "i", Spot: true, EstimatedRunS: 10}
}

// submit applies the record of a job that a controller has just accepted.
func (h *harness) submit(j *wire.Job) {
	h.submittedJobs[j.ID] = j
	h.step(JobRecordEvent{JobID: j.ID, Record: ledger.JobRecord{Job: j, AcceptedMS: h.now.Milliseconds()}, Version: 3})
}

// startCommands returns the starts in heartbeat responses and in direct commands without a result.
func (h *harness) startCommands() (starts []wire.Command) {
	for _, command := range h.responseCommands {
		if command.Verb == wire.VerbStart {
			starts = append(starts, command)
		}
	}
	for _, sent := range h.sentCommands {
		for _, command := range sent.Request.Commands {
			if command.Verb == wire.VerbStart {
				starts = append(starts, command)
			}
		}
	}
	return starts
}

// completeCommands reports the same outcome for all direct commands in flight, and forgets the
// commands sent so far.
func (h *harness) completeCommands(outcome CommandOutcome) {
	commands := h.sentCommands
	h.sentCommands, h.responseCommands = nil, nil
	for _, sent := range commands {
		h.step(CommandResult{CommandID: sent.CommandID, Outcome: outcome})
	}
}

// newTaskStatus returns the status that an agent reports for the task of a command.
func newTaskStatus(command wire.Command, status, exitReason string) wire.TaskStatus {
	return wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, Status: status, ExitReason: exitReason}
}

// commandVerbs returns the verbs of the commands in a response, each followed by a space.
func commandVerbs(response *wire.HeartbeatResponse) string {
	verbs := ""
	for _, command := range response.Commands {
		verbs += command.Verb + " "
	}
	return verbs
}

// want fails the test if got and want differ when formatted. what describes the value.
func (h *harness) want(what string, got, want any) {
	h.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		h.t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// jobStatus requests and returns the status of a job.
func (h *harness) jobStatus(jobID string) string {
	h.recentEffects = nil
	h.step(StatusRequest{JobID: jobID, ReplyTo: testRecipient("u")})
	return h.recentEffects[0].(UserReply).Status.Status
}
